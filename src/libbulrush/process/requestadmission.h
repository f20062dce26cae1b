#pragma once

#include "process/answeredrequests.h"
#include "process/quarantine.h"

namespace bulrush {

/** Whether a request may be sent to a server, given the servers that have crashed under it. */
enum class RequestAdmission {
    Unrestricted,
    OneAtATime,      ///< only one copy at a time, to determine whether the request is the cause
    ProbedElsewhere, ///< another daemon probes whether the request is the cause
    Blocked,         ///< it has crashed every server that processed it
};

/**
 * \returns whether \a request may be sent, according to the \a quarantine and to the requests that
 * this daemon saw \a answered. Thread safe as long as neither is changed.
 */
RequestAdmission admissionOf(const RequestFingerprint &request, const Quarantine &quarantine,
                             const AnsweredRequests &answered, Instant now);

} // namespace bulrush

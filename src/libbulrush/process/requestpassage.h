#pragma once

#include "process/answeredrequests.h"
#include "process/quarantine.h"

namespace bulrush {

/** Whether a request may go to a server, by the servers that are known to have ended under it. */
enum class RequestPassage {
    Free,
    OneAtATime,   ///< one copy at a time shows whether it is to blame
    LeftToOthers, ///< another daemon finds that out
    Blocked,      ///< it has ended each server that ran it
};

/**
 * \returns the passage of \a request at a daemon that knows \a quarantine and has seen \a answered.
 * Thread safe as long as neither is changed.
 */
RequestPassage passageOf(const RequestFingerprint &request, const Quarantine &quarantine,
                         const AnsweredRequests &answered, Instant now);

} // namespace bulrush

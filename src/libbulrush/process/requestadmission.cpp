#include "process/requestadmission.h"

namespace bulrush {

RequestAdmission admissionOf(const RequestFingerprint &request, const Quarantine &quarantine,
                             const AnsweredRequests &answered, Instant now)
{
    if (quarantine.blocks(request))
        return RequestAdmission::Blocked;
    if (quarantine.crashedServers(request).empty() || answered.contains(request, now))
        return RequestAdmission::Unrestricted;
    // Before enough answers are recorded, popular requests would be held back without need.
    if (quarantine.isProbedElsewhere(request) && answered.hasMinHistory(now))
        return RequestAdmission::ProbedElsewhere;
    return RequestAdmission::OneAtATime;
}

} // namespace bulrush

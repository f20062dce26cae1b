#include "process/requestpassage.h"

namespace bulrush {

RequestPassage passageOf(const RequestFingerprint &request, const Quarantine &quarantine,
                         const AnsweredRequests &answered, Instant now)
{
    if (quarantine.blocks(request))
        return RequestPassage::Blocked;
    if (quarantine.endedUnder(request).empty() || answered.contains(request, now))
        return RequestPassage::Free;
    // Before enough answers are recorded, popular requests would be held back without need.
    if (quarantine.isProbedElsewhere(request) && answered.hasMinHistory(now))
        return RequestPassage::LeftToOthers;
    return RequestPassage::OneAtATime;
}

} // namespace bulrush

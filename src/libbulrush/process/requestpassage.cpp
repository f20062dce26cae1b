#include "process/requestpassage.h"

namespace bulrush {

RequestPassage passageOf(const RequestFingerprint &request, const Quarantine &quarantine,
                         const AnsweredRequests &answered, Instant now)
{
    if (quarantine.blocks(request))
        return RequestPassage::Blocked;
    if (quarantine.endedUnder(request).empty() || answered.contains(request, now))
        return RequestPassage::Free;
    // Who can't tell what is popular would hold such requests back for nothing.
    if (quarantine.isLeftToOthers(request) && answered.isPopularityKnown(now))
        return RequestPassage::LeftToOthers;
    return RequestPassage::OneAtATime;
}

} // namespace bulrush

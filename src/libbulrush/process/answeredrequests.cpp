#include "process/answeredrequests.h"

#include <utility>

namespace bulrush {

AnsweredRequests::AnsweredRequests(Instant start)
    : m_start(start)
    , m_currentSince(start)
{ }

bool AnsweredRequests::isPopularityKnown(Instant now) const
{
    return now - m_start >= enough;
}

void AnsweredRequests::note(const RequestFingerprint &request, Instant now)
{
    if (now - m_currentSince >= memory || m_current.size() >= mostOfAGeneration) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current.insert(request);
}

bool AnsweredRequests::contains(const RequestFingerprint &request, Instant now) const
{
    const Duration age = now - m_currentSince;
    if (age < 2 * memory && m_current.contains(request))
        return true;
    return age < memory && m_previous.contains(request);
}

} // namespace bulrush

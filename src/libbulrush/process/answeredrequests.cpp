#include "process/answeredrequests.h"

#include <utility>

namespace bulrush {

AnsweredRequests::AnsweredRequests(Instant start)
    : m_start(start)
    , m_currentSince(start)
{ }

bool AnsweredRequests::hasMinHistory(Instant now) const
{
    return now - m_start >= minHistory;
}

void AnsweredRequests::note(const RequestFingerprint &request, Instant now)
{
    if (now - m_currentSince >= retention || m_current.size() >= maxGenerationSize) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current.insert(request);
}

bool AnsweredRequests::contains(const RequestFingerprint &request, Instant now) const
{
    const Duration age = now - m_currentSince;
    if (age < 2 * retention && m_current.contains(request))
        return true;
    return age < retention && m_previous.contains(request);
}

} // namespace bulrush

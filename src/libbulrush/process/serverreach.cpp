#include "process/serverreach.h"

#include <algorithm>

namespace bulrush {

void ServerReach::setServerCount(std::size_t count)
{
    m_serverCount = count;
}

void ServerReach::recordReached(Instant now)
{
    m_lastReached = now;
    m_failed.clear();
}

void ServerReach::recordFailure(const ServerName &server)
{
    m_failed.insert(server);
}

bool ServerReach::isOutOfReach() const
{
    const std::size_t threshold = std::clamp<std::size_t>(m_serverCount, 1, failedServersThreshold);
    return m_failed.size() >= threshold;
}

} // namespace bulrush

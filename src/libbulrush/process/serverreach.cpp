#include "process/serverreach.h"

#include <algorithm>
#include <utility>

namespace bulrush {

void ServerReach::setServerCount(std::size_t count)
{
    m_serverCount = count;
}

void ServerReach::recordReached(const ServerName &server, Instant now)
{
    m_lastReached = now;
    m_failed.clear();
    if (m_reachedServers.front() == server)
        return;
    m_reachedServers.back() = std::move(m_reachedServers.front());
    m_reachedServers.front() = server;
}

ServerName ServerReach::witnessFor(const ServerName &server) const
{
    const bool isLatest = m_reachedServers.front() == server;
    return isLatest ? m_reachedServers.back() : m_reachedServers.front();
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

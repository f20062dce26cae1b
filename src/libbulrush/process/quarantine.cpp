#include "process/quarantine.h"

#include <utility>

namespace bulrush {

bool SuspectRequest::isBlocked() const
{
    // When servers stop together, after a power loss or for a release, popular requests are in
    // flight at all of them. Only a request that was sent to a server after another had crashed
    // under it, and then crashed that server too, is considered the cause.
    return isRepeated && servers.size() >= Quarantine::blockingCrashes;
}

Quarantine::Quarantine(Suspects suspects, std::set<RequestFingerprint> probedElsewhere)
    : m_suspects(std::move(suspects))
    , m_probedElsewhere(std::move(probedElsewhere))
{ }

bool Quarantine::isProbedElsewhere(const RequestFingerprint &request) const
{
    return m_probedElsewhere.contains(request);
}

bool Quarantine::blocks(const RequestFingerprint &request) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && found->second.isBlocked();
}

std::span<const ServerName> Quarantine::crashedServers(const RequestFingerprint &request) const
{
    const auto found = m_suspects.find(request);
    if (found == m_suspects.end())
        return {};
    return found->second.servers;
}

} // namespace bulrush

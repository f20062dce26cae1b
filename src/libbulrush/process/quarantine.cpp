#include "process/quarantine.h"

#include <utility>

namespace bulrush {

bool SuspectRequest::isBlocked() const
{
    // Servers that fall together, by a power loss or a release, end under whatever is popular. Only
    // a request that was sent again after one had ended, and ended another, is to blame.
    return isRepeated && servers.size() >= Quarantine::blockingCrashes;
}

Quarantine::Quarantine(Suspects suspects, std::set<RequestFingerprint> leftToOthers)
    : m_suspects(std::move(suspects))
    , m_leftToOthers(std::move(leftToOthers))
{ }

bool Quarantine::isLeftToOthers(const RequestFingerprint &request) const
{
    return m_leftToOthers.contains(request);
}

bool Quarantine::blocks(const RequestFingerprint &request) const
{
    const auto place = m_suspects.find(request);
    return place != m_suspects.end() && place->second.isBlocked();
}

std::span<const ServerName> Quarantine::endedUnder(const RequestFingerprint &request) const
{
    const auto place = m_suspects.find(request);
    if (place == m_suspects.end())
        return {};
    return place->second.servers;
}

} // namespace bulrush

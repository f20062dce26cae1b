#include "process/assignmentrecovery.h"

#include "process/ownershipmap.h"

#include <algorithm>
#include <utility>

namespace bulrush {

AssignmentRecovery::AssignmentRecovery(Assignment published, Instant mayGrantFrom, Instant askUntil)
    : m_highest(std::move(published))
    , m_highestFence(m_highest.version)
    , m_mayGrantFrom(mayGrantFrom)
    , m_askUntil(askUntil)
{ }

void AssignmentRecovery::setAsked(std::set<Incarnation> daemons, std::set<ServerName> servers)
{
    m_pendingDaemons = std::move(daemons);
    m_pendingServers = std::move(servers);
}

void AssignmentRecovery::addView(const Incarnation &daemon, const Assignment &view)
{
    m_pendingDaemons.erase(daemon);
    m_highestFence = std::max(m_highestFence, view.version);
    if (view.version > m_highest.version)
        m_highest = view;
}

void AssignmentRecovery::addGrants(const ServerName &server, std::span<const SliceOwner> grants)
{
    m_pendingServers.erase(server);
    for (const SliceOwner &grant : grants) {
        m_highestFence = std::max(m_highestFence, grant.fence);
        m_grants.push_back(grant);
    }
}

std::optional<Assignment> AssignmentRecovery::result(Instant now) const
{
    const bool allAnswered = m_pendingDaemons.empty() && m_pendingServers.empty();
    if (now < m_mayGrantFrom || (!allAnswered && now < m_askUntil))
        return std::nullopt;

    std::vector<SliceOwner> newer;
    for (const SliceOwner &grant : m_grants) {
        if (grant.fence > m_highest.version)
            newer.push_back(grant);
    }
    std::sort(newer.begin(), newer.end(), [](const SliceOwner &first, const SliceOwner &second) {
        return first.fence < second.fence;
    });
    OwnershipMap owned(m_highest);
    for (const SliceOwner &grant : newer)
        owned.apply({{{grant.service, grant.range}, grant.server, {}, grant.fence}});
    Assignment result = m_highest;
    result.slices = owned.slices();
    return result;
}

} // namespace bulrush

#include "process/keyrenewal.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Spreads the servers over the daemons, the same way at each of them. */
std::uint64_t rankOf(const HostName &host, const ServerName &server)
{
    const std::string pair = host.value() + '/' + server.value();
    return XXH3_64bits(pair.data(), pair.size());
}

} // namespace

KeyRenewal::KeyRenewal(HostName self, DomainName ownDomain, const KeyTimings &timings)
    : m_self(std::move(self))
    , m_ownDomain(std::move(ownDomain))
    , m_timings(timings)
{ }

void KeyRenewal::setDaemons(const std::map<HostName, Renewer> &daemons)
{
    m_daemons.clear();
    for (const auto &[host, daemon] : daemons) {
        if (!daemon.goneSince)
            m_daemons[daemon.row.domain].push_back(host);
    }
}

bool KeyRenewal::isRenewerOf(const ServerRecord &server) const
{
    const auto found = m_daemons.find(server.domain);
    const std::size_t count = found == m_daemons.end() ? 0 : found->second.size();
    if (m_isPlanner && count < fewDaemons)
        return true;
    if (server.domain != m_ownDomain)
        return false;
    if (count <= renewersPerServer)
        return true;
    const std::uint64_t own = rankOf(m_self, server.id);
    const auto before = std::ranges::count_if(
        found->second, [&](const HostName &host) { return rankOf(host, server.id) < own; });
    return static_cast<std::size_t>(before) < renewersPerServer;
}

void KeyRenewal::setAssignment(const KeyAssignment &assignment)
{
    m_assignments[assignment.service] = assignment;
}

void KeyRenewal::storeAnswered(Instant givenAt)
{
    m_storeAnswered = std::max(givenAt, m_storeAnswered.value_or(givenAt));
}

std::vector<SendGrant> KeyRenewal::due(const ServerDirectory &servers, Instant now)
{
    std::vector<SendGrant> grants;
    if (!mayRenew(now))
        return grants;
    std::map<GrantKey, Instant> sentAt;
    for (const auto &[service, assignment] : m_assignments) {
        for (const OwnedRange &owned : assignment.ranges) {
            const KnownServer *server = servers.find(owned.owner);
            if (owned.isMoving() || !server || server->goneSince)
                continue;
            if (!isRenewerOf(server->record))
                continue;
            const GrantKey key{service, owned.range.first, owned.range.last, owned.owner,
                               owned.fence};
            const auto sent = m_sentAt.find(key);
            if (sent != m_sentAt.end() && !isDueAgain(sent->second, now)) {
                sentAt.insert(*sent);
                continue;
            }
            sentAt.emplace(key, now);
            grants.push_back({service, owned, server->record.address});
        }
    }
    m_sentAt = std::move(sentAt);
    return grants;
}

/** \pre mayRenew(now) */
bool KeyRenewal::isDueAgain(Instant sentAt, Instant now) const
{
    const Instant lastFrom = *m_storeAnswered + m_timings.renewalRight - lastRound;
    return now - sentAt >= m_timings.renewEvery || (now >= lastFrom && sentAt < lastFrom);
}

bool KeyRenewal::mayRenew(Instant now) const
{
    return m_storeAnswered && now - *m_storeAnswered < m_timings.renewalRight;
}

} // namespace bulrush

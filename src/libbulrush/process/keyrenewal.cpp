#include "process/keyrenewal.h"

#include <algorithm>
#include <utility>

namespace bulrush {

KeyRenewal::KeyRenewal(DomainName ownDomain, const KeyTimings &timings)
    : m_ownDomain(std::move(ownDomain))
    , m_timings(timings)
{ }

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
            if (!m_isPlanner && server->record.domain != m_ownDomain)
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

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

void KeyRenewal::recordStoreAnswer(Instant givenAt)
{
    if (!m_lastStoreAnswer || givenAt - *m_lastStoreAnswer > maxStoreAnswerGap)
        m_continuousSince = givenAt;
    m_lastStoreAnswer = std::max(givenAt, m_lastStoreAnswer.value_or(givenAt));
}

void KeyRenewal::recordServerRecords(Instant confirmedAt)
{
    m_recordsConfirmedAt = std::max(m_recordsConfirmedAt, confirmedAt);
}

bool KeyRenewal::shouldRenew(const KnownServer &server) const
{
    return !server.removedSince && (m_isPlanner || server.record.domain == m_ownDomain);
}

void KeyRenewal::recordConnection(const ServerName &server, Instant now)
{
    Connection connection{now, {}};
    if (m_isPlanner)
        connection.sequences = sequences();
    m_connections.insert_or_assign(server, std::move(connection));
}

void KeyRenewal::recordConnectionLost(const ServerName &server)
{
    m_connections.erase(server);
}

void KeyRenewal::recordGranted(const ServerName &server, Instant now)
{
    m_grantedAt[server] = now;
}

std::map<ServiceName, std::uint64_t> KeyRenewal::sequences() const
{
    std::map<ServiceName, std::uint64_t> known;
    for (const auto &[service, assignment] : m_assignments)
        known[service] = assignment.sequence;
    return known;
}

bool KeyRenewal::mayGrant(const ServiceName &service, const OwnedRange &owned, Instant now) const
{
    const auto connection = m_connections.find(owned.owner);
    if (!mayRenew(now) || connection == m_connections.end())
        return false;
    if (connection->second.isConfirmed)
        return true;
    if (connection->second.sequences) {
        const auto known = connection->second.sequences->find(service);
        if (known == connection->second.sequences->end() || owned.fence > known->second)
            return true;
    }
    return false;
}

bool KeyRenewal::needsHigherFence(const ServiceName &service, const OwnedRange &owned,
                                  Instant now) const
{
    const auto connection = m_connections.find(owned.owner);
    if (!m_isPlanner || owned.isMoving() || !mayRenew(now) || connection == m_connections.end()
        || !connection->second.sequences || mayGrant(service, owned, now))
        return false;
    const auto granted = m_grantedAt.find(owned.owner);
    if (granted == m_grantedAt.end())
        return true;
    const Instant heldUntil = granted->second + m_timings.hold;
    return confirmationDue(connection->second) >= heldUntil
        && now >= heldUntil - m_timings.fenceRaiseLead;
}

/** \returns the instant whose records show whether \a connection leads to the recorded run. */
Instant KeyRenewal::confirmationDue(const Connection &connection) const
{
    return std::max(connection.since, m_continuousSince) + m_timings.records.maxAfterEnd();
}

/** \pre mayRenew() */
void KeyRenewal::confirmConnections()
{
    const Instant confirmedAt = std::min(*m_lastStoreAnswer, m_recordsConfirmedAt);
    for (auto &[server, connection] : m_connections) {
        if (!connection.sequences && *m_lastStoreAnswer >= connection.since)
            connection.sequences = sequences();
        if (confirmedAt >= confirmationDue(connection))
            connection.isConfirmed = true;
    }
}

std::vector<SendGrant> KeyRenewal::due(const ServerDirectory &servers, Instant now)
{
    std::vector<SendGrant> grants;
    if (!mayRenew(now))
        return grants;
    confirmConnections();
    std::map<GrantKey, Instant> sentAt;
    for (const auto &[service, assignment] : m_assignments) {
        for (const OwnedRange &owned : assignment.ranges) {
            const KnownServer *server = servers.find(owned.owner);
            if (owned.isMoving() || !server || !shouldRenew(*server)
                || !mayGrant(service, owned, now))
                continue;
            const GrantKey key{service, owned.range.first, owned.range.last, owned.owner,
                               owned.fence};
            const auto sent = m_sentAt.find(key);
            if (sent != m_sentAt.end() && !isRenewalDue(sent->second, now)) {
                sentAt.insert(*sent);
                continue;
            }
            sentAt.emplace(key, now);
            grants.push_back({service, owned, server->record.address});
        }
    }
    m_sentAt = std::move(sentAt);
    std::erase_if(m_connections, [&](const auto &entry) { return !servers.find(entry.first); });
    std::erase_if(m_grantedAt, [&](const auto &entry) { return !servers.find(entry.first); });
    return grants;
}

/** \pre mayRenew(now) */
bool KeyRenewal::isRenewalDue(Instant sentAt, Instant now) const
{
    const Instant finalFrom = *m_lastStoreAnswer + m_timings.renewalValidity - finalRenewalPeriod;
    return now - sentAt >= m_timings.renewalInterval || (now >= finalFrom && sentAt < finalFrom);
}

bool KeyRenewal::mayRenew(Instant now) const
{
    return m_lastStoreAnswer && now - *m_lastStoreAnswer < m_timings.renewalValidity;
}

} // namespace bulrush

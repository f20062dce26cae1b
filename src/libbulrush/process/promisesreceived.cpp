#include "process/promisesreceived.h"

#include <algorithm>

namespace bulrush {

PromisesReceived::PromisesReceived(std::int64_t driftPpm)
    : m_driftPpm(driftPpm)
{ }

void PromisesReceived::reset()
{
    dropPromises();
    m_resigned.clear();
}

void PromisesReceived::dropPromises()
{
    m_latestRoundUntil = Instant::min();
    m_rounds.clear();
    m_promisedUntil.clear();
}

bool PromisesReceived::hasRounds() const
{
    return m_latestRoundUntil != Instant::min();
}

void PromisesReceived::startRound(PromiseRoundId id, Duration length, Instant now)
{
    removeExpiredRounds(now);
    m_rounds[id] = {now, length};
    m_latestRoundUntil = std::max(m_latestRoundUntil, now + shortened(length, m_driftPpm));
}

void PromisesReceived::recordPromise(const Incarnation &candidate, PromiseRoundId id)
{
    const auto round = m_rounds.find(id);
    if (round == m_rounds.end())
        return;
    const Instant until = round->second.requestedAt + shortened(round->second.length, m_driftPpm);
    const auto [known, isNew] = m_promisedUntil.try_emplace(candidate, until);
    if (!isNew)
        known->second = std::max(known->second, until);
}

void PromisesReceived::recordResignation(const Incarnation &candidate)
{
    m_resigned.insert(candidate);
}

Instant PromisesReceived::coveredUntil(std::span<const LeaderCandidate> candidates) const
{
    Instant until = m_latestRoundUntil;
    for (const LeaderCandidate &candidate : candidates)
        until = std::min(until, coveredUntil(candidate.incarnation));
    return until;
}

void PromisesReceived::removeExpiredRounds(Instant now)
{
    std::erase_if(m_rounds, [now](const auto &entry) {
        return entry.second.requestedAt + entry.second.length <= now;
    });
}

Instant PromisesReceived::coveredUntil(const Incarnation &candidate) const
{
    if (m_resigned.contains(candidate))
        return Instant::max();
    const auto known = m_promisedUntil.find(candidate);
    return known == m_promisedUntil.end() ? Instant::min() : known->second;
}

} // namespace bulrush

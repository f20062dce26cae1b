#pragma once

#include "process/leaderrow.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>

namespace bulrush {

/** Identifies one round of promise requests by a leader. */
using PromiseRoundId = std::uint64_t;

/**
 * The promises that a leader has received from the candidates of its epoch. A promise counts from
 * before its request was sent, however late the answer arrives. Not thread safe.
 */
class PromisesReceived
{
public:
    explicit PromisesReceived(std::int64_t driftPpm);

    /** Removes everything, because promises apply to one epoch only. */
    void reset();

    /** Removes all promises, but keeps the resignations. */
    void dropPromises();

    /** \returns whether a round was started since the promises were last dropped. */
    bool hasRounds() const;

    /** Records a round that requests \a length and is sent at \a now. */
    void startRound(PromiseRoundId id, Duration length, Instant now);

    /** Records that \a candidate gave the promise of round \a id. Unknown rounds are ignored. */
    void recordPromise(const Incarnation &candidate, PromiseRoundId id);

    /** Records that \a candidate will never campaign in this epoch. */
    void recordResignation(const Incarnation &candidate);

    /**
     * \returns the instant until which none of \a candidates campaigns, or Instant::min() if one of
     * them has given no promise. If none has to promise, this is the end of the latest round.
     */
    Instant coveredUntil(std::span<const LeaderCandidate> candidates) const;

private:
    struct Round
    {
        Instant requestedAt{};
        Duration length{};
    };

    void removeExpiredRounds(Instant now);
    Instant coveredUntil(const Incarnation &candidate) const;

    std::int64_t m_driftPpm;
    Instant m_latestRoundUntil = Instant::min();
    std::map<PromiseRoundId, Round> m_rounds;
    std::map<Incarnation, Instant> m_promisedUntil;
    std::set<Incarnation> m_resigned;
};

} // namespace bulrush

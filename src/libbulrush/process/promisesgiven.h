#pragma once

#include "process/clock.h"
#include "process/promisesreceived.h"

#include <cstdint>

namespace bulrush {

/**
 * The promises and the resignation that a candidate has given to the leaders of a domain.
 *
 * Uses a clock that keeps running while the process is frozen, so promises stay valid after the
 * process thaws. Not thread safe.
 */
class PromisesGiven
{
public:
    explicit PromisesGiven(std::int64_t driftPpm);

    /**
     * Records the promise at \a now, in answer to round \a id, not to campaign against the leader
     * of \a epoch for \a length.
     */
    void promise(std::uint64_t epoch, PromiseRoundId id, Duration length, Instant now);

    /**
     * Records that the leader of \a epoch relies on the promises up to round \a id for no more
     * than \a length from \a now. Ignored if a later round was answered.
     */
    void release(std::uint64_t epoch, PromiseRoundId id, Duration length, Instant now);

    /** Resigns permanently: this incarnation never campaigns against the leader of \a epoch. */
    void resign(std::uint64_t epoch);

    /** \returns whether this incarnation has resigned for \a epoch. */
    bool hasResigned(std::uint64_t epoch) const;

    /**
     * \returns the instant from which the promises allow this incarnation to campaign against the
     * leader of \a epoch, or Instant::min() if there are none.
     */
    Instant campaignAllowedFrom(std::uint64_t epoch) const;

private:
    std::int64_t m_driftPpm;
    /** The latest epoch with a promise; promises for older epochs are irrelevant. */
    std::uint64_t m_epoch = 0;
    PromiseRoundId m_latestRound = 0;
    Instant m_until = Instant::min();
    std::uint64_t m_resignedEpoch = 0;
};

} // namespace bulrush

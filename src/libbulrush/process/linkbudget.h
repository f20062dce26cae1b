#pragma once

#include "process/clock.h"

#include <cstddef>

namespace bulrush {

/**
 * Limits what a daemon sends to other daemons over its host's link, which also carries the requests
 * of callers. Long answers to all followers can occupy a slow link for many seconds. A follower
 * that waits for one of them times out before it is complete, and requests another copy elsewhere.
 * Therefore answers that cannot be sent soon are declined at once, so that the follower turns to
 * another source.
 *
 * Not thread safe. Instants never decrease.
 */
class LinkBudget
{
public:
    /** Fraction of the link; the rest is for callers and for answers of servers. */
    static constexpr double linkShare = 0.5;
    /** Accepted answers are sent within this time, unless a single answer takes longer. */
    static constexpr Duration maxBacklog = std::chrono::milliseconds{400};
    /** Answers up to this size, in bytes, are never declined. */
    static constexpr std::size_t shortAnswerSize = 16'000;

    /** \pre \a megabitsPerSecond is positive */
    explicit LinkBudget(double megabitsPerSecond);

    /** Reserves the link for an answer of \a bytes. \returns false if it has to be declined. */
    bool tryReserve(std::size_t bytes, Instant now);

private:
    double m_bytesPerSecond;
    /** When all answers accepted so far will have been sent. */
    Instant m_busyUntil;
};

} // namespace bulrush

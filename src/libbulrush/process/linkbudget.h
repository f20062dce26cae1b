#pragma once

#include "process/clock.h"

#include <cstddef>

namespace bulrush {

/**
 * What a daemon may send to other daemons over its host's link, which carries callers' requests as
 * well. Long answers to all who follow it can take a narrow link many seconds; whoever waits for
 * one of them gives up before it is whole, and asks somebody else for another copy. What can't go
 * out soon is declined at once instead, so that who asked turns to another source.
 *
 * Not thread safe. Instants never go back.
 */
class LinkBudget
{
public:
    /** Of the link; the rest is for callers and for answers of servers. */
    static constexpr double share = 0.5;
    /** What is accepted is sent within this time, but for an answer that takes longer by itself. */
    static constexpr Duration longestBacklog = std::chrono::milliseconds{400};
    /** Answers up to this length, in bytes, are never declined. */
    static constexpr std::size_t shortAnswer = 16'000;

    /** \pre \a megabitsPerSecond is positive */
    explicit LinkBudget(double megabitsPerSecond);

    /** Reckons with an answer of \a bytes. \returns false if it is to be declined. */
    bool take(std::size_t bytes, Instant now);

private:
    double m_bytesPerSecond;
    /** When all that was accepted so far is sent. */
    Instant m_busyUntil;
};

} // namespace bulrush

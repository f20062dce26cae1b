#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Exponential decay of many counters at once. Instead of reducing all existing counts, it gives
 * later events a higher weight. A count divided by the current weight is the decayed count.
 *
 * Not thread safe.
 */
class ForwardDecay
{
public:
    /** \pre \a halfLife is above 0. */
    ForwardDecay(Duration halfLife, Instant start);

    /**
     * \returns the weight that one event at \a now adds to a count. An instant before the latest
     * one is treated as the latest one.
     */
    double weightAt(Instant now);

    /** \returns the event rate at \a now, per second, that corresponds to the decayed \a count. */
    double rate(double count, Instant now);

    /** \returns the decayed count that corresponds to \a rate at \a now. Inverse of rate(). */
    double count(double rate, Instant now);

    /** \returns whether the counts must be rescaled before they exceed the range of their type. */
    bool isRescaleDue() const;

    /** Resets the weight to 1. \returns the factor to multiply all existing counts by. */
    double rescale();

private:
    Duration m_halfLife;
    Instant m_start;
    Instant m_latest;
    double m_weight = 1.0;
};

} // namespace bulrush

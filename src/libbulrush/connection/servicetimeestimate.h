#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Running mean and mean deviation of the service times of a backend server, as measured by this
 * daemon.
 *
 * Not thread safe.
 */
class ServiceTimeEstimate
{
public:
    /** \a first is the initial estimate before any measurement. \pre \a first > 0. */
    explicit ServiceTimeEstimate(Duration first);

    void record(Duration measured);

    Duration mean() const;

    /**
     * \returns an upper estimate: the mean plus five deviations. 99 of 100 exponentially
     * distributed service times are below it.
     */
    Duration cautious() const;

private:
    double m_mean;
    double m_deviation;
};

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "version/forwarddecay.h"
#include "version/keyassignment.h"

#include <span>
#include <vector>

namespace bulrush {

/**
 * Request rates of the keys of one service, with exponential decay.
 *
 * Not thread safe.
 */
class KeyLoads
{
public:
    /** Counting starts at \a start; earlier rates are unknown, as opposed to 0. */
    KeyLoads(Duration halfLife, Instant start);

    /**
     * Counts a request for \a place, or the fraction \a weight of one. \pre \a place is below
     * keyPositionCount
     */
    void add(KeyPosition place, Instant now, double weight = 1.0);

    /** Adds all requests that \a other has counted. \pre \a other has the same half-life */
    void add(KeyLoads &other, Instant now);

    /** \returns the decayed numbers of requests at \a now, by place. */
    std::vector<double> counts(Instant now);

    /** \returns the rates at \a now, in requests per second, by place. */
    std::vector<double> rates(Instant now);

    /** \returns the effective length of the period that the rates at \a now cover, in seconds. */
    double countedSeconds(Instant now) const;

private:
    Duration m_halfLife;
    Instant m_start;
    ForwardDecay m_decay;
    std::vector<double> m_counts;
};

/** Request rates by key, as input of the planner. */
struct KeyTraffic
{
    /** Requests per second by place; empty if unknown. */
    std::vector<double> rates;
    /** Effective length of the period that the rates cover, which determines their precision. */
    double countedSeconds = 1.0;
};

/** Sums of rates over ranges of keys, each in constant time. */
class RateSums
{
public:
    /** \pre \a rates has a value for each place, or is empty if all rates are 0 */
    explicit RateSums(std::span<const double> rates);

    /** \returns the sum over \a range. */
    double of(const KeyRange &range) const;

private:
    /** Prefix sums: for each place, the sum of the rates of all places before it. */
    std::vector<double> m_prefixSums;
};

} // namespace bulrush

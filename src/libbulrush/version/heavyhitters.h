#pragma once

#include "version/forwarddecay.h"
#include "version/slice.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace bulrush {

/**
 * A frequently requested key. Its true rate lies between rate - error and rate.
 */
struct HeavyHitter
{
    KeyHash key = 0;
    /** Upper bound of the rate, in requests per second. */
    double rate = 0;
    /** The part of the rate that may belong to other keys. */
    double error = 0;

    /** \returns the lower bound of the rate. */
    double certainRate() const;

    bool operator==(const HeavyHitter &) const = default;
};

/**
 * The hot keys of one daemon.
 */
struct HeavyHitterReport
{
    /** Hottest first. */
    std::vector<HeavyHitter> hitters;
    /** Upper bound of the rate of any key that is not listed, in requests per second. */
    double unlistedRate = 0;

    bool operator==(const HeavyHitterReport &) const = default;
};

/**
 * Finds the most frequently requested keys with a fixed number of decaying counters (Space-Saving):
 * any key with more than a share of 1 / capacity of the traffic is among them.
 *
 * Not thread safe: each traffic thread has its own instance, and reports are merged.
 */
class HeavyHitters
{
public:
    /** \pre \a capacity is above 0. Memory is linear in \a capacity, independent of the traffic. */
    HeavyHitters(std::size_t capacity, Duration halfLife, Instant start);
    HeavyHitters(HeavyHitters &&) = default;
    HeavyHitters &operator=(HeavyHitters &&) = default;

    /** Counts \a count requests for \a key. Takes time logarithmic in the capacity. */
    void add(KeyHash key, Instant now, double count = 1.0);

    /** \returns the hottest \a maximumHitters keys. */
    HeavyHitterReport report(Instant now, std::size_t maximumHitters);

    /** \returns the number of keys that have a counter. */
    std::size_t count() const;

private:
    struct Counter
    {
        KeyHash key = 0;
        double count = 0;
        double error = 0;
        /** Points to this counter's index in m_indexByKey, whose nodes have stable addresses. */
        std::size_t *index = nullptr;
    };

    void reassignSmallest(KeyHash key);
    void siftUp(std::size_t index);
    void siftDown(std::size_t index);
    void swapCounters(std::size_t first, std::size_t second);
    void rescaleCounters();

    std::size_t m_capacity;
    ForwardDecay m_decay;
    /** A min-heap by count. */
    std::vector<Counter> m_counters;
    std::unordered_map<KeyHash, std::size_t> m_indexByKey;
};

/**
 * \returns the sum of several daemons' reports, limited to the \a maximumHitters keys with the
 * highest certain rates. The rates remain bounds on the sum of the true rates. Thread safe.
 */
HeavyHitterReport mergedReports(std::span<const HeavyHitterReport> reports,
                                std::size_t maximumHitters);

inline double HeavyHitter::certainRate() const
{
    return rate - error;
}

inline std::size_t HeavyHitters::count() const
{
    return m_counters.size();
}

} // namespace bulrush

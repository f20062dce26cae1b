#pragma once

#include "version/forwarddecay.h"
#include "version/heavyhitters.h"
#include "version/sliceload.h"

#include <cstddef>
#include <span>
#include <vector>

namespace bulrush {

/**
 * Load that one daemon measured for a service, or the sum of several daemons' measurements.
 */
struct LoadReport
{
    /** Sorted by range; a range may span several cold slices. */
    std::vector<SliceLoad> slices;
    /** Sorted by key. */
    std::vector<KeyLoad> hotKeys;

    bool operator==(const LoadReport &) const = default;
};

/**
 * Counts the requests for each slice of a service in one daemon, with exponential decay.
 *
 * Not thread safe: each traffic thread has its own instance, and reports are merged.
 */
class SliceMeter
{
public:
    /** \pre \a slices are sorted and do not overlap; \a halfLife is above 0. */
    SliceMeter(std::span<const SliceRange> slices, Duration halfLife, Instant start);

    /** Counts \a count requests for \a hash; a hash outside of all slices is ignored. */
    void add(KeyHash hash, Instant now, double count = 1.0);

    /** \returns the load of each slice, in requests per second. */
    std::vector<SliceLoad> loads(Instant now);

    /**
     * Switches to the slices of a new assignment. The load of each of \a hotKeys goes to the slice
     * that now contains the key; the remaining load is spread by width.
     * \pre As for the constructor; \a hotKeys are sorted by key.
     */
    void changeSlices(std::span<const SliceRange> slices, std::span<const KeyLoad> hotKeys,
                      Instant now);

private:
    void rescaleCounts();

    ForwardDecay m_decay;
    std::vector<SliceRange> m_slices;
    std::vector<double> m_counts;
};

/**
 * \returns \a loads in at most \a maximumEntries entries: the busiest slices unchanged, and the
 * neighbours between them joined into wider ranges. The sum is preserved. Takes linear time.
 * \pre \a loads are sorted by range, \a maximumEntries is above 0. Thread safe.
 */
std::vector<SliceLoad> boundedLoads(std::span<const SliceLoad> loads, std::size_t maximumEntries);

/**
 * \returns the hitters' certain rates as loads of keys, sorted by key. Thread safe.
 */
std::vector<KeyLoad> keyLoads(const HeavyHitterReport &report);

/**
 * \returns the sum of several daemons' \a reports on the ranges \a slices. Reports may refer to
 * other slices than these. Takes time linear in the entries of all reports.
 * \pre \a slices are sorted and do not overlap. Thread safe.
 */
LoadReport mergedLoads(std::span<const SliceRange> slices, std::span<const LoadReport> reports);

} // namespace bulrush

#pragma once

#include "process/clock.h"

#include <boost/histogram.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/**
 * Counts latencies in fixed logarithmic bins from 1 ms to 100 s. All daemons use the same bins, so
 * that their histograms can be merged. Neighbouring bins differ by a factor of 1.33.
 *
 * Not thread safe.
 */
class LatencyHistogram
{
public:
    /** Number of bins, including one below and one above the range. */
    static constexpr std::size_t binCount = 42;

    LatencyHistogram();

    /** \returns the histogram with the bins \a counts, or nothing if there are not binCount. */
    static std::optional<LatencyHistogram> fromCounts(std::span<const std::uint64_t> counts);

    void record(Duration latency);
    void merge(const LatencyHistogram &other);
    void clear();

    /** \returns the counts of all bins, lowest first, as they are sent and merged. */
    std::vector<std::uint64_t> counts() const;

    std::uint64_t total() const;

    /**
     * \returns the upper edge of the bin that contains the quantile \a share, or nothing if there
     * are no latencies. Latencies above the range yield its upper end.
     * \pre \a share is from 0 to 1
     */
    std::optional<Duration> quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
};

} // namespace bulrush

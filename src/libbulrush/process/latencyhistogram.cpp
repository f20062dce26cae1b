#include "process/latencyhistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bulrush {

namespace {

constexpr unsigned innerBins = LatencyHistogram::binCount - 2;
constexpr double lowestSeconds = 0.001;
constexpr double highestSeconds = 100;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::tuple(Axis(innerBins, lowestSeconds, highestSeconds)), Storage())
{ }

std::optional<LatencyHistogram> LatencyHistogram::fromCounts(std::span<const std::uint64_t> counts)
{
    if (counts.size() != binCount)
        return std::nullopt;

    LatencyHistogram result;
    for (std::size_t bin = 0; bin < binCount; ++bin)
        result.m_histogram.at(static_cast<int>(bin) - 1) = counts[bin];
    return result;
}

void LatencyHistogram::record(Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    m_histogram(std::max(seconds, lowestSeconds / 2));
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    m_histogram += other.m_histogram;
}

void LatencyHistogram::clear()
{
    m_histogram.reset();
}

std::vector<std::uint64_t> LatencyHistogram::counts() const
{
    std::vector<std::uint64_t> result;
    for (int bin = -1; bin <= static_cast<int>(innerBins); ++bin)
        result.push_back(m_histogram.at(bin));
    return result;
}

std::uint64_t LatencyHistogram::total() const
{
    const std::vector<std::uint64_t> all = counts();
    return std::accumulate(all.begin(), all.end(), std::uint64_t{0});
}

std::optional<Duration> LatencyHistogram::quantile(double share) const
{
    const std::uint64_t all = total();
    if (all == 0)
        return std::nullopt;

    const auto wanted = std::max(1.0, std::ceil(share * static_cast<double>(all)));
    double seen = 0;
    for (int bin = -1; bin < static_cast<int>(innerBins); ++bin) {
        seen += static_cast<double>(m_histogram.at(bin));
        if (seen >= wanted) {
            const std::chrono::duration<double> edge{m_histogram.axis().value(bin + 1)};
            return std::chrono::duration_cast<Duration>(edge);
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{highestSeconds});
}

} // namespace bulrush

#include "version/slicemeter.h"

#include <algorithm>
#include <functional>

namespace bulrush {

namespace {

std::vector<KeyLoad> summedKeys(std::span<const LoadReport> reports)
{
    std::vector<KeyLoad> keys;
    for (const LoadReport &report : reports)
        keys.insert(keys.end(), report.hotKeys.begin(), report.hotKeys.end());
    std::ranges::stable_sort(keys, {}, &KeyLoad::key);

    std::vector<KeyLoad> sums;
    for (const KeyLoad &key : keys) {
        if (!sums.empty() && sums.back().key == key.key)
            sums.back().load += key.load;
        else
            sums.push_back(key);
    }
    return sums;
}

} // namespace

SliceMeter::SliceMeter(std::span<const SliceRange> slices, Duration halfLife, Instant start)
    : m_decay(halfLife, start)
    , m_slices(slices.begin(), slices.end())
    , m_counts(slices.size(), 0.0)
{ }

void SliceMeter::add(KeyHash hash, Instant now, double count)
{
    const auto after = std::ranges::upper_bound(m_slices, hash, {}, &SliceRange::begin);
    if (after == m_slices.begin() || !contains(*(after - 1), hash))
        return;
    const auto index = static_cast<std::size_t>(after - 1 - m_slices.begin());
    m_counts[index] += m_decay.weightAt(now) * count;
    if (m_decay.isRescaleDue())
        rescaleCounts();
}

std::vector<SliceLoad> SliceMeter::loads(Instant now)
{
    std::vector<SliceLoad> result;
    result.reserve(m_slices.size());
    for (std::size_t i = 0; i < m_slices.size(); ++i)
        result.push_back({m_slices[i], m_decay.rate(m_counts[i], now)});
    return result;
}

void SliceMeter::changeSlices(std::span<const SliceRange> slices, std::span<const KeyLoad> hotKeys,
                              Instant now)
{
    m_counts = loadOfSlices(slices, loads(now), hotKeys);
    for (double &count : m_counts)
        count = m_decay.count(count, now);
    m_slices.assign(slices.begin(), slices.end());
}

void SliceMeter::rescaleCounts()
{
    const double factor = m_decay.rescale();
    for (double &count : m_counts)
        count *= factor;
}

std::vector<SliceLoad> boundedLoads(std::span<const SliceLoad> loads, std::size_t maximumEntries)
{
    if (loads.size() <= maximumEntries)
        return {loads.begin(), loads.end()};

    // Each busy slice is preceded by at most one run of joined slices, and one run comes last.
    const std::size_t busyCount = (maximumEntries - 1) / 2;
    std::vector<std::size_t> order(loads.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    const auto isBusier = [&](std::size_t first, std::size_t second) {
        if (loads[first].load != loads[second].load)
            return loads[first].load > loads[second].load;
        return first < second;
    };
    std::ranges::nth_element(order, order.begin() + static_cast<std::ptrdiff_t>(busyCount),
                             isBusier);
    std::vector<bool> isBusy(loads.size(), false);
    for (std::size_t i = 0; i < busyCount; ++i)
        isBusy[order[i]] = true;

    std::vector<SliceLoad> result;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (i > 0 && !isBusy[i] && !isBusy[i - 1]) {
            result.back().range.end = loads[i].range.end;
            result.back().load += loads[i].load;
        } else {
            result.push_back(loads[i]);
        }
    }
    return result;
}

std::vector<KeyLoad> keyLoads(const HeavyHitterReport &report)
{
    std::vector<KeyLoad> keys;
    keys.reserve(report.hitters.size());
    for (const HeavyHitter &hitter : report.hitters) {
        if (hitter.certainRate() > 0)
            keys.push_back({hitter.key, hitter.certainRate()});
    }
    std::ranges::sort(keys, {}, &KeyLoad::key);
    return keys;
}

LoadReport mergedLoads(std::span<const SliceRange> slices, std::span<const LoadReport> reports)
{
    LoadReport merged;
    for (SliceRange slice : slices)
        merged.slices.push_back({slice, 0.0});
    for (const LoadReport &report : reports) {
        const std::vector<double> loads = loadOfSlices(slices, report.slices, report.hotKeys);
        for (std::size_t i = 0; i < loads.size(); ++i)
            merged.slices[i].load += loads[i];
    }
    merged.hotKeys = summedKeys(reports);
    return merged;
}

} // namespace bulrush

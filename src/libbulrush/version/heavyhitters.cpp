#include "version/heavyhitters.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

bool isHotter(const HeavyHitter &first, const HeavyHitter &second)
{
    if (first.certainRate() != second.certainRate())
        return first.certainRate() > second.certainRate();
    return first.key < second.key;
}

/**
 * Keeps the hottest \a maximum hitters and raises unlistedRate to the highest rate that was
 * dropped.
 */
void keepHottest(HeavyHitterReport &report, std::size_t maximum)
{
    std::ranges::sort(report.hitters, isHotter);
    if (report.hitters.size() <= maximum)
        return;
    for (std::size_t i = maximum; i < report.hitters.size(); ++i)
        report.unlistedRate = std::max(report.unlistedRate, report.hitters[i].rate);
    report.hitters.resize(maximum);
}

} // namespace

HeavyHitters::HeavyHitters(std::size_t capacity, Duration halfLife, Instant start)
    : m_capacity(capacity)
    , m_decay(halfLife, start)
{
    m_counters.reserve(capacity);
    m_indexByKey.reserve(capacity);
}

void HeavyHitters::add(KeyHash key, Instant now, double count)
{
    const double weight = m_decay.weightAt(now) * count;
    if (const auto known = m_indexByKey.find(key); known != m_indexByKey.end()) {
        m_counters[known->second].count += weight;
        siftDown(known->second);
    } else if (m_counters.size() < m_capacity) {
        const auto index = m_indexByKey.emplace(key, m_counters.size()).first;
        m_counters.push_back({key, weight, 0.0, &index->second});
        siftUp(m_counters.size() - 1);
    } else {
        reassignSmallest(key);
        m_counters.front().error = m_counters.front().count;
        m_counters.front().count += weight;
        siftDown(0);
    }
    if (m_decay.isRescaleDue())
        rescaleCounters();
}

HeavyHitterReport HeavyHitters::report(Instant now, std::size_t maximumHitters)
{
    HeavyHitterReport report;
    report.hitters.reserve(m_counters.size());
    for (const Counter &counter : m_counters) {
        report.hitters.push_back(
            {counter.key, m_decay.rate(counter.count, now), m_decay.rate(counter.error, now)});
    }
    if (m_counters.size() == m_capacity)
        report.unlistedRate = m_decay.rate(m_counters.front().count, now);
    keepHottest(report, maximumHitters);
    return report;
}

/**
 * Reassigns the smallest counter to another key, without allocating.
 */
void HeavyHitters::reassignSmallest(KeyHash key)
{
    auto node = m_indexByKey.extract(m_counters.front().key);
    node.key() = key;
    m_indexByKey.insert(std::move(node));
    m_counters.front().key = key;
}

void HeavyHitters::siftUp(std::size_t index)
{
    while (index > 0) {
        const std::size_t parent = (index - 1) / 2;
        if (m_counters[parent].count <= m_counters[index].count)
            return;
        swapCounters(parent, index);
        index = parent;
    }
}

void HeavyHitters::siftDown(std::size_t index)
{
    for (;;) {
        const std::size_t left = 2 * index + 1;
        if (left >= m_counters.size())
            return;
        const std::size_t right = left + 1;
        const bool isRightSmaller =
            right < m_counters.size() && m_counters[right].count < m_counters[left].count;
        const std::size_t smaller = isRightSmaller ? right : left;
        if (m_counters[index].count <= m_counters[smaller].count)
            return;
        swapCounters(index, smaller);
        index = smaller;
    }
}

void HeavyHitters::swapCounters(std::size_t first, std::size_t second)
{
    std::swap(m_counters[first], m_counters[second]);
    *m_counters[first].index = first;
    *m_counters[second].index = second;
}

void HeavyHitters::rescaleCounters()
{
    const double factor = m_decay.rescale();
    for (Counter &counter : m_counters) {
        counter.count *= factor;
        counter.error *= factor;
    }
}

HeavyHitterReport mergedReports(std::span<const HeavyHitterReport> reports,
                                std::size_t maximumHitters)
{
    HeavyHitterReport merged;
    for (const HeavyHitterReport &report : reports)
        merged.unlistedRate += report.unlistedRate;

    // A key that a report does not list may have a rate of up to that report's unlistedRate.
    std::unordered_map<KeyHash, HeavyHitter> byKey;
    for (const HeavyHitterReport &report : reports) {
        for (const HeavyHitter &hitter : report.hitters) {
            const HeavyHitter unnamed{hitter.key, merged.unlistedRate, merged.unlistedRate};
            HeavyHitter &sum = byKey.try_emplace(hitter.key, unnamed).first->second;
            sum.rate += hitter.rate - report.unlistedRate;
            sum.error += hitter.error - report.unlistedRate;
        }
    }
    merged.hitters.reserve(byKey.size());
    for (const auto &[key, hitter] : byKey)
        merged.hitters.push_back(hitter);
    keepHottest(merged, maximumHitters);
    return merged;
}

} // namespace bulrush

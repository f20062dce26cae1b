#include "version/priorityloads.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bulrush {

PriorityLoads::PriorityLoads(Duration halfLife)
    : m_halfLife(halfLife)
{ }

void PriorityLoads::add(std::span<const KeyPosition> keys,
                        std::span<const std::uint32_t> priorities, Instant now)
{
    if (priorities.empty()) {
        addUnstated(keys, now);
        return;
    }
    const std::size_t count = std::min(keys.size(), priorities.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (keys[i] >= keyPositionCount)
            continue;
        Load &load = loadOf(priorities[i], now);
        load.stated = statedCount(load, now) + 1.0;
        load.countedAt = now;
        if (load.byKey)
            load.byKey->add(keys[i], now);
    }
}

std::vector<PriorityCounts> PriorityLoads::counts(Instant now)
{
    removeIdle(now);
    std::vector<PriorityCounts> result;
    if (m_loads.size() < 2)
        return result;
    for (auto &[priority, load] : m_loads)
        result.push_back({priority, load.byKey->counts(now)});
    return result;
}

double PriorityLoads::statedCount(const Load &load, Instant now) const
{
    const std::chrono::duration<double> halfLife = m_halfLife;
    const std::chrono::duration<double> age = std::max(Duration::zero(), now - load.countedAt);
    return load.stated * std::exp2(-age / halfLife);
}

PriorityLoads::Load &PriorityLoads::loadOf(std::uint32_t priority, Instant now)
{
    const auto known = m_loads.find(priority);
    if (known != m_loads.end())
        return known->second;
    if (m_loads.size() >= maxPriorities)
        makeRoom(priority, now);
    if (m_loads.size() >= maxPriorities)
        return m_loads.rbegin()->second;
    Load &added = m_loads.try_emplace(priority, Load{0.0, now, std::nullopt}).first->second;
    if (m_loads.size() < 2)
        return added;
    for (auto &[other, load] : m_loads) {
        if (!load.byKey)
            load.byKey.emplace(m_halfLife, now);
    }
    return added;
}

/** Removes idle priorities, or joins the two least urgent ones if \a priority precedes them. */
void PriorityLoads::makeRoom(std::uint32_t priority, Instant now)
{
    removeIdle(now);
    if (m_loads.size() < maxPriorities || priority > m_loads.rbegin()->first)
        return;
    const auto last = std::prev(m_loads.end());
    Load &target = std::prev(last)->second;
    target.stated = statedCount(target, now) + statedCount(last->second, now);
    target.countedAt = now;
    target.byKey->add(*last->second.byKey, now);
    m_loads.erase(last);
}

void PriorityLoads::removeIdle(Instant now)
{
    std::erase_if(m_loads, [this, now](const auto &entry) {
        return statedCount(entry.second, now) < idleCount;
    });
    if (m_loads.size() == 1)
        m_loads.begin()->second.byKey.reset();
}

void PriorityLoads::addUnstated(std::span<const KeyPosition> keys, Instant now)
{
    if (m_loads.size() < 2)
        return;
    double total = 0.0;
    for (const auto &[priority, load] : m_loads)
        total += statedCount(load, now);
    if (total <= 0.0)
        return;
    for (auto &[priority, load] : m_loads) {
        const double part = statedCount(load, now) / total;
        for (const KeyPosition key : keys) {
            if (key < keyPositionCount)
                load.byKey->add(key, now, part);
        }
    }
}

} // namespace bulrush

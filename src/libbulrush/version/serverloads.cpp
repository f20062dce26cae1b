#include "version/serverloads.h"

#include <algorithm>
#include <numeric>

namespace bulrush {

namespace {

/** Servers examined for one move, so that planning stays linear in slices. */
constexpr std::size_t maxCandidates = 16;

} // namespace

ServerLoads::ServerLoads(const ServiceName &service, std::span<const ServerState> servers,
                         double coldStep)
    : m_coldStep(coldStep)
{
    for (const ServerState &state : servers) {
        if (state.service != service)
            continue;
        Entry entry;
        entry.name = &state.server;
        entry.capacity = state.capacity;
        entry.isUsable = !state.isLost && !state.isLeaving && state.capacity > 0;
        entry.isLost = state.isLost;
        entry.isCold = state.isCold;
        m_entries.push_back(entry);
    }
    std::ranges::sort(m_entries, {}, [](const Entry &entry) { return *entry.name; });
    for (std::uint32_t i = 0; i < m_entries.size(); ++i)
        m_indexByName.emplace(m_entries[i].name->value(), i);
}

std::uint32_t ServerLoads::indexOf(const ServerName &server)
{
    const auto nextIndex = static_cast<std::uint32_t>(m_entries.size());
    const auto [known, isNew] = m_indexByName.try_emplace(server.value(), nextIndex);
    if (isNew) {
        m_entries.emplace_back();
        m_entries.back().name = &server;
    }
    return known->second;
}

void ServerLoads::setLoads(std::span<const double> loads)
{
    const double totalLoad = std::accumulate(loads.begin(), loads.end(), 0.0);
    double totalCapacity = 0;
    for (const Entry &entry : m_entries) {
        if (entry.isUsable)
            totalCapacity += entry.capacity;
    }
    m_averageShare = totalLoad / static_cast<double>(usableCount());
    m_byRatio.clear();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Entry &entry = m_entries[i];
        entry.load = loads[i];
        if (!entry.isUsable)
            continue;
        entry.fairShare = totalLoad * entry.capacity / totalCapacity;
        m_byRatio.emplace(ratio(i), i);
    }
}

void ServerLoads::move(std::size_t from, std::size_t to, double load)
{
    changeLoad(from, -load);
    changeLoad(to, load);
    m_entries[to].receivedLoad += load;
}

std::size_t ServerLoads::usableCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, &Entry::isUsable));
}

double ServerLoads::ratio(std::size_t index) const
{
    const Entry &entry = m_entries[index];
    return entry.fairShare > 0 ? entry.load / entry.fairShare : 0.0;
}

std::optional<std::size_t> ServerLoads::receiver(double load, double limitRatio) const
{
    std::size_t tries = 0;
    for (const auto &[ratio, index] : m_byRatio) {
        if (ratio >= limitRatio || tries == maxCandidates)
            return std::nullopt;
        const double space = room(index, limitRatio);
        if (space >= load && space > 0)
            return index;
        ++tries;
    }
    return std::nullopt;
}

std::optional<std::size_t> ServerLoads::leastLoaded() const
{
    for (const auto &[ratio, index] : m_byRatio) {
        if (!m_entries[index].isCold)
            return index;
    }
    if (m_byRatio.empty())
        return std::nullopt;
    return m_byRatio.begin()->second;
}

double ServerLoads::room(std::size_t index, double limitRatio) const
{
    const Entry &entry = m_entries[index];
    double space = limitRatio * entry.fairShare - entry.load;
    if (entry.isCold)
        space = std::min(space, m_coldStep * entry.fairShare - entry.receivedLoad);
    return std::max(space, 0.0);
}

void ServerLoads::changeLoad(std::size_t index, double change)
{
    Entry &entry = m_entries[index];
    m_byRatio.erase({ratio(index), index});
    entry.load += change;
    if (entry.isUsable)
        m_byRatio.emplace(ratio(index), index);
}

} // namespace bulrush

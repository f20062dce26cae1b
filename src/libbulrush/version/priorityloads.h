#pragma once

#include "process/clock.h"
#include "version/keyassignment.h"
#include "version/keyloads.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** Decayed numbers of the requests of one priority, by key. */
struct PriorityCounts
{
    std::uint32_t priority = 0;
    /** One for each place. */
    std::vector<double> counts;
};

/**
 * Counts the requests of one service by key and priority, with exponential decay.
 *
 * Memory is bounded: the most urgent maxPriorities priorities that daemons state are counted on
 * their own, and all others as the least urgent one of these. Nothing is counted by key while only
 * one priority is stated. Priorities that are no longer stated are forgotten.
 *
 * Not thread safe.
 */
class PriorityLoads
{
public:
    /** Each costs 512 KiB. The routes of a service have two or three priorities. */
    static constexpr std::size_t maxPriorities = 4;
    /**
     * A priority is forgotten when its decayed count is below this: with a half-life of 6 s, 40 s
     * after its only request, so that a rarely used priority is not forgotten between requests.
     */
    static constexpr double idleCount = 0.01;

    explicit PriorityLoads(Duration halfLife);

    /**
     * Counts requests for \a keys. \a priorities has the priority of each, or is empty if they are
     * unknown; then they are counted in the proportions in which priorities were stated.
     * Keys outside of the key space are ignored.
     */
    void add(std::span<const KeyPosition> keys, std::span<const std::uint32_t> priorities,
             Instant now);

    /**
     * \returns the counts by priority, most urgent first; empty unless requests of different
     * priorities were stated lately. The last one includes all less urgent priorities.
     */
    std::vector<PriorityCounts> counts(Instant now);

private:
    /** Requests of one priority. */
    struct Load
    {
        /** Decayed number of those whose priority was stated. */
        double stated = 0.0;
        Instant countedAt;
        /** By key; empty while there is only one priority. */
        std::optional<KeyLoads> byKey;
    };

    double statedCount(const Load &load, Instant now) const;
    Load &loadOf(std::uint32_t priority, Instant now);
    void makeRoom(std::uint32_t priority, Instant now);
    void removeIdle(Instant now);
    void addUnstated(std::span<const KeyPosition> keys, Instant now);

    Duration m_halfLife;
    std::map<std::uint32_t, Load> m_loads;
};

} // namespace bulrush

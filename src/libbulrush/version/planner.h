#pragma once

#include "process/clock.h"
#include "version/plan.h"
#include "version/preference.h"
#include "version/sliceload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

class ServerLoads;
struct LayoutBounds;
struct MovableSlice;
struct PlannedSlice;
struct SliceMove;

/**
 * The state of a backend server as the domain leader sees it.
 */
struct ServerState
{
    ServerName server;
    ServiceName service;
    /** Load that it can take relative to other servers of its service; above 0. */
    double capacity = 1.0;
    bool isLeaving = false;
    bool isLost = false;
    /** Whether it started recently; its load is then raised in steps. */
    bool isCold = false;
    /** Load that the server itself reports; used only where no daemon has measured any. */
    std::optional<double> reportedLoad = std::nullopt;

    bool operator==(const ServerState &) const = default;
};

/**
 * Limits and thresholds of the planner. Ratios are of a server's load to its fair share, which is
 * the load of the service distributed by capacity.
 */
struct PlannerOptions
{
    /** Slices of equal width for each server, before hot keys are split off. */
    std::uint32_t slicesPerServer = 100;
    /** Above this number of slices per server, slices move to where they can merge. */
    std::uint32_t maximumSlicesPerServer = 200;
    /** Slices are moved off a server above this ratio. */
    double targetRatio = 1.15;
    /** Servers give and receive slices up to this ratio; the gap avoids moving slices back. */
    double settleRatio = 1.10;
    /** A server is relieved after it was above the target in this many consecutive rounds. */
    std::uint32_t confirmingRounds = 2;
    /** A cold server below this ratio receives slices, even if no other server is too busy. */
    double floorRatio = 0.9;
    /** A key with at least this part of a fair share is hot and gets a slice of its own. */
    double hotKeyRatio = 0.01;
    /** A slice of one key merges back once its load falls below this part of the hot key load. */
    double coolRatio = 0.25;
    /** Maximum number of hot keys with slices of their own, per server. */
    std::uint32_t hotKeysPerServer = 32;
    /** Part of a fair share that a cold server receives in one round. */
    double coldStep = 0.1;
    /** Share of the key space that may move in any budget window, lost or leaving owners excepted.
     */
    double moveBudget = 0.02;
    Duration budgetWindow = std::chrono::minutes{3};
    /** A moved slice is not moved again for this time, unless its owner is lost or leaving. */
    Duration holdTime = std::chrono::seconds{60};
};

/**
 * \returns the options for a service's preference.
 */
PlannerOptions plannerOptions(Preference preference);

/**
 * Input of a planning round.
 */
struct PlanInput
{
    ServiceName service;
    /** The slices of the service, sorted by range. */
    std::span<const SliceOwner> slices = {};
    /** Servers of any service, in any order; those of other services are ignored. */
    std::span<const ServerState> servers = {};
    /** As measured by the daemons, sorted by range. Empty if there are no measurements yet. */
    std::span<const SliceLoad> loads = {};
    /** As measured by the daemons, sorted by key. */
    std::span<const KeyLoad> hotKeys = {};
};

/**
 * Decides which server should own which slice of one service: balances load with as few moved keys
 * as the target allows, and empties lost or leaving servers at once.
 *
 * Stores its recent moves and its remaining budget. Not thread safe.
 */
class Planner
{
public:
    explicit Planner(PlannerOptions options);

    /**
     * \returns the changes to make now. The caller applies them; if it could not, it calls again
     * with the actual slices. Takes n log n time and linear memory in slices.
     *
     * \pre \a now is never earlier than in the previous call.
     */
    Plan plan(const PlanInput &input, Instant now);

private:
    std::vector<MovableSlice> movableSlices(std::span<const PlannedSlice> slices,
                                            std::span<const double> loads, double totalLoad,
                                            double totalShare) const;
    std::vector<SliceMove> chooseMoves(std::span<MovableSlice> slices, ServerLoads &servers,
                                       const LayoutBounds &bounds, bool isCrowded);
    std::vector<bool> unconfirmedServers(const ServerLoads &servers);
    void refillBudget(Instant now);
    void removeExpiredMoves(Instant now);

    PlannerOptions m_options;
    double m_budget;
    std::optional<Instant> m_lastRound;
    std::map<KeyHash, Instant> m_lastMoves;
    /** Number of consecutive rounds in which a server has been above the target. */
    std::map<ServerName, std::uint32_t> m_busyRounds;
};

/**
 * \returns slices of \a keySpace of equal width for a service that has none yet, distributed by
 * capacity over the servers that are neither lost nor leaving. The result does not depend on the
 * order of the servers. Empty if there is no such server. Thread safe.
 */
std::vector<SliceOwner> initialSlices(const ServiceName &service,
                                      std::span<const ServerState> servers,
                                      const PlannerOptions &options, SliceRange keySpace = {});

} // namespace bulrush

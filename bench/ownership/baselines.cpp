#include "baselines.h"

#include "workload.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <utility>

namespace bulrush::bench {

namespace {

/** The server of each key, ordered by hash. */
using Placement = std::vector<std::uint32_t>;
using Placer = std::function<Placement(const Workload &)>;

constexpr std::size_t pointsPerServer = 100;

/** Number of ring points that are tried before a key is placed without regard to the bound. */
constexpr std::size_t maximumTries = 2000;

std::vector<double> serverLoads(const Workload &workload, const Placement &placement,
                                std::size_t servers)
{
    std::vector<double> loads(servers, 0.0);
    for (std::size_t i = 0; i < placement.size(); ++i)
        loads[placement[i]] += workload.shares()[i];
    return loads;
}

Workload workloadOf(const Scenario &scenario)
{
    const std::size_t servers = scenario.deployment.servers;
    const double largest = scenario.isCapped ? 1.0 / static_cast<double>(servers) : 1.0;
    return {servers * scenario.deployment.keysPerServer, scenario.exponent, largest, scenario.seed};
}

Outcome runPlacer(const Scenario &scenario, const Placer &place)
{
    Outcome outcome;
    Workload workload = workloadOf(scenario);
    const std::size_t servers = scenario.deployment.servers;
    Placement placement = place(workload);
    const double perShift = 1.0 / static_cast<double>(scenario.shifts);
    for (std::size_t shift = 0; shift < scenario.shifts; ++shift) {
        workload.replaceHottest(scenario.deployment.hotKeys);
        const Balance shifted = balanceOf(serverLoads(workload, placement, servers));
        const Placement next = place(workload);
        const Balance settled = balanceOf(serverLoads(workload, next, servers));
        for (std::size_t i = 0; i < next.size(); ++i) {
            if (next[i] == placement[i])
                continue;
            outcome.keysMoved += perShift / static_cast<double>(next.size());
            outcome.trafficMoved += perShift * workload.shares()[i];
        }
        outcome.shifted.imbalance += shifted.imbalance * perShift;
        outcome.settled.imbalance += settled.imbalance * perShift;
        outcome.settled.overCapacity += settled.overCapacity * perShift;
        outcome.worstSettled = std::max(outcome.worstSettled, settled.imbalance);
        placement = next;
    }
    outcome.hottestKey = workload.hottestShare() * static_cast<double>(servers);
    return outcome;
}

/** A point of a server on the ring. */
struct RingPoint
{
    KeyHash hash = 0;
    std::uint32_t server = 0;
};

std::vector<RingPoint> ringOf(std::size_t servers, std::uint64_t seed)
{
    std::mt19937_64 random(seed + 7);
    std::vector<RingPoint> ring;
    for (std::uint32_t server = 0; server < servers; ++server) {
        for (std::size_t i = 0; i < pointsPerServer; ++i)
            ring.push_back({random(), server});
    }
    std::ranges::sort(ring, {}, &RingPoint::hash);
    return ring;
}

/** \returns positions of keys in an order that is independent of hash and rate. */
std::vector<std::uint32_t> arrivalOrder(std::size_t keys, std::uint64_t seed)
{
    std::mt19937_64 random(seed + 8);
    std::vector<std::uint32_t> order(keys);
    std::iota(order.begin(), order.end(), 0u);
    std::ranges::shuffle(order, random);
    return order;
}

Placement placeOnRing(const Workload &workload, const std::vector<RingPoint> &ring,
                      const std::vector<std::uint32_t> &order, std::size_t servers, double bound)
{
    const double capacity = bound / static_cast<double>(servers);
    std::vector<double> loads(servers, 0.0);
    Placement placement(order.size());
    for (std::uint32_t position : order) {
        const double share = workload.shares()[position];
        const KeyHash hash = workload.hashes()[position];
        const auto first = std::ranges::lower_bound(ring, hash, {}, &RingPoint::hash);
        auto point = static_cast<std::size_t>(first - ring.begin()) % ring.size();
        // A key for which no server has room is placed as it would be without a bound.
        std::uint32_t owner = ring[point].server;
        for (std::size_t tries = 0; tries < maximumTries; ++tries) {
            const std::uint32_t server = ring[point].server;
            if (loads[server] + share <= capacity) {
                owner = server;
                break;
            }
            point = (point + 1) % ring.size();
        }
        loads[owner] += share;
        placement[position] = owner;
    }
    return placement;
}

/** A range of keys that are placed together, by their positions in the order of hashes. */
struct Unit
{
    std::size_t first = 0;
    std::size_t last = 0;
    double share = 0;
};

/** \returns slices of even size, from which the hot keys are split off. */
std::vector<Unit> unitsOf(const Workload &workload, std::size_t servers,
                          const PlannerOptions &options)
{
    const double hotShare = options.hotKeyRatio / static_cast<double>(servers);
    const std::size_t sliceCount = servers * options.slicesPerServer;
    const KeyHash width = ~KeyHash{0} / sliceCount + 1;
    std::vector<Unit> units;
    KeyHash slice = 0;
    bool isOpen = false;
    for (std::size_t i = 0; i < workload.hashes().size(); ++i) {
        const double share = workload.shares()[i];
        const KeyHash own = workload.hashes()[i] / width;
        if (share >= hotShare) {
            units.push_back({i, i + 1, share});
            isOpen = false;
            continue;
        }
        if (!isOpen || own != slice)
            units.push_back({i, i, 0.0});
        units.back().last = i + 1;
        units.back().share += share;
        slice = own;
        isOpen = true;
    }
    return units;
}

Placement placeHeaviestFirst(const Workload &workload, std::size_t servers,
                             const PlannerOptions &options)
{
    std::vector<Unit> units = unitsOf(workload, servers, options);
    std::ranges::stable_sort(units, std::greater{}, &Unit::share);
    using Load = std::pair<double, std::uint32_t>;
    std::priority_queue<Load, std::vector<Load>, std::greater<>> lightest;
    for (std::uint32_t server = 0; server < servers; ++server)
        lightest.emplace(0.0, server);

    Placement placement(workload.hashes().size());
    for (const Unit &unit : units) {
        const auto [load, server] = lightest.top();
        lightest.pop();
        lightest.emplace(load + unit.share, server);
        std::fill(placement.begin() + static_cast<std::ptrdiff_t>(unit.first),
                  placement.begin() + static_cast<std::ptrdiff_t>(unit.last), server);
    }
    return placement;
}

} // namespace

Outcome runModulo(const Scenario &scenario)
{
    return runPlacer(scenario, [&](const Workload &workload) {
        Placement placement;
        for (KeyHash hash : workload.hashes())
            placement.push_back(static_cast<std::uint32_t>(hash % scenario.deployment.servers));
        return placement;
    });
}

Outcome runBoundedConsistentHashing(const Scenario &scenario)
{
    const std::size_t servers = scenario.deployment.servers;
    const auto ring = ringOf(servers, scenario.seed);
    const auto order = arrivalOrder(servers * scenario.deployment.keysPerServer, scenario.seed);
    return runPlacer(scenario, [&](const Workload &workload) {
        return placeOnRing(workload, ring, order, servers, scenario.options.targetRatio);
    });
}

Outcome runFullReplan(const Scenario &scenario)
{
    return runPlacer(scenario, [&](const Workload &workload) {
        return placeHeaviestFirst(workload, scenario.deployment.servers, scenario.options);
    });
}

} // namespace bulrush::bench

#include "version/planner.h"

#include "version/moveround.h"
#include "version/serverloads.h"
#include "version/slicelayout.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace bulrush {

namespace {

/** Idle keys count as this part of the load, so that idle slices are spread over servers too. */
constexpr double idleLoadRatio = 0.01;

/** The budget holds this part of a window's moves; it and the refill add up to the allowance. */
constexpr double maxBudgetRatio = 0.5;

template<typename Slice>
std::vector<SliceRange> rangesOf(std::span<const Slice> slices)
{
    std::vector<SliceRange> ranges;
    ranges.reserve(slices.size());
    for (const Slice &slice : slices)
        ranges.push_back(slice.range);
    return ranges;
}

double coveredShare(std::span<const SliceOwner> slices)
{
    double share = 0;
    for (const SliceOwner &slice : slices)
        share += keySpaceShare(slice.range);
    return share;
}

std::vector<PlannedSlice> plannedSlices(std::span<const SliceOwner> slices, ServerLoads &servers)
{
    std::vector<PlannedSlice> planned;
    planned.reserve(slices.size());
    for (const SliceOwner &slice : slices)
        planned.push_back({slice.range, servers.indexOf(slice.server)});
    return planned;
}

/**
 * \returns loads derived from the servers' own reports, for a service that no daemon has measured
 * yet; empty unless every owner has reported.
 */
std::vector<SliceLoad> reportedLoads(const PlanInput &input)
{
    std::unordered_map<std::string_view, double> reports;
    for (const ServerState &state : input.servers) {
        if (state.service == input.service && state.reportedLoad)
            reports.emplace(state.server.value(), *state.reportedLoad);
    }
    std::unordered_map<std::string_view, double> shares;
    for (const SliceOwner &slice : input.slices)
        shares[slice.server.value()] += keySpaceShare(slice.range);

    std::vector<SliceLoad> loads;
    for (const SliceOwner &slice : input.slices) {
        const auto report = reports.find(slice.server.value());
        if (report == reports.end())
            return {};
        const double part = keySpaceShare(slice.range) / shares[slice.server.value()];
        loads.push_back({slice.range, report->second * part});
    }
    return loads;
}

/**
 * The slice width is based on all known servers, so that the loss of some does not merge slices.
 */
LayoutBounds layoutBounds(const PlannerOptions &options, std::size_t servers,
                          std::size_t usableServers, double totalLoad, double share)
{
    const double fairLoad = totalLoad / static_cast<double>(usableServers);
    const double hotLoad = fairLoad * options.hotKeyRatio;
    return {
        .sliceShare = share / static_cast<double>(servers * options.slicesPerServer),
        .hotLoad = hotLoad,
        .coolLoad = hotLoad * options.coolRatio,
        .maximumHotKeys = servers * options.hotKeysPerServer,
    };
}

Plan toPlan(const PlanInput &input, const ServerLoads &servers, Layout layout,
            std::span<const SliceMove> moves)
{
    Plan plan;
    for (SliceRange range : layout.merges)
        plan.merges.push_back({input.service, range});
    for (SliceParts &parts : layout.splits)
        plan.splits.push_back({input.service, std::move(parts)});
    for (const SliceMove &move : moves) {
        plan.moves.push_back({input.service, move.range, servers.name(move.from),
                              servers.name(move.to), move.reason});
    }
    return plan;
}

} // namespace

PlannerOptions plannerOptions(Preference preference)
{
    PlannerOptions options;
    if (preference == Preference::Availability) {
        options.targetRatio = 1.30;
        options.settleRatio = 1.20;
        options.coldStep = 0.05;
        options.moveBudget = 0.01;
        options.holdTime = std::chrono::minutes{5};
    }
    return options;
}

Planner::Planner(PlannerOptions options)
    : m_options(options)
    , m_budget(options.moveBudget * maxBudgetRatio)
{ }

Plan Planner::plan(const PlanInput &input, Instant now)
{
    refillBudget(now);
    removeExpiredMoves(now);
    ServerLoads servers(input.service, input.servers, m_options.coldStep);
    const std::size_t serverCount = servers.count();
    if (input.slices.empty() || servers.usableCount() == 0)
        return {};

    const bool isMeasured = !input.loads.empty() || !input.hotKeys.empty();
    const std::vector<SliceLoad> reported =
        isMeasured ? std::vector<SliceLoad>{} : reportedLoads(input);
    const std::span<const SliceLoad> loads = isMeasured ? input.loads : reported;

    const double share = coveredShare(input.slices);
    const std::vector<PlannedSlice> current = plannedSlices(input.slices, servers);
    std::vector<double> sliceLoads =
        loadOfSlices(rangesOf(std::span(current)), loads, input.hotKeys);
    const double total = std::accumulate(sliceLoads.begin(), sliceLoads.end(), 0.0);
    const LayoutBounds bounds =
        layoutBounds(m_options, serverCount, servers.usableCount(), total, share);
    Layout layout = planLayout(current, sliceLoads, input.hotKeys, bounds);

    sliceLoads = loadOfSlices(rangesOf<PlannedSlice>(layout.slices), loads, input.hotKeys);
    std::vector<MovableSlice> slices = movableSlices(layout.slices, sliceLoads, total, share);
    const std::size_t maxSlices = serverCount * m_options.maximumSlicesPerServer;
    LayoutBounds partBounds = bounds;
    // The share of movable slices is relative to the service's part of the key space.
    partBounds.sliceShare /= share;
    const auto moves = chooseMoves(slices, servers, partBounds, slices.size() > maxSlices);
    for (const SliceMove &move : moves)
        m_lastMoves.insert_or_assign(move.range.begin, now);
    return toPlan(input, servers, std::move(layout), moves);
}

std::vector<SliceMove> Planner::chooseMoves(std::span<MovableSlice> slices, ServerLoads &servers,
                                            const LayoutBounds &bounds, bool isCrowded)
{
    std::vector<double> serverLoads(servers.count(), 0.0);
    for (const MovableSlice &slice : slices)
        serverLoads[slice.owner] += slice.load;
    servers.setLoads(serverLoads);

    const std::vector<bool> waiting = unconfirmedServers(servers);
    MoveRound round(m_options, slices, servers, m_budget);
    round.emptyUnusableServers();
    round.relieveBusyServers(waiting);
    round.fillColdServers();
    round.joinNeighbours(bounds.coolLoad, isCrowded, bounds.sliceShare);
    return round.moves();
}

std::vector<MovableSlice> Planner::movableSlices(std::span<const PlannedSlice> slices,
                                                 std::span<const double> loads, double totalLoad,
                                                 double totalShare) const
{
    const double idleLoad = totalLoad > 0 ? totalLoad * idleLoadRatio : 1.0;
    std::vector<MovableSlice> result;
    result.reserve(slices.size());
    for (std::size_t i = 0; i < slices.size(); ++i) {
        MovableSlice slice;
        slice.range = slices[i].range;
        slice.owner = slices[i].owner;
        slice.isPinned = m_lastMoves.contains(slice.range.begin);
        slice.share = keySpaceShare(slice.range) / totalShare;
        slice.load = loads[i] + idleLoad * slice.share;
        result.push_back(slice);
    }
    return result;
}

/**
 * \returns for each server whether it is too busy, but not yet in enough consecutive rounds to act.
 */
std::vector<bool> Planner::unconfirmedServers(const ServerLoads &servers)
{
    std::map<ServerName, std::uint32_t> busyRounds;
    std::vector<bool> unconfirmed(servers.count(), false);
    for (std::size_t i = 0; i < servers.count(); ++i) {
        if (servers.ratio(i) <= m_options.targetRatio)
            continue;
        const auto before = m_busyRounds.find(servers.name(i));
        const std::uint32_t rounds = before == m_busyRounds.end() ? 1 : before->second + 1;
        unconfirmed[i] = rounds < m_options.confirmingRounds;
        busyRounds.emplace(servers.name(i), rounds);
    }
    m_busyRounds = std::move(busyRounds);
    return unconfirmed;
}

void Planner::refillBudget(Instant now)
{
    if (m_lastRound) {
        const std::chrono::duration<double> passed = now - *m_lastRound;
        const std::chrono::duration<double> window = m_options.budgetWindow;
        const double fullBudget = m_options.moveBudget * maxBudgetRatio;
        const double refill = m_options.moveBudget * (1.0 - maxBudgetRatio) * (passed / window);
        m_budget = std::min(fullBudget, m_budget + refill);
    }
    m_lastRound = now;
}

void Planner::removeExpiredMoves(Instant now)
{
    std::erase_if(m_lastMoves,
                  [&](const auto &entry) { return now - entry.second >= m_options.holdTime; });
}

std::vector<SliceOwner> initialSlices(const ServiceName &service,
                                      std::span<const ServerState> servers,
                                      const PlannerOptions &options, SliceRange keySpace)
{
    const ServerLoads known(service, servers, options.coldStep);
    if (known.usableCount() == 0)
        return {};

    std::unordered_map<std::string_view, double> capacityByName;
    for (const ServerState &state : servers) {
        if (state.service == service)
            capacityByName.emplace(state.server.value(), state.capacity);
    }
    // The server with the fewest slices for its capacity is next; ties are resolved by name.
    using FillLevel = std::pair<double, std::size_t>;
    std::priority_queue<FillLevel, std::vector<FillLevel>, std::greater<>> serversByFill;
    for (std::size_t i = 0; i < known.count(); ++i) {
        if (known.isUsable(i))
            serversByFill.emplace(0.0, i);
    }
    const std::size_t sliceCount = known.usableCount() * options.slicesPerServer;
    const KeyHash step = (keySpace.end - keySpace.begin) / sliceCount;
    std::vector<SliceOwner> slices;
    slices.reserve(sliceCount);
    for (std::size_t i = 0; i < sliceCount; ++i) {
        const auto [fillLevel, owner] = serversByFill.top();
        serversByFill.pop();
        serversByFill.emplace(fillLevel + 1.0 / capacityByName.at(known.name(owner).value()),
                              owner);
        const KeyHash begin = keySpace.begin + i * step;
        const KeyHash end = i + 1 == sliceCount ? keySpace.end : begin + step - 1;
        slices.push_back({service, {begin, end}, known.name(owner), {}});
    }
    return slices;
}

} // namespace bulrush

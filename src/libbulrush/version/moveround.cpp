#include "version/moveround.h"

#include "version/slicelayout.h"

#include <algorithm>
#include <functional>

namespace bulrush {

namespace {

/** A receiver may become too busy by the slices it gets; the next pass relieves it. */
constexpr int maxPasses = 4;

/** Servers examined for one large key; bounds the planning time to linear. */
constexpr std::size_t maxCandidates = 16;

/** A key with this part of a fair share is large: moving it may be cheaper than moving the rest. */
constexpr double largeRatio = 0.25;

/**
 * A large key moves only if the fixed load of the new server would exceed the settle ratio by at
 * most this part of the excess at the old server, since removing fixed load moves many keys.
 */
constexpr double maxReceiverExcessRatio = 0.5;

} // namespace

MoveRound::MoveRound(const PlannerOptions &options, std::span<MovableSlice> slices,
                     ServerLoads &servers, double &budget)
    : m_options(options)
    , m_slices(slices)
    , m_servers(servers)
    , m_budget(budget)
    , m_slicesByServer(servers.count())
{
    std::vector<std::size_t> counts(servers.count(), 0);
    for (const MovableSlice &slice : slices)
        ++counts[slice.owner];
    for (std::size_t i = 0; i < counts.size(); ++i)
        m_slicesByServer[i].reserve(counts[i]);
    for (MovableSlice &slice : slices)
        m_slicesByServer[slice.owner].push_back(&slice);

    m_fixedLoads.assign(servers.count(), 0.0);
    for (const MovableSlice &slice : slices) {
        if (isFixed(slice))
            m_fixedLoads[slice.owner] += slice.load;
    }
    for (std::size_t i = 0; i < servers.count(); ++i)
        changeFixedLoad(i, 0.0);
}

void MoveRound::emptyUnusableServers()
{
    std::vector<MovableSlice *> slicesToEvacuate;
    for (MovableSlice &slice : m_slices) {
        if (!m_servers.isUsable(slice.owner))
            slicesToEvacuate.push_back(&slice);
    }
    std::ranges::stable_sort(slicesToEvacuate,
                             [&](const MovableSlice *first, const MovableSlice *second) {
                                 const bool isFirstLost = m_servers.isLost(first->owner);
                                 if (isFirstLost != m_servers.isLost(second->owner))
                                     return isFirstLost;
                                 return first->load > second->load;
                             });
    for (MovableSlice *slice : slicesToEvacuate) {
        auto to = m_servers.receiver(slice->load, m_options.settleRatio);
        if (!to)
            to = m_servers.leastLoaded();
        if (!to)
            return;
        const bool isLost = m_servers.isLost(slice->owner);
        move(*slice, *to, isLost ? MoveReason::OwnerLost : MoveReason::OwnerLeaving);
    }
}

void MoveRound::relieveBusyServers(const std::vector<bool> &unconfirmed)
{
    for (int pass = 0; pass < maxPasses; ++pass) {
        if (!relieveOnePass(unconfirmed))
            return;
    }
}

void MoveRound::fillColdServers()
{
    for (std::size_t i = 0; i < m_servers.count(); ++i) {
        const bool takesLoad = m_servers.isUsable(i) && m_servers.isCold(i);
        if (takesLoad && m_servers.ratio(i) < m_options.floorRatio)
            fillColdServer(i);
    }
}

void MoveRound::joinNeighbours(double coolLoad, bool isCrowded, double sliceShare)
{
    for (std::size_t i = 1; i < m_slices.size(); ++i) {
        MovableSlice &left = m_slices[i - 1];
        MovableSlice &right = m_slices[i];
        if (left.owner == right.owner || left.range.end + 1 != right.range.begin)
            continue;
        const bool isLeftCold = isSingleKey(left.range) && left.load < coolLoad;
        const bool isRightCold = isSingleKey(right.range) && right.load < coolLoad;
        const bool isKey = isSingleKey(left.range) || isSingleKey(right.range);
        const bool isNarrow =
            isCrowded && !isKey && left.share + right.share <= sliceShare * (1.0 + shareTolerance);
        const bool joinsLeft = isRightCold || (isNarrow && right.share <= left.share);
        const bool joinsRight = isLeftCold || isNarrow;
        if (joinsLeft && canJoin(right, left))
            move(right, left.owner, MoveReason::Consolidation);
        else if (joinsRight && canJoin(left, right))
            move(left, right.owner, MoveReason::Consolidation);
    }
}

bool MoveRound::canMove(const MovableSlice &slice) const
{
    return !slice.isPinned && slice.share <= m_budget;
}

void MoveRound::move(MovableSlice &slice, std::size_t to, MoveReason reason)
{
    const auto target = static_cast<std::uint32_t>(to);
    m_moves.push_back({slice.range, slice.owner, target, reason});
    m_servers.move(slice.owner, to, slice.load);
    if (reason != MoveReason::OwnerLost && reason != MoveReason::OwnerLeaving)
        m_budget -= slice.share;
    if (isFixed(slice)) {
        changeFixedLoad(slice.owner, -slice.load);
        changeFixedLoad(to, slice.load);
    }
    slice.owner = target;
    slice.isPinned = true;
}

/**
 * \returns the slices that the server had before this round, by falling load per share of the key
 * space: moving the first ones discards the least warm state for the load that it removes.
 */
std::vector<MovableSlice *> MoveRound::slicesByDensity(std::size_t server)
{
    std::vector<MovableSlice *> slices = m_slicesByServer[server];
    std::erase_if(slices, [&](const MovableSlice *slice) {
        return slice->isPinned || slice->owner != server;
    });
    std::ranges::stable_sort(slices, std::greater{},
                             [](const MovableSlice *slice) { return slice->load / slice->share; });
    return slices;
}

/**
 * \returns whether any slice was moved.
 */
bool MoveRound::relieveOnePass(const std::vector<bool> &unconfirmed)
{
    std::vector<std::size_t> busy;
    for (std::size_t i = 0; i < m_servers.count(); ++i) {
        if (!unconfirmed[i] && m_servers.ratio(i) > m_options.targetRatio)
            busy.push_back(i);
    }
    std::ranges::stable_sort(busy, std::greater{},
                             [&](std::size_t server) { return m_servers.ratio(server); });
    const std::size_t movesBefore = m_moves.size();
    for (std::size_t donor : busy) {
        const std::vector<MovableSlice *> slices = slicesByDensity(donor);
        placeLargeSlices(donor, slices);
        shedWithinExcess(donor, slices);
        if (m_servers.ratio(donor) > m_options.targetRatio)
            shedOneAboveExcess(donor, slices);
    }
    return m_moves.size() > movesBefore;
}

double MoveRound::excess(std::size_t server) const
{
    return m_servers.load(server) - m_servers.fairShare(server) * m_options.settleRatio;
}

/**
 * Moves large keys to servers with little other load, instead of moving all other load away.
 */
void MoveRound::placeLargeSlices(std::size_t donor, std::span<MovableSlice *const> slices)
{
    for (MovableSlice *slice : slices) {
        if (!isLarge(*slice) || !canMove(*slice) || excess(donor) <= 0)
            continue;
        const auto to = receiverForLargeKey(*slice);
        if (!to || *to == donor)
            continue;
        const double donorExcess = fixedExcess(donor);
        const double receiverExcess = fixedExcess(*to) + slice->load;
        if (donorExcess > 0 && receiverExcess <= donorExcess * maxReceiverExcessRatio)
            move(*slice, *to, MoveReason::Overload);
    }
}

bool MoveRound::isLarge(const MovableSlice &slice) const
{
    const double fairShare = m_servers.averageShare();
    return isSingleKey(slice.range) && slice.load >= largeRatio * fairShare;
}

bool MoveRound::isFixed(const MovableSlice &slice) const
{
    return !isSingleKey(slice.range) || isLarge(slice);
}

void MoveRound::changeFixedLoad(std::size_t server, double change)
{
    if (!m_servers.isUsable(server))
        return;
    const double fairShare = m_servers.fairShare(server);
    m_byFixedRatio.erase({m_fixedLoads[server] / fairShare, server});
    m_fixedLoads[server] += change;
    m_byFixedRatio.emplace(m_fixedLoads[server] / fairShare, server);
}

double MoveRound::fixedExcess(std::size_t server) const
{
    return m_fixedLoads[server] - m_servers.fairShare(server) * m_options.settleRatio;
}

/**
 * \returns the server with the least fixed load for a large key, or nothing. Cold servers qualify
 * only if they have room for it.
 */
std::optional<std::size_t> MoveRound::receiverForLargeKey(const MovableSlice &slice) const
{
    std::size_t tries = 0;
    for (const auto &[ratio, server] : m_byFixedRatio) {
        const bool isAllowed = !m_servers.isCold(server)
            || m_servers.room(server, m_options.settleRatio) >= slice.load;
        if (isAllowed)
            return server;
        if (++tries == maxCandidates)
            return std::nullopt;
    }
    return std::nullopt;
}

/**
 * Moves slices that are no larger than the excess load, until no excess is left.
 */
void MoveRound::shedWithinExcess(std::size_t donor, std::span<MovableSlice *const> slices)
{
    for (MovableSlice *slice : slices) {
        const double excessLoad = excess(donor);
        if (excessLoad <= 0)
            return;
        if (!canMove(*slice) || slice->load > excessLoad)
            continue;
        if (const auto to = m_servers.receiver(slice->load, m_options.settleRatio))
            move(*slice, *to, MoveReason::Overload);
    }
}

/**
 * Moves the smallest slice that is larger than the excess load, if some server has room for it.
 */
void MoveRound::shedOneAboveExcess(std::size_t donor, std::span<MovableSlice *const> slices)
{
    const double excessLoad = excess(donor);
    MovableSlice *smallest = nullptr;
    for (MovableSlice *slice : slices) {
        const bool isLarger = canMove(*slice) && slice->load > excessLoad;
        if (isLarger && (!smallest || slice->load < smallest->load))
            smallest = slice;
    }
    if (!smallest)
        return;
    if (const auto to = m_servers.receiver(smallest->load, m_options.settleRatio))
        move(*smallest, *to, MoveReason::Overload);
}

/**
 * Moves slices from the busiest server to \a receiver, as long as the former stays above its fair
 * share.
 */
void MoveRound::fillColdServer(std::size_t receiver)
{
    std::size_t donor = receiver;
    for (std::size_t i = 0; i < m_servers.count(); ++i) {
        if (m_servers.ratio(i) > m_servers.ratio(donor))
            donor = i;
    }
    for (MovableSlice *slice : slicesByDensity(donor)) {
        const double spare = m_servers.load(donor) - m_servers.fairShare(donor);
        const double wanted = m_servers.room(receiver, m_options.floorRatio);
        if (canMove(*slice) && slice->load <= std::min(spare, wanted))
            move(*slice, receiver, MoveReason::Underload);
    }
}

bool MoveRound::canJoin(const MovableSlice &slice, const MovableSlice &neighbour) const
{
    if (!canMove(slice) || !m_servers.isUsable(neighbour.owner))
        return false;
    return m_servers.room(neighbour.owner, m_options.settleRatio) >= slice.load;
}

} // namespace bulrush

#include "version/keyplanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>

namespace bulrush {

namespace {

/** Lower bound that keeps shares finite whatever capacity is reported, in requests per second. */
constexpr double minCapacity = 0.05;

/** One round of planning. */
class Round
{
public:
    Round(const KeyAssignment &current, std::span<const KeyServer> servers,
          const KeyTraffic &traffic);

    std::optional<KeyAssignment> run();

private:
    struct Share
    {
        double capacity = 1.0;
        bool hasLimit = false;
        bool isRecovered = false;
        /** The load that it should have. */
        double target = 0.0;
        double load = 0.0;
        std::size_t ranges = 0;
    };

    double loadOf(const KeyRange &range) const;
    void setTargets(std::span<const KeyServer> servers);
    void fillGaps();
    void replaceLostOwners();
    void balance();
    bool fillNewServer();
    bool moveHotKey();
    bool isOverloaded(const Share &share) const;
    bool moveFromMostLoaded();
    bool moveFrom(const ServerName &from, double load, const ServerName &to);
    bool wouldStarve(const OwnedRange &moved) const;
    bool moveMostLoadedRange(const ServerName &from);
    std::vector<std::size_t> rangesByLoad(const ServerName &owner) const;
    ServerName mostLoaded() const;
    std::vector<OwnedRange> divide(const OwnedRange &owned);
    KeyPosition prefixSize(const KeyRange &range, double load) const;
    ServerName mostUnderloaded(const ServerName &except) const;
    void assign(OwnedRange &owned, const ServerName &server) const;
    bool splitOff(std::size_t index, double load, const ServerName &to);

    const KeyAssignment &m_current;
    KeyAssignment m_next;
    RateSums m_rates;
    double m_countedSeconds;
    std::map<ServerName, Share> m_shares;
    /** Overloaded servers from which no range could be moved in this round. */
    std::set<ServerName> m_unrelievable;
    double m_totalLoad = 0.0;
    bool m_hasChanged = false;
};

Round::Round(const KeyAssignment &current, std::span<const KeyServer> servers,
             const KeyTraffic &traffic)
    : m_current(current)
    , m_next(current)
    , m_rates(traffic.rates)
    , m_countedSeconds(traffic.countedSeconds)
{
    m_next.sequence = current.sequence + 1;
    for (const KeyServer &server : servers) {
        m_shares[server.id].capacity = std::max(minCapacity, server.usableCapacity());
        m_shares[server.id].hasLimit = server.limit.has_value();
        m_shares[server.id].isRecovered = server.isRecovered;
    }
    for (const OwnedRange &owned : current.ranges) {
        const auto share = m_shares.find(owned.owner);
        if (share == m_shares.end())
            continue;
        share->second.load += loadOf(owned.range);
        ++share->second.ranges;
    }
    m_totalLoad = loadOf({0, keyPositionCount - 1});
    setTargets(servers);
}

std::optional<KeyAssignment> Round::run()
{
    if (m_shares.empty())
        return std::nullopt;
    fillGaps();
    replaceLostOwners();
    if (!m_current.hasMoves())
        balance();
    if (!m_hasChanged)
        return std::nullopt;
    mergeAdjacentRanges(m_next);
    return m_next;
}

double Round::loadOf(const KeyRange &range) const
{
    return m_rates.of(range)
        + KeyPlanner::baselineLoad * static_cast<double>(range.size()) / keyPositionCount;
}

/**
 * Divides the load by capacity. Servers that name a limit get no more than a part of it, and the
 * others the rest.
 */
void Round::setTargets(std::span<const KeyServer> servers)
{
    double capacity = 0.0;
    double usableCapacity = 0.0;
    for (const KeyServer &server : servers) {
        capacity += std::max(minCapacity, server.capacity);
        usableCapacity += m_shares[server.id].capacity;
    }
    double unlimitedCapacity = 0.0;
    double remainingLoad = m_totalLoad;
    for (const KeyServer &server : servers) {
        if (!server.limit) {
            unlimitedCapacity += m_shares[server.id].capacity;
            continue;
        }
        const double byCapacity = m_totalLoad * server.capacity / capacity;
        m_shares[server.id].target = std::min(byCapacity, KeyPlanner::limitFill * *server.limit);
        remainingLoad -= m_shares[server.id].target;
    }
    for (const KeyServer &server : servers) {
        Share &share = m_shares[server.id];
        if (unlimitedCapacity == 0.0)
            share.target = m_totalLoad * share.capacity / usableCapacity;
        else if (!server.limit)
            share.target = remainingLoad * share.capacity / unlimitedCapacity;
    }
}

/** Adds ranges with an empty owner where keys are not assigned. */
void Round::fillGaps()
{
    std::vector<OwnedRange> complete;
    KeyPosition next = 0;
    for (const OwnedRange &owned : m_next.ranges) {
        if (owned.range.first > next)
            complete.push_back({{next, owned.range.first - 1}, {}, m_next.sequence, {}, {}, 0});
        complete.push_back(owned);
        next = owned.range.last + 1;
    }
    if (next < keyPositionCount)
        complete.push_back({{next, keyPositionCount - 1}, {}, m_next.sequence, {}, {}, 0});
    m_next.ranges = std::move(complete);
}

void Round::replaceLostOwners()
{
    std::vector<OwnedRange> ranges;
    for (const OwnedRange &owned : m_next.ranges) {
        if (m_shares.contains(owned.owner)) {
            ranges.push_back(owned);
            continue;
        }
        m_hasChanged = true;
        for (const OwnedRange &piece : divide(owned))
            ranges.push_back(piece);
    }
    m_next.ranges = std::move(ranges);
}

/** Divides the range of a lost owner among the servers that are furthest below their share. */
std::vector<OwnedRange> Round::divide(const OwnedRange &owned)
{
    const double meanShare = m_totalLoad / static_cast<double>(m_shares.size());
    const double minPieceLoad =
        std::min(loadOf(owned.range), meanShare) * KeyPlanner::minPieceFraction;
    std::vector<OwnedRange> pieces;
    OwnedRange rest = owned;
    for (;;) {
        const ServerName server = mostUnderloaded({});
        Share &share = m_shares[server];
        const double spareLoad = std::max(share.target - share.load, minPieceLoad);
        OwnedRange piece = rest;
        const KeyPosition size = prefixSize(rest.range, spareLoad);
        const bool isLast = size >= rest.range.size();
        if (!isLast)
            piece.range.last = piece.range.first + size - 1;
        share.load += loadOf(piece.range);
        ++share.ranges;
        assign(piece, server);
        pieces.push_back(piece);
        if (isLast)
            return pieces;
        rest.range.first = piece.range.last + 1;
    }
}

/** \returns how many keys from the start of \a range have about \a load, at least one. */
KeyPosition Round::prefixSize(const KeyRange &range, double load) const
{
    KeyPosition low = 1;
    KeyPosition high = range.size();
    while (low < high) {
        const KeyPosition middle = low + (high - low) / 2;
        if (loadOf({range.first, range.first + middle - 1}) < load)
            low = middle + 1;
        else
            high = middle;
    }
    if (low == 1)
        return low;
    // The last key may be hot: include it only if that is closer to the requested load.
    const double with = loadOf({range.first, range.first + low - 1}) - load;
    const double without = load - loadOf({range.first, range.first + low - 2});
    return without < with ? low - 1 : low;
}

ServerName Round::mostUnderloaded(const ServerName &except) const
{
    const auto need = [](const auto &entry) {
        return entry.second.target - entry.second.load;
    };
    const auto best = std::ranges::max_element(m_shares, [&](const auto &left, const auto &right) {
        const bool isLeftOut = left.first == except;
        const bool isRightOut = right.first == except;
        if (isLeftOut != isRightOut)
            return isLeftOut;
        return need(left) < need(right);
    });
    return best->first;
}

void Round::assign(OwnedRange &owned, const ServerName &server) const
{
    // An owner that still waits for the last holder was never granted the range, so that the last
    // holder stays the previous owner.
    if (!owned.isMoving() && !owned.owner.isEmpty()) {
        owned.previous = owned.owner;
        owned.moveSequence = m_next.sequence;
    }
    owned.owner = server;
    owned.fence = m_next.sequence;
    owned.handover.clear();
    if (!owned.isMoving() || owned.previous != server)
        return;
    // The range returns to its holder, which gets a higher fencing token; no other server has to
    // release it first.
    owned.previous = {};
    owned.moveSequence = 0;
}

void Round::balance()
{
    if (m_shares.size() < 2)
        return;
    const std::size_t moveLimit =
        std::max(KeyPlanner::minMoveLimit, m_shares.size() / KeyPlanner::serversPerMove);
    for (std::size_t i = 0; i < moveLimit; ++i) {
        if (!fillNewServer() && !moveHotKey() && !moveFromMostLoaded())
            return;
    }
}

/** \returns the server with the highest load relative to its capacity that can be relieved. */
ServerName Round::mostLoaded() const
{
    return std::ranges::max_element(m_shares, {},
                                    [this](const auto &entry) {
                                        return m_unrelievable.contains(entry.first)
                                            ? 0.0
                                            : entry.second.load / entry.second.capacity;
                                    })
        ->first;
}

/** Moves keys from the most loaded server to one that has none, or few since it named a limit. */
bool Round::fillNewServer()
{
    const auto newServer = std::ranges::find_if(m_shares, [](const auto &entry) {
        const Share &share = entry.second;
        return share.ranges == 0
            || (share.isRecovered && share.load < KeyPlanner::recoveredFill * share.target);
    });
    if (newServer == m_shares.end())
        return false;
    const ServerName from = mostLoaded();
    const Share &share = newServer->second;
    const double wanted =
        std::min(KeyPlanner::newServerFill * share.target - share.load, m_shares[from].load / 2);
    return from != newServer->first && moveFrom(from, wanted, newServer->first);
}

/** Moves a key that alone overloads its owner to a server that is sufficiently faster. */
bool Round::moveHotKey()
{
    for (std::size_t i = 0; i < m_next.ranges.size(); ++i) {
        const OwnedRange &owned = m_next.ranges[i];
        if (owned.range.size() > 1 || owned.fence == m_next.sequence)
            continue;
        const Share &share = m_shares[owned.owner];
        const double load = loadOf(owned.range);
        if (load < KeyPlanner::overloadFactor * share.target)
            continue;
        const auto fastest = std::ranges::max_element(
            m_shares, {}, [](const auto &entry) { return entry.second.capacity; });
        const bool isFasterEnough =
            fastest->second.capacity > KeyPlanner::hotKeySpeedup * share.capacity;
        // Two such keys on one server would both be worse off.
        const bool hasHotKey = fastest->second.load > load;
        if (isFasterEnough && !hasHotKey)
            return splitOff(i, load, fastest->first);
    }
    return false;
}

/** \returns whether \a share significantly exceeds its target on a busy server. */
bool Round::isOverloaded(const Share &share) const
{
    const double target = share.target;
    const double deviation = std::sqrt(share.load / m_countedSeconds);
    return share.load >= KeyPlanner::overloadFactor * target
        && share.load >= KeyPlanner::busyFraction * share.capacity
        && share.load - target >= KeyPlanner::significantDeviations * deviation;
}

bool Round::moveFromMostLoaded()
{
    while (m_unrelievable.size() < m_shares.size()) {
        const ServerName from = mostLoaded();
        const Share &most = m_shares[from];
        if (!isOverloaded(most))
            return false;
        const ServerName to = mostUnderloaded(from);
        const double spareLoad = m_shares[to].target - m_shares[to].load;
        const double wanted = std::min(most.load - most.target, spareLoad);
        if (wanted > 0.0 && moveFrom(from, wanted, to))
            return true;
        if (most.hasLimit && moveMostLoadedRange(from))
            return true;
        // Its load may come from a single key, for example; continue with the other servers.
        m_unrelievable.insert(from);
    }
    return false;
}

/** Moves about \a load from a range of \a from, trying those with the highest load first. */
bool Round::moveFrom(const ServerName &from, double load, const ServerName &to)
{
    const std::vector<std::size_t> candidates = rangesByLoad(from);
    const auto move = [&](double wanted) {
        return std::ranges::any_of(candidates,
                                   [&](std::size_t i) { return splitOff(i, wanted, to); });
    };
    if (move(load))
        return true;
    // A server that names a limit keeps some load, so that a smaller piece may have to do.
    return m_shares[from].hasLimit && load / 2 > KeyPlanner::minLimitedLoad && move(load / 2);
}

/**
 * \returns whether the server that owns \a moved names a limit and would get hardly any requests
 * without \a moved.
 */
bool Round::wouldStarve(const OwnedRange &moved) const
{
    if (!m_shares.at(moved.owner).hasLimit)
        return false;
    double remaining = -m_rates.of(moved.range);
    for (const OwnedRange &owned : m_next.ranges) {
        if (owned.owner == moved.owner)
            remaining += m_rates.of(owned.range);
    }
    return remaining < KeyPlanner::minLimitedLoad;
}

/** \returns the ranges of \a owner that were not moved in this round, the most loaded first. */
std::vector<std::size_t> Round::rangesByLoad(const ServerName &owner) const
{
    std::vector<std::size_t> ranges;
    for (std::size_t i = 0; i < m_next.ranges.size(); ++i) {
        const OwnedRange &owned = m_next.ranges[i];
        if (owned.owner == owner && owned.fence != m_next.sequence)
            ranges.push_back(i);
    }
    std::ranges::sort(ranges, std::ranges::greater{},
                      [this](std::size_t i) { return loadOf(m_next.ranges[i].range); });
    return ranges;
}

/**
 * Moves the whole range of \a from with the highest load to the server that has most capacity left.
 * A server that names a limit can't serve a hot key, even if no other server has room for all of
 * that key's requests. \returns whether that server is less loaded than \a from afterwards.
 */
bool Round::moveMostLoadedRange(const ServerName &from)
{
    const std::vector<std::size_t> ranges = rangesByLoad(from);
    if (ranges.empty())
        return false;
    const auto to = std::ranges::max_element(m_shares, {}, [&from](const auto &entry) {
        return entry.first == from ? std::numeric_limits<double>::lowest()
                                   : entry.second.capacity - entry.second.load;
    });
    OwnedRange &owned = m_next.ranges[ranges.front()];
    Share &source = m_shares[from];
    Share &target = to->second;
    const double load = loadOf(owned.range);
    if (load <= KeyPlanner::overloadFactor * source.capacity && wouldStarve(owned))
        return false;
    if (to->first == from
        || (target.load + load) / target.capacity >= source.load / source.capacity)
        return false;
    assign(owned, to->first);
    source.load -= load;
    target.load += load;
    --source.ranges;
    ++target.ranges;
    m_hasChanged = true;
    return true;
}

/** Moves a piece of about \a load from whichever end of the range \a index fits better. */
bool Round::splitOff(std::size_t index, double load, const ServerName &to)
{
    const OwnedRange source = m_next.ranges[index];
    const ServerName from = source.owner;
    const double sourceLoad = loadOf(source.range);
    OwnedRange moved = source;
    const KeyPosition head = prefixSize(source.range, load);
    if (head < source.range.size()) {
        const KeyRange headRange{source.range.first, source.range.first + head - 1};
        const KeyPosition kept = prefixSize(source.range, sourceLoad - load);
        const KeyRange tailRange{std::min(source.range.first + kept, source.range.last),
                                 source.range.last};
        const double headMiss = std::abs(loadOf(headRange) - load);
        const double tailMiss = std::abs(loadOf(tailRange) - load);
        moved.range = headMiss <= tailMiss ? headRange : tailRange;
    }
    const double movedLoad = loadOf(moved.range);
    // A piece with much more load than requested would only shift the overload, and one with far
    // less load is not worth a move.
    if (movedLoad > 1.5 * load + 0.5 || movedLoad < load / 8 || wouldStarve(moved))
        return false;
    if (m_shares[from].ranges >= KeyPlanner::maxRangesPerServer
        && m_shares[to].ranges >= KeyPlanner::maxRangesPerServer)
        return false;

    assign(moved, to);
    std::vector<OwnedRange> pieces;
    if (moved.range.first > source.range.first) {
        pieces.push_back(source);
        pieces.back().range.last = moved.range.first - 1;
    }
    pieces.push_back(moved);
    if (moved.range.last < source.range.last) {
        pieces.push_back(source);
        pieces.back().range.first = moved.range.last + 1;
    }
    const auto at = m_next.ranges.begin() + static_cast<std::ptrdiff_t>(index);
    m_next.ranges.insert(m_next.ranges.erase(at), pieces.begin(), pieces.end());
    m_shares[from].load -= movedLoad;
    m_shares[to].load += movedLoad;
    m_shares[from].ranges += pieces.size() - 2;
    ++m_shares[to].ranges;
    m_hasChanged = true;
    return true;
}

} // namespace

std::optional<KeyAssignment> KeyPlanner::plan(const KeyAssignment &current,
                                              std::span<const KeyServer> servers,
                                              const KeyTraffic &traffic)
{
    return Round{current, servers, traffic}.run();
}

} // namespace bulrush

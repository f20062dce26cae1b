#pragma once

#include "version/planner.h"
#include "version/serverloads.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace bulrush {

/**
 * A slice that a round may move.
 */
struct MovableSlice
{
    SliceRange range;
    std::uint32_t owner = 0;
    /** Moved recently or in this round; not moved again unless its owner is lost or leaving. */
    bool isPinned = false;
    /** In requests per second. */
    double load = 0;
    /** Share of the service's part of the key space. */
    double share = 0;
};

/**
 * A move of a slice from one server to another, by their indexes.
 */
struct SliceMove
{
    SliceRange range;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    MoveReason reason = MoveReason::Overload;
};

/**
 * Chooses the moves of one planning round, for slices whose layout is final. Each slice moves at
 * most once.
 *
 * Not thread safe.
 */
class MoveRound
{
public:
    /**
     * \a budget is the share of the key space that may move; each move reduces it.
     * \pre All arguments outlive this object; \a slices are sorted by range; the loads of
     * \a servers are set.
     */
    MoveRound(const PlannerOptions &options, std::span<MovableSlice> slices, ServerLoads &servers,
              double &budget);

    /** Empties lost servers first, then leaving ones, regardless of the budget. */
    void emptyUnusableServers();
    /**
     * Moves slices off servers above the target ratio.
     * \pre \a unconfirmed states for each server whether its overload is not confirmed yet, so that
     * it is not relieved.
     */
    void relieveBusyServers(const std::vector<bool> &unconfirmed);
    /** Moves slices from the busiest servers to cold ones, up to one step per round. */
    void fillColdServers();
    /**
     * Moves cold slices to the owner of a neighbour, so that the next round can merge them: slices
     * of a single key with a load below \a coolLoad, and if \a isCrowded also any pair that fits
     * into one slice of width \a sliceShare.
     */
    void joinNeighbours(double coolLoad, bool isCrowded, double sliceShare);

    const std::vector<SliceMove> &moves() const;

private:
    bool canMove(const MovableSlice &slice) const;
    void move(MovableSlice &slice, std::size_t to, MoveReason reason);
    std::vector<MovableSlice *> slicesByDensity(std::size_t server);
    bool relieveOnePass(const std::vector<bool> &unconfirmed);
    double excess(std::size_t server) const;
    void placeLargeSlices(std::size_t donor, std::span<MovableSlice *const> slices);
    bool isLarge(const MovableSlice &slice) const;
    bool isFixed(const MovableSlice &slice) const;
    void changeFixedLoad(std::size_t server, double change);
    double fixedExcess(std::size_t server) const;
    std::optional<std::size_t> receiverForLargeKey(const MovableSlice &slice) const;
    void shedWithinExcess(std::size_t donor, std::span<MovableSlice *const> slices);
    void shedOneAboveExcess(std::size_t donor, std::span<MovableSlice *const> slices);
    void fillColdServer(std::size_t receiver);
    bool canJoin(const MovableSlice &slice, const MovableSlice &neighbour) const;

    const PlannerOptions &m_options;
    std::span<MovableSlice> m_slices;
    ServerLoads &m_servers;
    double &m_budget;
    std::vector<SliceMove> m_moves;
    std::vector<std::vector<MovableSlice *>> m_slicesByServer;
    /** Load that cannot leave a server without moving many keys: all but that of smaller hot keys.
     */
    std::vector<double> m_fixedLoads;
    /** Usable servers by the ratio of fixed load to fair share. */
    std::set<std::pair<double, std::size_t>> m_byFixedRatio;
};

inline const std::vector<SliceMove> &MoveRound::moves() const
{
    return m_moves;
}

} // namespace bulrush

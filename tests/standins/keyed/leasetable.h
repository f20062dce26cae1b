#pragma once

#include "process/clock.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace bulrush::standins {

/**
 * The grants that a backend server holds, with the rules that experiments against the users' test
 * bench showed: a grant is accepted unless one of its keys has received a higher fencing token, and
 * a grant with the same token renews. A release is always accepted; it excludes lower tokens from
 * then on, but not its own.
 *
 * Not thread safe.
 */
class LeaseTable
{
public:
    /**
     * Stores only \a cells evenly spaced keys, each of which represents the keys around it: a small
     * number makes searches fast, and keyPositionCount makes the table exact. \a clockSlowdownPpm
     * is how much slower than true time the server's clock runs, in parts per million.
     */
    explicit LeaseTable(std::size_t cells, std::int64_t clockSlowdownPpm = 0);

    /**
     * Applies, at \a now, a grant that arrived at \a arrivedAt.
     * \returns false if the grant was rejected or its hold has already expired.
     */
    bool grant(const KeyRange &range, std::uint64_t fence, Duration hold, Instant arrivedAt,
               Instant now);

    void release(const KeyRange &range, std::uint64_t fence);

    /** \returns whether the server would run a request on \a cell at \a now. */
    bool holds(std::size_t cell, Instant now) const;

    /** \returns the fencing token of the last grant of \a cell. */
    std::uint64_t fenceOf(std::size_t cell) const;

    /** \returns the key that \a cell stores. */
    KeyPosition keyOf(std::size_t cell) const;

    /** \returns the cells whose keys lie in \a range: the first, and one past the last. */
    std::pair<std::size_t, std::size_t> cellsOf(const KeyRange &range) const;

private:
    struct Cell
    {
        std::uint64_t fence = 0;
        std::uint64_t highestFence = 0;
        Instant heldUntil;
    };

    KeyPosition m_keysPerCell;
    std::int64_t m_clockSlowdownPpm;
    std::vector<Cell> m_cells;
};

} // namespace bulrush::standins

#pragma once

#include "process/clock.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace bulrush::standins {

/**
 * What a backend server does with grants and releases, as trials against the users' bench showed:
 * a grant counts unless a higher fence was seen on one of its keys, and the same one renews; a
 * release is never refused and keeps lower fences out, but not its own.
 *
 * Not thread safe.
 */
class LeaseTable
{
public:
    /**
     * Keeps only \a cells keys, evenly spread, each standing for those around it: few make a search
     * fast, keyPositionCount make the table exact. \a clockPpm is how much slower than true time
     * the server's clock runs.
     */
    explicit LeaseTable(std::size_t cells, std::int64_t clockPpm = 0);

    /** Applies, at \a now, a grant that arrived at \a arrivedAt. \returns whether it was taken. */
    bool grant(const KeyRange &range, std::uint64_t fence, Duration hold, Instant arrivedAt,
               Instant now);

    void release(const KeyRange &range, std::uint64_t fence);

    /** \returns whether the server would run a request on \a cell at \a now. */
    bool holds(std::size_t cell, Instant now) const;

    /** \returns the fence under which \a cell was granted last. */
    std::uint64_t fenceOf(std::size_t cell) const;

    /** \returns the key that \a cell keeps. */
    KeyPosition keyOf(std::size_t cell) const;

    /** \returns the cells whose keys \a range has: the first, and the one after the last. */
    std::pair<std::size_t, std::size_t> cellsOf(const KeyRange &range) const;

private:
    struct Cell
    {
        std::uint64_t fence = 0;
        std::uint64_t highestSeen = 0;
        Instant until;
    };

    KeyPosition m_keysPerCell;
    std::int64_t m_clockPpm;
    std::vector<Cell> m_cells;
};

} // namespace bulrush::standins

#include "keyed/leasetable.h"

#include <algorithm>

namespace bulrush::standins {

LeaseTable::LeaseTable(std::size_t cells, std::int64_t clockPpm)
    : m_keysPerCell(keyPositionCount / static_cast<KeyPosition>(cells))
    , m_clockPpm(clockPpm)
    , m_cells(cells)
{ }

bool LeaseTable::grant(const KeyRange &range, std::uint64_t fence, Duration hold, Instant arrivedAt,
                       Instant now)
{
    const auto [first, end] = cellsOf(range);
    for (std::size_t i = first; i < end; ++i) {
        if (m_cells[i].highestSeen > fence)
            return false;
    }
    const Instant until = arrivedAt + stretched(hold, m_clockPpm);
    for (std::size_t i = first; i < end; ++i) {
        Cell &cell = m_cells[i];
        cell.highestSeen = fence;
        cell.until = fence > cell.fence ? until : std::max(cell.until, until);
        cell.fence = fence;
    }
    return now < until;
}

void LeaseTable::release(const KeyRange &range, std::uint64_t fence)
{
    const auto [first, end] = cellsOf(range);
    for (std::size_t i = first; i < end; ++i) {
        m_cells[i].highestSeen = std::max(m_cells[i].highestSeen, fence);
        m_cells[i].until = {};
    }
}

bool LeaseTable::holds(std::size_t cell, Instant now) const
{
    return now < m_cells[cell].until;
}

std::uint64_t LeaseTable::fenceOf(std::size_t cell) const
{
    return m_cells[cell].fence;
}

KeyPosition LeaseTable::keyOf(std::size_t cell) const
{
    return static_cast<KeyPosition>(cell) * m_keysPerCell + m_keysPerCell / 2;
}

std::pair<std::size_t, std::size_t> LeaseTable::cellsOf(const KeyRange &range) const
{
    // Rounded up to the next key that a cell keeps.
    const auto cellFrom = [this](KeyPosition place) -> std::size_t {
        return (place + m_keysPerCell - 1 - m_keysPerCell / 2) / m_keysPerCell;
    };
    return {cellFrom(range.first), cellFrom(range.last + 1)};
}

} // namespace bulrush::standins

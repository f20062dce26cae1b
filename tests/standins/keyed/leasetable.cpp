#include "keyed/leasetable.h"

#include <algorithm>

namespace bulrush::standins {

LeaseTable::LeaseTable(std::size_t cells, std::int64_t clockSlowdownPpm)
    : m_keysPerCell(keyPositionCount / static_cast<KeyPosition>(cells))
    , m_clockSlowdownPpm(clockSlowdownPpm)
    , m_cells(cells)
{ }

bool LeaseTable::grant(const KeyRange &range, std::uint64_t fence, Duration hold, Instant arrivedAt,
                       Instant now)
{
    const auto [first, end] = cellsOf(range);
    for (std::size_t i = first; i < end; ++i) {
        if (m_cells[i].highestFence > fence)
            return false;
    }
    const Instant heldUntil = arrivedAt + stretched(hold, m_clockSlowdownPpm);
    for (std::size_t i = first; i < end; ++i) {
        Cell &cell = m_cells[i];
        cell.highestFence = fence;
        cell.heldUntil = fence > cell.fence ? heldUntil : std::max(cell.heldUntil, heldUntil);
        cell.fence = fence;
    }
    return now < heldUntil;
}

void LeaseTable::release(const KeyRange &range, std::uint64_t fence)
{
    const auto [first, end] = cellsOf(range);
    for (std::size_t i = first; i < end; ++i) {
        m_cells[i].highestFence = std::max(m_cells[i].highestFence, fence);
        m_cells[i].heldUntil = {};
    }
}

bool LeaseTable::holds(std::size_t cell, Instant now) const
{
    return now < m_cells[cell].heldUntil;
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
    // Rounds up to the next key that a cell stores.
    const auto cellFrom = [this](KeyPosition place) -> std::size_t {
        return (place + m_keysPerCell - 1 - m_keysPerCell / 2) / m_keysPerCell;
    };
    return {cellFrom(range.first), cellFrom(range.last + 1)};
}

} // namespace bulrush::standins

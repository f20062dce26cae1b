#include "admission/countminsketch.h"

#include <algorithm>
#include <limits>

namespace bulrush {

double CountMinSketch::add(std::uint64_t key, double weight)
{
    const double changed = count(key) + weight;
    for (std::size_t row = 0; row < rows; ++row) {
        double &cell = m_cells.at(cellOf(key, row));
        cell = std::max(cell, changed);
    }
    return changed;
}

double CountMinSketch::count(std::uint64_t key) const
{
    double least = std::numeric_limits<double>::max();
    for (std::size_t row = 0; row < rows; ++row)
        least = std::min(least, m_cells.at(cellOf(key, row)));
    return least;
}

void CountMinSketch::scale(double factor)
{
    for (double &cell : m_cells)
        cell *= factor;
}

/** Each row uses other bits of the key. */
std::size_t CountMinSketch::cellOf(std::uint64_t key, std::size_t row)
{
    constexpr std::size_t bitsPerRow = 64 / rows;
    return row * columns + (key >> (row * bitsPerRow)) % columns;
}

} // namespace bulrush

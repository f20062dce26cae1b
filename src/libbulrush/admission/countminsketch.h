#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bulrush {

/**
 * Counts of any number of keys in fixed memory (count-min sketch with conservative update). A count
 * is never too low; it is too high if other keys share all cells of its key.
 *
 * Not thread safe.
 */
class CountMinSketch
{
public:
    /**
     * With 1024 columns, a key shares its cell of one row with about one in five of 200 others,
     * and its cells of all four rows with frequent keys almost never.
     */
    static constexpr std::size_t rows = 4;
    static constexpr std::size_t columns = 1024;

    /** Adds \a weight to the count of \a key, an evenly distributed hash. \returns the new count.
     */
    double add(std::uint64_t key, double weight);

    /** \returns the count of \a key. */
    double count(std::uint64_t key) const;

    /** Multiplies all counts by \a factor. */
    void scale(double factor);

private:
    static std::size_t cellOf(std::uint64_t key, std::size_t row);

    std::array<double, rows * columns> m_cells{};
};

} // namespace bulrush

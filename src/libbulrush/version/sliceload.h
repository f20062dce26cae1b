#pragma once

#include "version/assignment.h"

#include <span>
#include <vector>

namespace bulrush {

/**
 * Load of a part of the key space as measured by the daemons, in requests per second.
 */
struct SliceLoad
{
    SliceRange range;
    double load = 0;

    bool operator==(const SliceLoad &) const = default;
};

/**
 * Load of a single hot key, in requests per second. It is part of its slice's load.
 */
struct KeyLoad
{
    KeyHash key = 0;
    double load = 0;

    bool operator==(const KeyLoad &) const = default;
};

/**
 * \returns the load of each of \a slices, in their order. The ranges of \a loads may differ from
 * the slices: the load that is not due to hot keys is spread evenly over its range.
 * Takes linear time.
 *
 * \pre All three are sorted by key; ranges do not overlap. Thread safe.
 */
std::vector<double> loadOfSlices(std::span<const SliceRange> slices,
                                 std::span<const SliceLoad> loads,
                                 std::span<const KeyLoad> hotKeys);

} // namespace bulrush

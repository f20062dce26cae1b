#pragma once

#include "version/plan.h"
#include "version/sliceload.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bulrush {

/** Tolerance for comparing shares, which are sums of rounded numbers. */
constexpr double shareTolerance = 1e-6;

/**
 * A slice whose owner is given by an index, valid while one plan is made.
 */
struct PlannedSlice
{
    SliceRange range;
    std::uint32_t owner = 0;
};

/**
 * Requirements for the slices of a service.
 */
struct LayoutBounds
{
    /** Share of the key space of an ordinary slice. Merged slices never exceed it. */
    double sliceShare = 1.0;
    /** A key with at least this load gets a slice of its own, in requests per second. */
    double hotLoad = 0;
    /** A slice of one key below this load may merge with its neighbours. */
    double coolLoad = 0;
    /** Maximum number of keys that have a slice of their own. */
    std::size_t maximumHotKeys = 0;
};

/**
 * Merges and splits, and the resulting slices.
 */
struct Layout
{
    std::vector<SliceRange> merges;
    std::vector<SliceParts> splits;
    std::vector<PlannedSlice> slices;
};

/**
 * \returns whether \a range contains a single hash.
 */
constexpr bool isSingleKey(SliceRange range)
{
    return range.begin == range.end;
}

/**
 * Plans merges and splits; no owner changes. Hot keys get slices of their own, slices that are
 * twice as wide as they should be are split, and cold neighbours of one owner merge.
 *
 * \pre \a slices are sorted by range; \a loads has the load of each; \a hotKeys are sorted by key.
 * Takes time linear in slices. Thread safe.
 */
Layout planLayout(std::span<const PlannedSlice> slices, std::span<const double> loads,
                  std::span<const KeyLoad> hotKeys, const LayoutBounds &bounds);

} // namespace bulrush

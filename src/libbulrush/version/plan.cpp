#include "version/plan.h"

#include <algorithm>
#include <cmath>

namespace bulrush {

namespace {

constexpr double keySpaceSize = 18446744073709551616.0; // 2 to the 64th

SliceOwner withRange(SliceOwner slice, SliceRange range)
{
    slice.range = range;
    return slice;
}

/**
 * Applies merges and splits, both sorted by range, in one pass over the slices.
 */
std::vector<SliceOwner> applyLayout(std::span<const SliceOwner> slices, const Plan &plan)
{
    std::vector<SliceOwner> result;
    result.reserve(slices.size() + 2 * plan.splits.size());
    auto merge = plan.merges.begin();
    auto split = plan.splits.begin();

    for (const SliceOwner &slice : slices) {
        while (merge != plan.merges.end() && merge->range.end < slice.range.begin)
            ++merge;
        if (split != plan.splits.end() && split->parts.range == slice.range) {
            for (SliceRange part : split->parts.parts)
                result.push_back(withRange(slice, part));
            ++split;
            continue;
        }
        if (merge == plan.merges.end() || !contains(merge->range, slice.range.begin)) {
            result.push_back(slice);
            continue;
        }
        if (slice.range.begin == merge->range.begin)
            result.push_back(withRange(slice, merge->range));
        else
            result.back().fence = std::max(result.back().fence, slice.fence);
    }
    return result;
}

} // namespace

std::vector<SliceOwner> appliedPlan(std::span<const SliceOwner> slices, const Plan &plan)
{
    std::vector<SliceOwner> result = applyLayout(slices, plan);
    const auto beginOf = [](const SliceOwner &slice) {
        return slice.range.begin;
    };
    for (const MoveSlice &move : plan.moves) {
        const auto slice = std::ranges::lower_bound(result, move.range.begin, {}, beginOf);
        if (slice != result.end() && slice->range == move.range)
            slice->server = move.to;
    }
    return result;
}

std::span<const SliceOwner> slicesOf(const Assignment &assignment, const ServiceName &service)
{
    const auto first =
        std::ranges::lower_bound(assignment.slices, service, {}, &SliceOwner::service);
    const auto last =
        std::ranges::upper_bound(assignment.slices, service, {}, &SliceOwner::service);
    return {first, last};
}

double keySpaceShare(SliceRange range)
{
    return (static_cast<double>(range.end - range.begin) + 1.0) / keySpaceSize;
}

} // namespace bulrush

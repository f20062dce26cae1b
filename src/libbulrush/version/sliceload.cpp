#include "version/sliceload.h"

#include "version/plan.h"

#include <algorithm>

namespace bulrush {

namespace {

SliceRange intersection(SliceRange first, SliceRange second)
{
    return {std::max(first.begin, second.begin), std::min(first.end, second.end)};
}

/**
 * \returns the load of each range without the load of its hot keys.
 */
std::vector<double> loadsWithoutHotKeys(std::span<const SliceLoad> loads,
                                        std::span<const KeyLoad> hotKeys)
{
    std::vector<double> result;
    result.reserve(loads.size());
    auto key = hotKeys.begin();
    for (const SliceLoad &load : loads) {
        double rest = load.load;
        while (key != hotKeys.end() && key->key < load.range.begin)
            ++key;
        for (; key != hotKeys.end() && key->key <= load.range.end; ++key)
            rest -= key->load;
        result.push_back(std::max(rest, 0.0));
    }
    return result;
}

void addHotKeys(std::span<const SliceRange> slices, std::span<const KeyLoad> hotKeys,
                std::vector<double> &result)
{
    auto key = hotKeys.begin();
    for (std::size_t i = 0; i < slices.size(); ++i) {
        while (key != hotKeys.end() && key->key < slices[i].begin)
            ++key;
        for (; key != hotKeys.end() && key->key <= slices[i].end; ++key)
            result[i] += key->load;
    }
}

} // namespace

std::vector<double> loadOfSlices(std::span<const SliceRange> slices,
                                 std::span<const SliceLoad> loads, std::span<const KeyLoad> hotKeys)
{
    std::vector<double> result(slices.size(), 0.0);
    const std::vector<double> remainingLoads = loadsWithoutHotKeys(loads, hotKeys);
    std::size_t first = 0;
    for (std::size_t i = 0; i < slices.size(); ++i) {
        while (first < loads.size() && loads[first].range.end < slices[i].begin)
            ++first;
        for (std::size_t j = first; j < loads.size() && overlaps(loads[j].range, slices[i]); ++j) {
            const SliceRange shared = intersection(loads[j].range, slices[i]);
            result[i] += remainingLoads[j] * keySpaceShare(shared) / keySpaceShare(loads[j].range);
        }
    }
    addHotKeys(slices, hotKeys, result);
    return result;
}

} // namespace bulrush

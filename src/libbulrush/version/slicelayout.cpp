#include "version/slicelayout.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace bulrush {

namespace {

/**
 * \returns the keys that get a slice of their own, sorted by key.
 */
std::vector<KeyHash> keysToIsolate(std::span<const KeyLoad> hotKeys, const LayoutBounds &bounds)
{
    std::vector<KeyLoad> hot;
    hot.reserve(hotKeys.size());
    for (const KeyLoad &key : hotKeys) {
        if (key.load >= bounds.hotLoad && key.load > 0)
            hot.push_back(key);
    }
    const auto isHotter = [](const KeyLoad &first, const KeyLoad &second) {
        return first.load != second.load ? first.load > second.load : first.key < second.key;
    };
    std::ranges::sort(hot, isHotter);
    if (hot.size() > bounds.maximumHotKeys)
        hot.resize(bounds.maximumHotKeys);

    std::vector<KeyHash> keys;
    keys.reserve(hot.size());
    for (const KeyLoad &key : hot)
        keys.push_back(key.key);
    std::ranges::sort(keys);
    return keys;
}

/**
 * \returns the first keys of the parts of \a range except the first part, if it is too wide.
 */
std::vector<KeyHash> evenSplitPoints(SliceRange range, double sliceShare)
{
    const double parts = std::floor(keySpaceShare(range) / sliceShare + shareTolerance);
    std::vector<KeyHash> splitPoints;
    if (parts < 2.0)
        return splitPoints;

    const auto count = static_cast<std::uint64_t>(parts);
    const KeyHash step = (range.end - range.begin) / count;
    for (std::uint64_t i = 1; i < count; ++i)
        splitPoints.push_back(range.begin + i * step);
    return splitPoints;
}

void addKeySplitPoints(SliceRange range, std::span<const KeyHash> keys,
                       std::vector<KeyHash> &splitPoints)
{
    for (KeyHash key : keys) {
        if (key > range.begin)
            splitPoints.push_back(key);
        if (key < range.end)
            splitPoints.push_back(key + 1);
    }
}

std::vector<SliceRange> partsOf(SliceRange range, std::vector<KeyHash> splitPoints)
{
    std::ranges::sort(splitPoints);
    splitPoints.erase(std::unique(splitPoints.begin(), splitPoints.end()), splitPoints.end());

    std::vector<SliceRange> parts;
    KeyHash begin = range.begin;
    for (KeyHash splitPoint : splitPoints) {
        parts.push_back({begin, splitPoint - 1});
        begin = splitPoint;
    }
    parts.push_back({begin, range.end});
    return parts;
}

/**
 * Builds the list of slices in order and joins those that may merge.
 */
class LayoutBuilder
{
public:
    LayoutBuilder(double sliceShare, Layout &layout)
        : m_limit(sliceShare * (1.0 + shareTolerance))
        , m_layout(layout)
    { }

    /** Adds a slice that may merge with its neighbours. */
    void addMergeable(const PlannedSlice &slice)
    {
        const double share = keySpaceShare(slice.range);
        if (m_count > 0 && canFollow(slice) && m_share + share <= m_limit) {
            m_layout.slices.back().range.end = slice.range.end;
            m_share += share;
            ++m_count;
            return;
        }
        finishRun();
        m_layout.slices.push_back(slice);
        m_share = share;
        m_count = 1;
    }

    /** Adds a slice that is not merged. */
    void addFixed(const PlannedSlice &slice)
    {
        finishRun();
        m_layout.slices.push_back(slice);
    }

    void addParts(const PlannedSlice &slice, std::vector<SliceRange> parts)
    {
        finishRun();
        for (SliceRange part : parts)
            m_layout.slices.push_back({part, slice.owner});
        m_layout.splits.push_back({slice.range, std::move(parts)});
    }

    void finishRun()
    {
        if (m_count > 1)
            m_layout.merges.push_back(m_layout.slices.back().range);
        m_count = 0;
    }

private:
    bool canFollow(const PlannedSlice &slice) const
    {
        const PlannedSlice &last = m_layout.slices.back();
        return slice.owner == last.owner && last.range.end + 1 == slice.range.begin;
    }

    double m_limit;
    Layout &m_layout;
    /** Share of the key space and number of slices in the run that may still merge. */
    double m_share = 0;
    std::size_t m_count = 0;
};

} // namespace

Layout planLayout(std::span<const PlannedSlice> slices, std::span<const double> loads,
                  std::span<const KeyLoad> hotKeys, const LayoutBounds &bounds)
{
    const std::vector<KeyHash> keys = keysToIsolate(hotKeys, bounds);
    Layout layout;
    layout.slices.reserve(slices.size() + 2 * keys.size());
    LayoutBuilder builder(bounds.sliceShare, layout);
    auto key = keys.begin();

    for (std::size_t i = 0; i < slices.size(); ++i) {
        const SliceRange range = slices[i].range;
        while (key != keys.end() && *key < range.begin)
            ++key;
        const auto firstKey = key;
        while (key != keys.end() && *key <= range.end)
            ++key;

        if (isSingleKey(range) && (firstKey != key || loads[i] >= bounds.coolLoad)) {
            builder.addFixed(slices[i]);
            continue;
        }
        std::vector<KeyHash> splitPoints = evenSplitPoints(range, bounds.sliceShare);
        addKeySplitPoints(range, {firstKey, key}, splitPoints);
        if (splitPoints.empty())
            builder.addMergeable(slices[i]);
        else
            builder.addParts(slices[i], partsOf(range, std::move(splitPoints)));
    }
    builder.finishRun();
    return layout;
}

} // namespace bulrush

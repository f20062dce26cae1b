#include "version/keyassignment.h"

#include <algorithm>

namespace bulrush {

const OwnedRange *KeyAssignment::find(KeyPosition place) const
{
    const auto after = std::ranges::upper_bound(
        ranges, place, {}, [](const OwnedRange &owned) { return owned.range.first; });
    if (after == ranges.begin())
        return nullptr;
    const OwnedRange &found = *std::prev(after);
    return found.range.contains(place) ? &found : nullptr;
}

bool KeyAssignment::hasMoves() const
{
    return std::ranges::any_of(ranges, &OwnedRange::isMoving);
}

bool isWellFormed(const KeyAssignment &assignment)
{
    KeyPosition next = 0;
    for (const OwnedRange &owned : assignment.ranges) {
        const KeyRange &range = owned.range;
        if (range.first < next || range.last < range.first || range.last >= keyPositionCount)
            return false;
        if (owned.owner.isEmpty() || owned.fence > assignment.sequence)
            return false;
        next = range.last + 1;
    }
    return true;
}

void mergeAdjacentRanges(KeyAssignment &assignment)
{
    std::vector<OwnedRange> joined;
    for (OwnedRange &owned : assignment.ranges) {
        if (!joined.empty()) {
            OwnedRange widened = joined.back();
            widened.range.last = owned.range.last;
            OwnedRange same = owned;
            same.range = widened.range;
            if (joined.back().range.last + 1 == owned.range.first && widened == same) {
                joined.back() = widened;
                continue;
            }
        }
        joined.push_back(std::move(owned));
    }
    assignment.ranges = std::move(joined);
}

} // namespace bulrush

#pragma once

#include "version/identifier.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <string_view>

namespace bulrush {

/** Hash of a key: a position in the hash space over which the keys of a service are distributed. */
using KeyHash = std::uint64_t;

/** Range of the hash space, both ends included. */
struct SliceRange
{
    KeyHash begin = 0;
    KeyHash end = std::numeric_limits<KeyHash>::max();

    auto operator<=>(const SliceRange &) const = default;
};

/** \returns the XXH3 hash of \a key, which is the same on every host. */
KeyHash hashOfKey(std::string_view key);

constexpr bool contains(SliceRange range, KeyHash hash)
{
    return range.begin <= hash && hash <= range.end;
}

/** \returns whether the two ranges have at least one hash in common. */
constexpr bool overlaps(SliceRange first, SliceRange second)
{
    return first.begin <= second.end && second.begin <= first.end;
}

} // namespace bulrush

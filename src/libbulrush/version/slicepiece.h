#pragma once

#include "version/identifier.h"
#include "version/slice.h"

#include <algorithm>

namespace bulrush {

/**
 * A part of a service's key space.
 */
struct SlicePiece
{
    ServiceName service;
    SliceRange range;

    auto operator<=>(const SlicePiece &) const = default;
};

/** \returns whether two pieces share a key. */
inline bool overlaps(const SlicePiece &first, const SlicePiece &second)
{
    return first.service == second.service && overlaps(first.range, second.range);
}

/** \returns the keys that two pieces share. \pre They overlap. */
inline SlicePiece commonPart(const SlicePiece &first, const SlicePiece &second)
{
    return {first.service,
            {std::max(first.range.begin, second.range.begin),
             std::min(first.range.end, second.range.end)}};
}

} // namespace bulrush

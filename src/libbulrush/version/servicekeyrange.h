#pragma once

#include "version/identifier.h"
#include "version/slice.h"

#include <algorithm>

namespace bulrush {

/**
 * A part of a service's key space.
 */
struct ServiceKeyRange
{
    ServiceName service;
    SliceRange range;

    auto operator<=>(const ServiceKeyRange &) const = default;
};

/** \returns whether two pieces share a key. */
inline bool overlaps(const ServiceKeyRange &first, const ServiceKeyRange &second)
{
    return first.service == second.service && overlaps(first.range, second.range);
}

/** \returns the keys that two pieces share. \pre They overlap. */
inline ServiceKeyRange commonPart(const ServiceKeyRange &first, const ServiceKeyRange &second)
{
    return {first.service,
            {std::max(first.range.begin, second.range.begin),
             std::min(first.range.end, second.range.end)}};
}

} // namespace bulrush

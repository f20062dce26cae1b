#pragma once

#include <compare>
#include <cstdint>

namespace bulrush {

/**
 * Fencing token that orders the grants of a slice: a higher token belongs to a later grant. The
 * epoch is that of the domain leader's row, so that every token of a new leader is higher than all
 * tokens of its predecessor.
 */
struct Fence
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const Fence &) const = default;
};

} // namespace bulrush

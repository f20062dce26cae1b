#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/**
 * A version of the platform's store. Each transaction takes the next number. When the store is
 * restored from an older copy, its era rises, and the numbers since that copy are assigned again:
 * numbers of different eras cannot be compared, and any version of a later era is newer.
 */
struct StoreVersion
{
    /** 0 for a store that names no era. */
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    auto operator<=>(const StoreVersion &) const = default;
};

/** \returns \a version as text, "era.number". Thread safe. */
std::string toString(const StoreVersion &version);

/** \returns the version in \a text, or nothing if it is malformed. Thread safe. */
std::optional<StoreVersion> parseStoreVersion(std::string_view text);

} // namespace bulrush

#pragma once

#include <span>
#include <string>
#include <string_view>

namespace bulrush::io {

/**
 * \returns the name in \a known with the smallest edit distance to \a name, or an empty text if
 * none is close. The comparison ignores case. Thread safe.
 */
std::string_view nearestName(std::string_view name, std::span<const std::string> known);

} // namespace bulrush::io

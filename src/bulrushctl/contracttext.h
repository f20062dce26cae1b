#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush::ctl {

/**
 * \returns the contract in \a text with its field "version" set to \a version and everything else,
 * including comments, unchanged. \returns nothing unless the field occurs exactly once, unindented
 * and on a line of its own. Thread safe.
 */
std::optional<std::string> withVersion(std::string_view text, std::uint64_t version);

} // namespace bulrush::ctl

#pragma once

#include <cstdint>
#include <optional>

namespace bulrush::io {

/**
 * \returns how many bytes the peer of the TCP socket \a descriptor has acknowledged since the
 * connection was made; empty if the system does not tell. Thread safe.
 */
std::optional<std::uint64_t> acknowledgedBytes(int descriptor);

} // namespace bulrush::io

#pragma once

#include <cstdint>

namespace bulrush {

/** Load that a backend server reports in its answer to a request. */
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    bool operator==(const ServerLoad &) const = default;
};

} // namespace bulrush

#pragma once

#include <cstdint>
#include <optional>

namespace bulrush {

/** Load that a backend server reports in its answer to a request. */
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /**
     * How long work takes on the server's machine at this moment, relative to the usual time.
     * Nothing if the server does not state it.
     */
    std::optional<double> slowness = {};

    bool operator==(const ServerLoad &) const = default;
};

} // namespace bulrush

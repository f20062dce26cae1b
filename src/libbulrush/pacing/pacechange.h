#pragma once

#include "pacing/serverpace.h"
#include "version/identifier.h"

#include <cstdint>

namespace bulrush {

/** Begin or end of a server's slow start at one daemon. */
struct PaceChange
{
    ServerName server;
    PaceCause cause = PaceCause::Start;
    /** The slow start has begun; otherwise it has ended. */
    bool isBegin = false;
    /** Requests in flight that this daemon may have at the server. */
    double window = 0.0;
    /** Time since the slow start began. */
    Duration elapsed{};
    /** Number of steps back during the slow start. */
    std::uint32_t stepCount = 0;
};

} // namespace bulrush

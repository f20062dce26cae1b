#pragma once

#include "process/clock.h"

namespace bulrush::test {

/** True time, which no process can read. */
using TrueTime = Duration;

/** A process's clock with an offset and a rate error. */
struct DriftingClock
{
    Duration offset{};
    std::int64_t ppm = 0;

    Instant at(TrueTime time) const
    {
        return Instant(offset + time + time * ppm / 1'000'000);
    }

    /** The first true time at which the clock shows \a instant. */
    TrueTime trueTimeOf(Instant instant) const
    {
        TrueTime time = instant.time_since_epoch() - offset;
        for (int step = 0; step < 8; ++step)
            time -= at(time) - instant;
        while (at(time) < instant)
            ++time;
        while (at(time - Duration(1)) >= instant)
            --time;
        return time;
    }
};

} // namespace bulrush::test

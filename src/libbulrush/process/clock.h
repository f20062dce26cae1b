#pragma once

#include <chrono>
#include <cstdint>

namespace bulrush {

/** Duration in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/**
 * Tag type of the clock on which all decisions are based. The clock is monotonic and continues to
 * run while a host is suspended. Decision code never reads the clock; every event carries its own
 * instant.
 */
struct SteadyClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyClock>;
};

/** Instant on the clock of one process. Instants of different processes must not be compared. */
using Instant = SteadyClock::time_point;

/**
 * Maximum difference in rate between the clocks of two hosts, in parts per million. Leases,
 * promises and waiting times are lengthened or shortened accordingly.
 */
constexpr std::int64_t defaultDriftPpm = 1000;

/**
 * \returns \a span lengthened so that it has passed on every clock that drifts by at most
 * \a driftPpm. Used to wait for the end of a period that is measured by another host.
 */
constexpr Duration stretched(Duration span, std::int64_t driftPpm)
{
    return span + span * driftPpm / 1'000'000 + Duration{1};
}

/**
 * \returns \a span shortened so that it ends on the local clock before it ends on any clock that
 * drifts by at most \a driftPpm. Used to rely on a period that another host has granted.
 */
constexpr Duration shortened(Duration span, std::int64_t driftPpm)
{
    return span - span * driftPpm / 1'000'000 - Duration{1};
}

} // namespace bulrush

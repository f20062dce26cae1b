#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush::test {

/** Result of a schedule. */
struct ScheduleResult
{
    std::vector<std::string> violations;
    std::string transcript;
    /** Number of leadership terms; shows whether the schedule caused any changes of leader. */
    std::uint64_t lastEpoch = 0;
};

/**
 * Simulates 60 s of random faults drawn from \a seed: crashes, restarts, freezes, departures, cut
 * connections, platform outages, late writes and lost answers, with clocks drifting up to the
 * bound.
 */
ScheduleResult runSchedule(std::uint64_t seed);

/** \returns the report for a failed schedule. */
std::string describe(std::uint64_t seed, const ScheduleResult &result);

/** \returns the value of an environment variable, or \a fallback. */
std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback);

} // namespace bulrush::test

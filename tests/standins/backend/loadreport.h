#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <deque>

namespace bulrush::standins {

/** The load of the server at one moment. */
struct Load
{
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    bool isCold = false;
    bool isDraining = false;
};

/**
 * Reports the load as it was some time ago (the lag), with its counts multiplied by a factor.
 * Not thread safe.
 */
class LoadReport
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LoadReport(std::chrono::milliseconds lag, double factor);

    /** Records the true load. */
    void record(const Load &load, TimePoint now);

    /** \returns the members "running", "queued", "cold", "draining" and "ageMs". */
    Json::Value toJson(TimePoint now);

private:
    struct Sample
    {
        TimePoint validFrom;
        Load load;
    };

    void dropSamplesBefore(TimePoint asOf);
    Json::Value scaled(std::uint64_t count) const;

    std::chrono::milliseconds m_lag;
    double m_factor;
    /** Oldest first. The first one is reported until the second one is as old as the lag. */
    std::deque<Sample> m_samples;
};

} // namespace bulrush::standins

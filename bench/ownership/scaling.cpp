#include "scaling.h"

#include "allocations.h"
#include "simulation.h"
#include "version/heavyhitters.h"
#include "version/slicemap.h"
#include "version/slicemeter.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <span>

namespace bulrush::bench {

namespace {

using Clock = std::chrono::steady_clock;

const ServiceName service{"service"};
constexpr int repeats = 5;

double nanosecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(Clock::now() - start).count();
}

/** A measured point of a line to fit. */
struct Point
{
    double x = 0;
    double y = 0;
};

/** The line of least squares of relative error through the origin, and its worst deviation. */
struct Fit
{
    double slope = 0;
    double worstDeviation = 0;
};

Fit fitted(std::span<const Point> points)
{
    double ratios = 0;
    double squares = 0;
    for (Point point : points) {
        const double ratio = point.y / point.x;
        ratios += 1.0 / ratio;
        squares += 1.0 / (ratio * ratio);
    }
    Fit fit{.slope = ratios / squares, .worstDeviation = 0};
    for (Point point : points) {
        const double deviation = std::abs(point.y / (fit.slope * point.x) - 1.0);
        fit.worstDeviation = std::max(fit.worstDeviation, deviation);
    }
    return fit;
}

/** Slices, their loads and hot keys after a shift that overloads one server in ten. */
struct PlanCase
{
    std::vector<ServerState> servers;
    std::vector<SliceOwner> slices;
    std::vector<SliceLoad> loads;
    std::vector<KeyLoad> hotKeys;
};

PlanCase shiftedCase(std::size_t serverCount)
{
    PlanCase plan;
    std::mt19937_64 random(serverCount);
    plan.servers = namedServers(serverCount);
    plan.slices = initialSlices(service, plan.servers, {});
    for (const SliceOwner &slice : plan.slices) {
        const double noise = std::uniform_real_distribution<double>(0.5, 1.5)(random);
        plan.loads.push_back({slice.range, noise});
    }
    for (std::size_t i = 0; i < serverCount / 10 + 1; ++i) {
        const std::size_t slice = random() % plan.slices.size();
        const SliceRange range = plan.slices[slice].range;
        plan.loads[slice].load += 50.0;
        plan.hotKeys.push_back({range.begin + random() % (range.end - range.begin), 50.0});
    }
    std::ranges::sort(plan.hotKeys, {}, &KeyLoad::key);
    return plan;
}

void printFit(const char *what, const char *unit, std::span<const Point> points)
{
    const Fit fit = fitted(points);
    std::printf("  %-28s %8.1f %s a slice, worst point off the line by %.0f%%\n", what, fit.slope,
                unit, fit.worstDeviation * 100.0);
}

} // namespace

void printPlanningCost()
{
    std::printf("Planning cost (one round after a shift, best of %d)\n", repeats);
    std::printf("  %9s %8s %8s %10s %10s %10s %10s\n", "slices", "servers", "moves", "ms",
                "ns/slice", "peak MB", "B/slice");
    std::vector<Point> times;
    std::vector<Point> bytes;
    for (std::size_t serverCount : {14u, 140u, 1400u, 14000u}) {
        const PlanCase plan = shiftedCase(serverCount);
        const auto sliceCount = static_cast<double>(plan.slices.size());
        const PlanInput input{service, plan.slices, plan.servers, plan.loads, plan.hotKeys};
        double best = 1e18;
        double peak = 0;
        std::size_t moves = 0;
        for (int i = 0; i < repeats; ++i) {
            PlannerOptions options;
            options.confirmingRounds = 1;
            Planner planner(options);
            const std::size_t before = heldBytes();
            resetPeak();
            const auto start = Clock::now();
            const Plan made = planner.plan(input, Instant{});
            best = std::min(best, nanosecondsSince(start));
            peak = static_cast<double>(peakBytes() - before);
            moves = made.moves.size();
        }
        std::printf("  %9.0f %8zu %8zu %10.2f %10.1f %10.2f %10.1f\n", sliceCount, serverCount,
                    moves, best / 1e6, best / sliceCount, peak / 1e6, peak / sliceCount);
        times.push_back({sliceCount, best});
        bytes.push_back({sliceCount, peak});
    }
    printFit("slope of time", "ns", times);
    printFit("slope of peak memory", "bytes", bytes);
    std::printf("  an assignment holds %zu bytes a slice besides names longer than 15\n",
                sizeof(SliceOwner));
}

void printLookupCost()
{
    constexpr std::size_t lookups = 2'000'000;
    std::printf("Cost of a request's lookup and counts\n");
    std::printf("  %9s %14s %14s %14s %12s\n", "slices", "slicemap ns", "meter ns", "sketch ns",
                "map B/slice");
    for (std::size_t serverCount : {14u, 140u, 1400u, 14000u}) {
        Assignment assignment;
        assignment.slices = initialSlices(service, namedServers(serverCount), {});
        const SliceMap map(assignment);
        std::vector<SliceRange> ranges;
        for (const SliceOwner &slice : assignment.slices)
            ranges.push_back(slice.range);
        SliceMeter meter(ranges, std::chrono::seconds{15}, Instant{});
        HeavyHitters sketch(4096, std::chrono::seconds{15}, Instant{});
        std::vector<KeyHash> keys(lookups);
        std::mt19937_64 random(3);
        for (KeyHash &key : keys)
            key = random();

        auto start = Clock::now();
        std::size_t found = 0;
        for (KeyHash key : keys)
            found += map.find(service, key).has_value();
        const double mapTime = nanosecondsSince(start) / lookups;
        start = Clock::now();
        for (KeyHash key : keys)
            meter.add(key, Instant{});
        const double meterTime = nanosecondsSince(start) / lookups;
        start = Clock::now();
        for (KeyHash key : keys)
            sketch.add(key, Instant{});
        const double sketchTime = nanosecondsSince(start) / lookups;
        if (found != lookups)
            std::abort();
        std::printf("  %9zu %14.1f %14.1f %14.1f %12.1f\n", ranges.size(), mapTime, meterTime,
                    sketchTime,
                    static_cast<double>(map.memoryBytes()) / static_cast<double>(map.sliceCount()));
    }
}

} // namespace bulrush::bench

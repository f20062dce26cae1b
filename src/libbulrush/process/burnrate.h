#pragma once

#include "process/clock.h"
#include "process/latencyhistogram.h"
#include "process/rollingcount.h"
#include "version/identifier.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A window that burn is reckoned over, and the width of its slots. */
struct BurnWindow
{
    Duration window;
    Duration slotWidth;
};

/** The windows, shortest first. */
constexpr std::array<BurnWindow, 4> burnWindows{{
    {std::chrono::minutes{5}, std::chrono::seconds{10}},
    {std::chrono::hours{1}, std::chrono::minutes{1}},
    {std::chrono::hours{6}, std::chrono::minutes{5}},
    {std::chrono::hours{72}, std::chrono::hours{1}},
}};

/** Both the 5 minutes' and the hour's rate at this or above: act now. */
constexpr double fastBurnRate = 14.4;
/** Both the 6 hours' and the 3 days' rate above this: the budget will not last. */
constexpr double slowBurnRate = 1.0;

/** How a request ended, as far as its service level goes. */
enum class ServiceOutcome {
    Answered,    /**< The caller got its answer. */
    NotRun,      /**< It was refused, and not run. */
    Unknown,     /**< It may have run. */
    CallerError, /**< The caller's own mistake; not counted. */
};

/**
 * What a contract promises for an operation.
 */
struct ServiceTarget
{
    /** Share of requests that are answered in time, above 0 and below 1. */
    double share = 0.999;
    Duration latency = std::chrono::seconds{1};

    bool operator==(const ServiceTarget &) const = default;
};

/**
 * One daemon's counts of one operation. Counts of several daemons add up.
 */
struct BurnSeries
{
    OrganisationName organisation;
    OperationName operation;
    ServiceTarget target;
    /** In the order of burnWindows. */
    std::array<GoodBad, burnWindows.size()> windows{};
    /** Latencies of answers over about the last hour, by LatencyHistogram::counts(). */
    std::vector<std::uint64_t> latencies;

    bool operator==(const BurnSeries &) const = default;
};

/**
 * All counts of one daemon, as it reports them.
 */
struct BurnSnapshot
{
    HostName host;
    Incarnation incarnation;
    /** How long this daemon has been counting; it keeps nothing from before its start. */
    Duration observedFor{};
    /** Sorted by organisation, then by operation. */
    std::vector<BurnSeries> series;

    bool operator==(const BurnSnapshot &) const = default;
};

/**
 * Counts outcomes and latencies by organisation and operation.
 *
 * Not thread safe: each thread of traffic has its own, and their snapshots are merged.
 */
class BurnRecorder
{
public:
    explicit BurnRecorder(Instant startedAt);

    /**
     * Sets what is promised; what was counted before stays as it was judged.
     */
    void setTarget(const OrganisationName &organisation, const OperationName &operation,
                   const ServiceTarget &target);

    /**
     * Forgets an operation that no contract has any more.
     */
    void removeTarget(const OrganisationName &organisation, const OperationName &operation);

    /**
     * Counts a request. One that is answered late is as bad as one that is refused. An operation
     * without a target is only counted in ignored().
     */
    void record(Instant now, const OrganisationName &organisation, const OperationName &operation,
                ServiceOutcome outcome, Duration latency);

    /**
     * \returns the counts of the windows that end at \a now.
     */
    BurnSnapshot snapshot(Instant now, const HostName &host, const Incarnation &incarnation);

    std::uint64_t ignored() const;

private:
    struct Key
    {
        OrganisationName organisation;
        OperationName operation;

        auto operator<=>(const Key &) const = default;
    };

    /** Latencies of this part of an hour and of the ones before it, newest at m_part. */
    static constexpr std::size_t latencyParts = 6;

    struct Series
    {
        explicit Series(const ServiceTarget &target);

        ServiceTarget target;
        std::vector<RollingCount> windows;
        std::array<LatencyHistogram, latencyParts> latencies;
        std::int64_t latencyPart = 0;
    };

    static void advanceLatencies(Series &series, Instant now);

    Instant m_startedAt;
    std::map<Key, Series> m_series;
    std::uint64_t m_ignored = 0;
};

/**
 * Burn of one operation over one window.
 */
struct WindowBurn
{
    GoodBad counted;
    /** Share of bad requests over the share that the target allows; 1 uses the budget up exactly.
     */
    double rate = 0;
};

/**
 * Burn of one operation at all daemons that reported.
 */
struct BurnRow
{
    OrganisationName organisation;
    OperationName operation;
    /** The strictest that any daemon reported. */
    ServiceTarget target;
    /** Daemons judged by different targets: a change of the contract is in the window. */
    bool hasMixedTargets = false;
    std::array<WindowBurn, burnWindows.size()> windows{};
    /** Share of the longest window's budget that is left; below 0 when overdrawn. */
    double budgetLeft = 1;
    bool isBurningFast = false;
    bool isBurningSlowly = false;
    std::optional<Duration> median;
    std::optional<Duration> percentile99;
};

/**
 * Burn of everything, and what it does not cover.
 */
struct BurnReport
{
    /** Sorted by organisation, then by operation. */
    std::vector<BurnRow> rows;
    std::vector<HostName> reported;
    /** Expected daemons that did not report: the counts lack their requests. */
    std::vector<HostName> missing;
    /** The shortest time that any reporting daemon has been counting for. */
    Duration minObservedDuration{};
    /** How many daemons have counted for less than the longest window. */
    std::size_t partlyObserved = 0;
};

/**
 * Adds up what several threads of one daemon counted.
 * \pre \a snapshots is not empty, and all are of the same incarnation.
 */
BurnSnapshot mergedThreads(std::span<const BurnSnapshot> snapshots);

/**
 * Adds up what daemons reported. A host that reported twice counts once, by its last snapshot.
 * \param expected the hosts that should have reported.
 */
BurnReport burnReport(std::span<const BurnSnapshot> snapshots, std::span<const HostName> expected);

} // namespace bulrush

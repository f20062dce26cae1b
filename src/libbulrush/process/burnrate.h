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

/** A window over which the burn rate is computed, and the width of its slots. */
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

/** If the 5 minute rate and the 1 hour rate both reach this value, immediate action is needed. */
constexpr double fastBurnRate = 14.4;
/** If the 6 hour rate and the 3 day rate both exceed this value, the budget will not last. */
constexpr double slowBurnRate = 1.0;

/** Outcome of a request with respect to the service level. */
enum class ServiceOutcome {
    Answered,    /**< The caller received its answer. */
    NotRun,      /**< The request was refused and did not run. */
    Unknown,     /**< The request may have run. */
    CallerError, /**< The request was invalid; not counted. */
};

/**
 * The service-level target of an operation in a contract.
 */
struct ServiceTarget
{
    /** Share of requests to be answered in time, above 0 and below 1. */
    double share = 0.999;
    Duration latency = std::chrono::seconds{1};

    bool operator==(const ServiceTarget &) const = default;
};

/**
 * One daemon's counts for one operation. Counts of several daemons can be added.
 */
struct BurnSeries
{
    OrganisationName organisation;
    OperationName operation;
    ServiceTarget target;
    /** In the order of burnWindows. */
    std::array<GoodBad, burnWindows.size()> windows{};
    /** Latencies of answers in about the last hour, as returned by LatencyHistogram::counts(). */
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
    /** Time since this daemon started counting; it has no counts from before its start. */
    Duration observedFor{};
    /** Sorted by organisation, then by operation. */
    std::vector<BurnSeries> series;

    bool operator==(const BurnSnapshot &) const = default;
};

/**
 * Counts outcomes and latencies by organisation and operation.
 *
 * Not thread safe: each traffic thread has its own instance, and their snapshots are merged.
 */
class BurnRecorder
{
public:
    explicit BurnRecorder(Instant startedAt);

    /**
     * Sets the target of an operation; requests counted before are not evaluated again.
     */
    void setTarget(const OrganisationName &organisation, const OperationName &operation,
                   const ServiceTarget &target);

    /**
     * Removes an operation that is no longer in any contract.
     */
    void removeTarget(const OrganisationName &organisation, const OperationName &operation);

    /**
     * Counts a request. A late answer counts as bad, like a refusal. A request for an operation
     * without a target is counted only in ignored().
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

    /** Latencies of the current 10 minute part and the five before it, used as a ring. */
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
 * Burn rate of one operation over one window.
 */
struct WindowBurn
{
    GoodBad counted;
    /** Ratio of the share of bad requests to the allowed share; 1 uses the budget exactly. */
    double rate = 0;
};

/**
 * Burn rate of one operation over all daemons that reported.
 */
struct BurnRow
{
    OrganisationName organisation;
    OperationName operation;
    /** The strictest target that any daemon reported. */
    ServiceTarget target;
    /** Daemons used different targets, since the contract changed within the window. */
    bool hasMixedTargets = false;
    std::array<WindowBurn, burnWindows.size()> windows{};
    /** Share of the longest window's budget that is left; below 0 if exceeded. */
    double budgetLeft = 1;
    bool isBurningFast = false;
    bool isBurningSlowly = false;
    std::optional<Duration> median;
    std::optional<Duration> percentile99;
};

/**
 * Burn rates of all operations, and the limits of their coverage.
 */
struct BurnReport
{
    /** Sorted by organisation, then by operation. */
    std::vector<BurnRow> rows;
    std::vector<HostName> reported;
    /** Expected daemons that did not report; their requests are not in the counts. */
    std::vector<HostName> missing;
    /** The shortest time for which any reporting daemon has been counting. */
    Duration minObservedDuration{};
    /** Number of daemons that have been counting for less than the longest window. */
    std::size_t partlyObserved = 0;
};

/**
 * Adds up the counts of several threads of one daemon.
 * \pre \a snapshots is not empty, and all are of the same incarnation.
 */
BurnSnapshot mergedThreads(std::span<const BurnSnapshot> snapshots);

/**
 * Adds up the counts reported by daemons. If a host reported twice, its last snapshot is used.
 * \param expected the hosts that should have reported.
 */
BurnReport burnReport(std::span<const BurnSnapshot> snapshots, std::span<const HostName> expected);

} // namespace bulrush

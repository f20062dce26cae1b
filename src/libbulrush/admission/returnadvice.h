#pragma once

#include "process/clock.h"
#include "version/identifier.h"
#include "version/routingconfig.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bulrush {

/** What a refusal says about the time at which the request can be served. */
enum class RefusalCause {
    Other,     ///< nothing beyond a time that is known otherwise
    KeyTooHot, ///< the planner renews the shares of hot keys at a fixed interval
    NoOwner,   ///< the keys are usually moving to another server
    NotFull,   ///< the server refused the request although it had room for it
};

/** Place of a route among the priorities of the routes that lead to one service. */
struct PriorityRank
{
    /** Number of more urgent priorities. */
    std::size_t index = 0;
    /** Number of different priorities; at least 1. */
    std::size_t count = 1;

    bool operator==(const PriorityRank &) const = default;
};

/** \returns the rank of \a route among all routes of \a config that lead to \a service. */
PriorityRank priorityRank(const RoutingConfig &config, const ServiceName &service,
                          const Route &route);

/** A request that was refused and did not run. */
struct RefusedRequest
{
    RefusalCause cause = RefusalCause::Other;
    /** Time after which capacity is expected; zero if it is unknown. */
    Duration availableIn{};
    PriorityRank rank;
    /** Time left until the caller's own deadline; not set if the caller stated none. */
    std::optional<Duration> callerTimeLeft;
    /**
     * Time left until the target latency of the route, counted from the arrival of this attempt.
     * If it is a later attempt of the caller, less is left.
     */
    Duration targetTimeLeft{};
    /** Evenly distributed over requests. */
    std::uint64_t hash = 0;
};

/** Time span in which refused callers are advised to return, counted from the refusal. */
struct ReturnInterval
{
    /** Floating-point seconds, so that the default interval gives exactly the usual texts. */
    using Seconds = std::chrono::duration<double>;

    Seconds begin{};
    Seconds length{};
};

/**
 * Decides when a refused caller is advised to return (Retry-After).
 *
 * It responds to the load that refused callers cause when they return: those that are refused at
 * the same moment must not return at the same moment, nor before there is capacity. Callers honour
 * the advice up to a third of the time that they have left, and return at that limit if they are
 * told a later time. Therefore the advice never exceeds the limit; otherwise all callers with equal
 * deadlines would return at one moment.
 *
 * Stateless and thread safe.
 */
class ReturnAdvice
{
public:
    /** Minimum pause, where the caller's limit permits it. */
    static constexpr Duration minPause = std::chrono::milliseconds{250};
    /** Length of the interval for the callers of one priority. */
    static constexpr Duration spread = std::chrono::milliseconds{500};
    /** Callers honour the advice up to this part of the time that they have left. */
    static constexpr int honouredDivisor = 3;
    /**
     * Minimum length of the interval, as a part of the caller's limit. Without it, callers for
     * which capacity is expected just before their limit would return at one moment.
     */
    static constexpr double minSpreadPart = 0.25;
    /**
     * A server that refuses requests although it has room may accept the next one, so that waiting
     * brings nothing. The callers return within this part of the time left until the target
     * latency, so that the second answer can still be on time.
     */
    static constexpr int earlyReturnDivisor = 5;
    /** The part of that time in which none of them returns. */
    static constexpr int earlyPauseDivisor = 3;
    /** The planner renews the shares of hot keys when daemons report their loads. */
    static constexpr Duration shareInterval = std::chrono::milliseconds{600};
    /**
     * Usual duration of a move of keys. A request without an owner waits for
     * RequestQueue::absenceTimeout first, so that most of a planned move has passed by then.
     */
    static constexpr Duration moveTime = std::chrono::milliseconds{400};

    /** \returns the time after which capacity is expected; zero if it is unknown. */
    static Duration expectedIn(const RefusedRequest &refused);

    /** \returns the interval in which callers that are refused like \a refused return. */
    static ReturnInterval interval(const RefusedRequest &refused);

    /** \returns when the caller of \a refused is to return, counted from the refusal. */
    static ReturnInterval::Seconds returnAfter(const RefusedRequest &refused);
};

} // namespace bulrush

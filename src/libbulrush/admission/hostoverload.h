#pragma once

#include "process/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace bulrush {

struct RoutingConfig;

/**
 * Decides whether this host falls behind with its event loop, and which requests it then refuses.
 *
 * The load it responds to is the lag of the event loop: how late a periodic timer runs, and how
 * long work that is ready waits. A request passes the event loop about four times (its arrival, its
 * dispatch, the server's answer, the answer to the caller), so that a lag of an eighth of the least
 * target latency of the routes costs it half of that time. From there on the host refuses requests
 * that other daemons relay to it, then a growing share of callers' requests, least urgent first. It
 * refuses less again once the lag has halved. Waiting for servers does not count.
 *
 * At most maxRefusedShare of each priority is refused, so that no route is shut out: even with all
 * others served, the served share of the least urgent one stays at a quarter of it.
 *
 * Not thread safe. Instants never decrease.
 */
class HostOverload
{
public:
    /** The lag from which on the host is overloaded, as a fraction of the least target latency. */
    static constexpr int lagDivisor = 8;
    /**
     * No lag below this is overload: a host that gets a part of a core may be paused for up to a
     * scheduling period of 100 ms with little work, too.
     */
    static constexpr Duration minOverloadLag = std::chrono::milliseconds{100};
    /** The overload recedes below this fraction of the lag from which on it holds. */
    static constexpr int recoveryDivisor = 2;
    /** Weight of the latest lag in the mean lag. */
    static constexpr double latestWeight = 0.25;
    /**
     * Bound of a measured lag, in units of the lag from which on the host is overloaded: with its
     * weight of a quarter, one pause, however long, is no overload.
     */
    static constexpr int maxLagFactor = 3;
    /** By how much the refused share of a priority grows or shrinks. */
    static constexpr double shareStep = 0.25;
    static constexpr double maxRefusedShare = 0.75;
    /** Time in which a change shows in the mean lag before the next one in the same direction. */
    static constexpr Duration raiseInterval = std::chrono::milliseconds{300};
    static constexpr Duration lowerInterval = std::chrono::milliseconds{500};
    /** A lag that was not measured for this long counts no more. */
    static constexpr Duration measurementLifetime = std::chrono::seconds{5};

    /** Sets the routes, from which the thresholds and the order of priorities follow. */
    void setRoutes(const RoutingConfig &config);

    /** Records that work that was ready waited for \a delay until the event loop handled it. */
    void recordDelay(Duration delay);

    enum class Change {
        None,
        Began,
        Ended,
    };

    /**
     * Records that a periodic timer ran \a lateness after its time, and decides. To be called about
     * ten times a second. \returns whether the overload began or ended.
     */
    Change update(Duration lateness, Instant now);

    bool isOverloaded(Instant now) const;

    /** \returns the mean lag. */
    Duration lag() const;

    /** \returns whether requests that other daemons relay are handled now. */
    bool admitsRelayed(Instant now) const;

    /**
     * \returns whether a caller's request with \a priority, 0 being the most urgent, is handled
     * now. \a hash is distributed evenly over the requests.
     */
    bool admits(std::uint32_t priority, std::uint64_t hash, Instant now) const;

    /** \returns the share of callers' requests with \a priority that are refused now. */
    double refusedShare(std::uint32_t priority, Instant now) const;

private:
    Duration takeLag(Duration lateness);
    void raise(Instant now);
    int maxLevel() const;

    /** The least urgent first. */
    std::set<std::uint32_t, std::greater<>> m_priorities;
    /** Nothing if there is no route: then there is no overload. */
    std::optional<Duration> m_overloadLag;
    Duration m_delaySum{};
    std::int64_t m_delayCount = 0;
    Duration m_lag{};
    /** 0: no overload; 1: relayed requests are refused; above: steps of the refused shares. */
    int m_level = 0;
    Instant m_changedAt;
    Instant m_measuredAt;
};

inline Duration HostOverload::lag() const
{
    return m_lag;
}

} // namespace bulrush

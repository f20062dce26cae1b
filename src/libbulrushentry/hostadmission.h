#pragma once

#include "admission/hostoverload.h"
#include "relaymessage.h"
#include "version/routingconfig.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrush {

class EntryCounters;

namespace refusal {

/** This host falls behind with its work. */
constexpr std::string_view hostOverloaded = "host-overloaded";

} // namespace refusal

/**
 * Which requests this host handles, by its size, its load and its paths. Used on the traffic
 * thread.
 */
class HostAdmission
{
public:
    /** \a processors is the CPU capacity of the host, in cores. */
    HostAdmission(double processors, EntryCounters &counters);

    /** Sets the routes in force. */
    void setRoutes(const RoutingConfig &config);

    /** Records that work that was ready at \a readyAt is handled at \a now. */
    void recordDelay(Instant readyAt, Instant now);

    /** Decides about overload. To be called by a periodic timer with \a period. */
    void update(Duration period, Instant now);

    /**
     * \returns why a request that another daemon relays is refused, or nothing. \a openCount is the
     * number of those that are open, with this one.
     */
    std::optional<std::string_view> relayRefusal(std::size_t openCount, bool isOutOfReach,
                                                 Instant now);

    /** \returns whether a caller's request for \a route is handled; \a hash is that of its id. */
    bool admits(const Route &route, std::uint64_t hash, Instant now);

    /** \returns how many requests of other daemons are handled at a time. */
    std::size_t maxOpenRelays() const;

private:
    EntryCounters &m_counters;
    std::size_t m_maxOpenRelays;
    HostOverload m_overload;
    std::optional<Instant> m_updatedAt;
    Instant m_overloadedSince;
    std::uint64_t m_refusedBefore = 0;
};

inline std::size_t HostAdmission::maxOpenRelays() const
{
    return m_maxOpenRelays;
}

/**
 * \returns how many requests of other daemons a host with \a processors cores handles at a time.
 * Thread safe.
 */
std::size_t maxOpenRelaysOf(double processors);

/**
 * \returns what a refusal for \a reason means to the daemon that relays the request, also for the
 * reasons of HostAdmission. Thread safe.
 */
RelayOutcome relayOutcomeOfRefusal(std::string_view reason, bool isOutOfReach);

} // namespace bulrush

#pragma once

#include "admission/sendforecast.h"
#include "pacing/slowstart.h"
#include "process/datafreshness.h"
#include "process/drainbudget.h"
#include "process/evacuationbudget.h"
#include "process/routingstate.h"
#include "process/servergauges.h"
#include "process/serverlimits.h"
#include "process/servernotices.h"
#include "process/serverreach.h"
#include "version/routingconfig.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace bulrush {

/** Requirements of a request for the choice of its server. */
struct ServerDemand
{
    ServiceName service;
    /** Set if and only if the service is divided by key. */
    std::optional<KeyPosition> key;
    RequestKind kind = RequestKind::Idempotent;
    /** Time within which an answer has its full value. */
    Duration targetLatency = std::chrono::seconds{1};
    /** Servers to which this request was already sent. */
    std::span<const ServerName> tried;
    /** Differs between requests, so that daemons with equal data choose different servers. */
    std::uint64_t salt = 0;
    /** The server for which the request has a permit; empty if it has none. */
    ServerName permitted = {};
    /** Name of its route; empty if its service time is not told apart from those of others. */
    std::string_view route = {};
};

/** Reason why no server can receive a request now. */
enum class NoServer {
    Busy,        ///< the eligible servers have no capacity
    Absent,      ///< the key has no owner now, or no server of the service is ready
    Unreachable, ///< the servers that may get it can't be reached from this daemon
    AllTried,    ///< all eligible servers were tried, so that waiting does not help
    Cold,        ///< the eligible servers are cold, and only other daemons send to them for now
    Evacuated,   ///< no server of the service is ready, for evacuations among other reasons
    Limited,     ///< the eligible servers name limits, and no permit for them can be had now
    BackingOff,  ///< the eligible servers asked this daemon for a pause
};

/** The chosen server, valid during the lifetime of the routing state, or the reason for none. */
using ServerPick = std::variant<const ServerRecord *, NoServer>;

/** Estimates for a request that waits. */
struct ServerEstimate
{
    /** Time from sending the request to its answer. */
    Duration latency{};
    /** Requests per second that this daemon can complete where this one waits; 0 if unknown. */
    double completionRate = 0.0;
    /** The server that the request waits for; empty if any server of the service is eligible. */
    ServerName owner;
    /**
     * Time until the first request can be sent to the owner, if that is paced by its reports;
     * nothing otherwise.
     */
    std::optional<Duration> roomIn = {};
    /** Time until a request that is sent now begins to run, by the requests at the servers. */
    Duration drainTime{};
    /** Requests per second that the servers can complete for all daemons; 0 if unknown. */
    double capacity = 0.0;
};

/** Time limits for requests to servers that are to get no more work. */
struct LeavingServerBudgets
{
    DrainBudget drain = DrainBudget{};
    EvacuationBudget evacuation = EvacuationBudget{};
};

/**
 * Chooses the server for a request: the owner of its key, or otherwise the server of the service
 * that is expected to answer first. Servers in the daemon's own failure domain are preferred by a
 * margin that represents the price of traffic between domains; the margin is large for uploads.
 *
 * A server is used only for a fraction of the drain bound after the last instant at which it was
 * confirmed not to drain. This applies to the owner of a key that drains, until its keys have
 * moved, and to any server if there is no newer routing data although the store answers. Otherwise
 * one slow hop in the propagation of routing data would cause requests to servers that have left.
 * The same applies to servers of evacuated failure domains, and to those that announced in an
 * answer that they leave. Cold servers are used as SlowStart permits. Servers that name a limit are
 * chosen while permits for them can be queried. Servers that asked for a pause get no requests
 * until its end.
 *
 * Not thread safe.
 */
class ServerPicker
{
public:
    /**
     * Additional latency that is accepted to stay in the own domain, as a fraction of the target
     * latency, because traffic between domains is priced.
     */
    static constexpr double domainMargin = 0.35;
    /** The same for uploads, whose transfer between domains costs more than a late answer. */
    static constexpr Duration uploadDomainMargin = std::chrono::milliseconds{1500};

    /** The sources of data about the servers, which must outlive the picker. */
    struct Sources
    {
        const ServerGauges &gauges;
        const SlowStart &slowStart;
        const ServerLimits &limits;
        const ServerNotices &notices;
        const ServerReach &reach;
    };

    ServerPicker(const Sources &sources, DomainName ownDomain,
                 const LeavingServerBudgets &budgets = {});

    /** Sets how current the data about the servers is. */
    void setServerFreshness(const DataFreshness &freshness);

    /** Sets how current the data about evacuations is. */
    void setEvacuationFreshness(const DataFreshness &freshness);

    /** \returns the time since the store last confirmed the data, or zero if it is unreachable. */
    Duration serverDataAge(Instant now) const;

    /** \returns how the drain bound is divided. */
    const DrainBudget &drainBudget() const;

    ServerPick pick(const RoutingState &state, const ServerDemand &demand, Instant now) const;

    /** \returns the server that holds the key of \a demand, or null if it has none or no key. */
    const ServerRecord *owner(const RoutingState &state, const ServerDemand &demand,
                              Instant now) const;

    /** \returns the latest instant to send a request to \a server once it has a connection. */
    Instant sendDeadline(const KnownServer &server) const;

    /** \returns whether a request that was meant for \a server at its choice may be sent now. */
    bool isStillWanted(const ServerName &server, Instant now) const;

    /**
     * \returns when the first of the servers for \a demand will take requests again. \pre pick()
     * returns NoServer::BackingOff for it
     */
    Instant backoffEnd(const RoutingState &state, const ServerDemand &demand, Instant now) const;

    /** \returns the estimates for a request with \a demand that has to wait. */
    ServerEstimate estimate(const RoutingState &state, const ServerDemand &demand,
                            Instant now) const;

    /**
     * \returns when requests for the key of \a demand can be sent to its owner; nothing if that is
     * unknown. \sa forecastSends()
     */
    std::optional<SendForecast> forecast(const RoutingState &state, const ServerDemand &demand,
                                         Instant sentAt, Duration horizon, Instant now) const;

private:
    const KnownServer *ownerOf(const RoutingState &state, const ServerDemand &demand,
                               Instant now) const;
    ServerPick pickOwner(const RoutingState &state, const ServerDemand &demand, Instant now) const;
    ServerPick pickFastest(const RoutingState &state, const ServerDemand &demand,
                           Instant now) const;
    SlowStartAdmission admission(const RoutingState &state, const KnownServer &server,
                                 Instant now) const;
    Duration serviceTime(const ServerRecord &server) const;
    Duration drainTime(const ServerRecord &server, Instant now) const;
    double capacity(const ServerRecord &server) const;
    bool isReady(const KnownServer &server) const;
    Duration announcedAge(const ServerName &server, Instant now) const;
    bool isClosed(const ServerDemand &demand, const ServerName &server, Instant now) const;
    bool mayAnyServerBeLeaving(Instant now) const;
    Duration costOf(const ServerRecord &server, const ServerDemand &demand, Instant now) const;

    const ServerGauges &m_gauges;
    const SlowStart &m_slowStart;
    const ServerLimits &m_limits;
    const ServerNotices &m_notices;
    const ServerReach &m_reach;
    DomainName m_ownDomain;
    DrainBudget m_drainBudget;
    EvacuationBudget m_evacuationBudget;
    DataFreshness m_serverFreshness;
    DataFreshness m_evacuationFreshness;
};

inline void ServerPicker::setServerFreshness(const DataFreshness &freshness)
{
    m_serverFreshness = freshness;
}

inline void ServerPicker::setEvacuationFreshness(const DataFreshness &freshness)
{
    m_evacuationFreshness = freshness;
}

inline const DrainBudget &ServerPicker::drainBudget() const
{
    return m_drainBudget;
}

} // namespace bulrush

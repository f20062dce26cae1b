#pragma once

#include "process/leasemessages.h"
#include "process/routingleasetimings.h"

#include <map>
#include <optional>
#include <span>

namespace bulrush {

/** Identifies work in flight that a daemon has sent. */
using FlightId = std::uint64_t;

/** The work may be sent now. */
struct DispatchAllowed
{
    /** Fencing token to send with the work. */
    Fence fence;
    /** Latest instant, on this daemon's clock, at which the server may start the work. */
    Instant latestDeadline;

    bool operator==(const DispatchAllowed &) const = default;
};

enum class DispatchRefusal {
    /** No lease was ever granted to this incarnation. */
    NoLease,
    /** The lease has expired; a pull may renew it. */
    Lapsed,
    /** According to the stored rights, another daemon sends to this server. */
    NotManager,
    /** The slice is being moved away from this server. */
    Stopping,
    /** According to the stored rights, this server does not own the slice. */
    NotAssigned,
    /** The caller used a newer assignment than this daemon has received. */
    UnknownVersion,
};

using DispatchDecision = std::variant<DispatchAllowed, DispatchRefusal>;

enum class LeaseReplyStatus {
    Accepted,
    /** It matches no pending request: duplicated, overtaken or not for this daemon. */
    Unmatched,
    /** It is from an earlier leader or carries an older assignment. */
    Outdated,
    /** Its orders were applied, but its lease had expired before it arrived. */
    TooLate,
};

/**
 * Work that a daemon intends to send to a server of its failure domain.
 */
struct DispatchQuery
{
    ServiceName service;
    KeyHash key = 0;
    ServerName server;
    /** The caller's deadline on this daemon's clock. */
    Instant callerDeadline;
    /** Version of the assignment by which the work was routed here. */
    Fence routedBy;
};

/**
 * The daemon's side of routing leases in one failure domain: decides whether the daemon may send
 * work for a slice to a server now, and creates its reports to the leader.
 *
 * Not thread safe. A dispatch has to check the right, start the flight and hand over its bytes in
 * one step of the thread that owns this object, so that no stop is reported in between.
 */
class RoutingLeaseHolder
{
public:
    RoutingLeaseHolder(Incarnation incarnation, RoutingLeaseTimings terms);

    /**
     * \returns the next lease request, to be sent immediately; \a now is read before sending.
     * \a knownVersion is the version of the assignment that the daemon uses for routing.
     */
    LeaseRequest makeRequest(Fence knownVersion, Instant now);

    /** Applies a reply. An unmatched or outdated reply has no effect. */
    LeaseReplyStatus accept(const LeaseReply &reply, Instant now);

    /**
     * \returns whether the work may be sent, and with what deadline: the earliest of the caller's,
     * the lease's end and the deadline cap.
     */
    DispatchDecision checkDispatch(const DispatchQuery &query, Instant now) const;

    /** Registers work in flight. \pre checkDispatch() has just allowed it. */
    FlightId startFlight(const DispatchQuery &query, const DispatchAllowed &allowed);

    /** Removes a flight that was answered completely, or of which no byte reached the server. */
    void endFlight(FlightId flight);

    /** Marks a flight as abandoned: it counts until its deadline and the run cap have passed. */
    void abandonFlight(FlightId flight);

    /** Sets whether \a server is considered lost; lost servers are reported with each pull. */
    void setServerLost(const ServerName &server, bool isLost);

    /** \returns whether there is a change that should be reported to the leader immediately. */
    bool needsPull() const;

    /** \returns the version of the assignment that came with the last accepted reply. */
    Fence assignmentVersion() const;

    /** \returns the instant from which nothing may be sent, if a lease was ever accepted. */
    std::optional<Instant> leaseEnd() const;

    /** \returns what may be sent while the lease lasts, sorted by piece. */
    std::span<const SliceRight> rights() const;

    /** \returns the number of flights that have not ended. */
    std::size_t flightCount() const;

private:
    struct Flight
    {
        ServiceName service;
        KeyHash key = 0;
        ServerName server;
        Instant deadline;
        bool isAbandoned = false;
    };

    struct Stop
    {
        StopOrder order;
        bool isReported = false;
        bool isReportedIdle = false;
    };

    StopReport report(const StopOrder &order, Instant now) const;
    bool isIdle(const StopOrder &order) const;
    void dropEndedFlights(Instant now);
    void replaceRights(const RightsReplaced &replaced);
    const SliceRight *findRight(const ServiceName &service, KeyHash key) const;
    DispatchRefusal refusal(const DispatchQuery &query, const SliceRight *right) const;

    Incarnation m_incarnation;
    RoutingLeaseTimings m_terms;
    LeaseRequestId m_lastRequest = 0;
    /** Pending requests with an instant read before each was sent. */
    std::map<LeaseRequestId, Instant> m_pendingRequests;
    std::optional<Instant> m_leaseEnd;
    Fence m_assignmentVersion;
    Fence m_rightsVersion;
    std::vector<SliceRight> m_rights;
    std::vector<Stop> m_stops;
    std::map<FlightId, Flight> m_flights;
    FlightId m_lastFlight = 0;
    std::vector<ServerName> m_lostServers;
    bool m_hasNewLoss = false;
};

inline Fence RoutingLeaseHolder::assignmentVersion() const
{
    return m_assignmentVersion;
}

inline std::optional<Instant> RoutingLeaseHolder::leaseEnd() const
{
    return m_leaseEnd;
}

inline std::span<const SliceRight> RoutingLeaseHolder::rights() const
{
    return m_rights;
}

inline std::size_t RoutingLeaseHolder::flightCount() const
{
    return m_flights.size();
}

} // namespace bulrush

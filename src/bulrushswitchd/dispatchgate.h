#pragma once

#include "process/routingleaseholder.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace bulrush {

/** A request in flight that the gate has admitted. */
struct AdmittedFlight
{
    DomainName domain;
    FlightId flight = 0;
    DispatchAllowed allowed;
};

using GateDecision = std::variant<AdmittedFlight, DispatchRefusal>;

/**
 * This daemon's routing rights in all failure domains. The control thread renews them, and the
 * traffic threads send requests under them.
 *
 * Thread safe. A request is admitted and counted as in flight in one step, so that no stop can be
 * reported between the two. Its bytes are sent later, under the deadline fixed in that step.
 */
class DispatchGate
{
public:
    DispatchGate(Incarnation incarnation, RoutingLeaseTimings terms);

    /** \returns the next pull for \a domain. \a now is read before sending. */
    LeaseRequest makeRequest(const DomainName &domain, Fence knownVersion, Instant now);

    /** Applies a leader's reply. */
    LeaseReplyStatus accept(const DomainName &domain, const LeaseReply &reply, Instant now);

    /** Admits a request and counts it as in flight, or returns why it is refused. */
    GateDecision startFlight(const DomainName &domain, const DispatchQuery &query, Instant now);

    /** Ends a flight with a complete answer, or one that never reached the server. */
    void endFlight(const AdmittedFlight &flight);

    /** Ends a flight whose outcome is unknown. */
    void abandonFlight(const AdmittedFlight &flight);

    /** Marks \a server as lost or found again in all domains. */
    void setServerLost(const ServerName &server, bool isLost);

    /** \returns whether this daemon should send \a domain's leader a pull at once. */
    bool needsPull(const DomainName &domain) const;

    /** \returns whether this daemon holds rights in \a domain, including lapsed ones. */
    bool hasRights(const DomainName &domain) const;

    /** \returns the assignment version of the last accepted reply. */
    Fence assignmentVersion(const DomainName &domain) const;

    /** \returns the end of the latest lease in \a domain, or nothing if there has been none. */
    std::optional<Instant> leaseEnd(const DomainName &domain) const;

    /** \returns the number of requests in flight in all domains. */
    std::size_t flightCount() const;

private:
    RoutingLeaseHolder &right(const DomainName &domain);

    Incarnation m_incarnation;
    RoutingLeaseTimings m_terms;
    mutable std::mutex m_mutex;
    std::map<DomainName, RoutingLeaseHolder> m_rights;
};

} // namespace bulrush

#include "process/routingleaseholder.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Maximum number of pending requests; the oldest is dropped, and its reply no longer matches. */
constexpr std::size_t maxPendingRequests = 16;

bool covers(const StopOrder &order, const ServiceName &service, KeyHash key,
            const ServerName &server)
{
    return order.server == server && order.piece.service == service
        && contains(order.piece.range, key);
}

} // namespace

RoutingLeaseHolder::RoutingLeaseHolder(Incarnation incarnation, RoutingLeaseTimings terms)
    : m_incarnation(std::move(incarnation))
    , m_terms(terms)
{ }

LeaseRequest RoutingLeaseHolder::makeRequest(Fence knownVersion, Instant now)
{
    dropEndedFlights(now);
    LeaseRequest request{m_incarnation, ++m_lastRequest, knownVersion, m_rightsVersion, {},
                         m_lostServers};
    for (Stop &stop : m_stops) {
        request.stopReports.push_back(report(stop.order, now));
        stop.isReported = true;
        stop.isReportedIdle = request.stopReports.back().idle;
    }
    m_hasNewLoss = false;
    m_pendingRequests.emplace(m_lastRequest, now);
    if (m_pendingRequests.size() > maxPendingRequests)
        m_pendingRequests.erase(m_pendingRequests.begin());
    return request;
}

LeaseReplyStatus RoutingLeaseHolder::accept(const LeaseReply &reply, Instant now)
{
    const auto waiting = m_pendingRequests.find(reply.requestId);
    if (waiting == m_pendingRequests.end())
        return LeaseReplyStatus::Unmatched;

    const bool isOlder =
        reply.assignmentVersion < m_assignmentVersion || reply.rightsVersion < m_rightsVersion;
    if (isOlder)
        return LeaseReplyStatus::Outdated;

    const bool isUnchanged = std::holds_alternative<RightsUnchanged>(reply.rights);
    if (isUnchanged && reply.rightsVersion != m_rightsVersion)
        return LeaseReplyStatus::Outdated;

    const Instant leaseEnd = waiting->second + shortened(reply.length, m_terms.driftPpm);
    m_pendingRequests.erase(m_pendingRequests.begin(), std::next(waiting));
    m_assignmentVersion = reply.assignmentVersion;
    m_leaseEnd = leaseEnd;
    m_rightsVersion = reply.rightsVersion;
    if (!isUnchanged)
        replaceRights(std::get<RightsReplaced>(reply.rights));
    return leaseEnd <= now ? LeaseReplyStatus::TooLate : LeaseReplyStatus::Accepted;
}

DispatchDecision RoutingLeaseHolder::checkDispatch(const DispatchQuery &query, Instant now) const
{
    if (!m_leaseEnd)
        return DispatchRefusal::NoLease;

    if (now >= *m_leaseEnd)
        return DispatchRefusal::Lapsed;

    const SliceRight *right = findRight(query.service, query.key);
    if (!right || right->server != query.server)
        return refusal(query, right);

    const Instant cap = now + m_terms.deadlineCap;
    return DispatchAllowed{right->fence, std::min({query.callerDeadline, *m_leaseEnd, cap})};
}

FlightId RoutingLeaseHolder::startFlight(const DispatchQuery &query, const DispatchAllowed &allowed)
{
    const FlightId id = ++m_lastFlight;
    m_flights.emplace(
        id, Flight{query.service, query.key, query.server, allowed.latestDeadline, false});
    return id;
}

void RoutingLeaseHolder::endFlight(FlightId flight)
{
    m_flights.erase(flight);
}

void RoutingLeaseHolder::abandonFlight(FlightId flight)
{
    const auto found = m_flights.find(flight);
    if (found != m_flights.end())
        found->second.isAbandoned = true;
}

void RoutingLeaseHolder::setServerLost(const ServerName &server, bool isLost)
{
    const auto found = std::find(m_lostServers.begin(), m_lostServers.end(), server);
    const bool wasLost = found != m_lostServers.end();
    if (isLost == wasLost)
        return;

    m_hasNewLoss = true;
    if (isLost)
        m_lostServers.push_back(server);
    else
        m_lostServers.erase(found);
}

bool RoutingLeaseHolder::needsPull() const
{
    if (m_hasNewLoss)
        return true;

    return std::any_of(m_stops.begin(), m_stops.end(), [this](const Stop &stop) {
        return !stop.isReported || (!stop.isReportedIdle && isIdle(stop.order));
    });
}

StopReport RoutingLeaseHolder::report(const StopOrder &order, Instant now) const
{
    StopReport made{order.stop, true, Duration{0}};
    for (const auto &[id, flight] : m_flights) {
        if (!covers(order, flight.service, flight.key, flight.server))
            continue;
        made.idle = false;
        made.latestDeadline = std::max(made.latestDeadline, flight.deadline - now);
    }
    return made;
}

bool RoutingLeaseHolder::isIdle(const StopOrder &order) const
{
    return std::none_of(m_flights.begin(), m_flights.end(), [&order](const auto &entry) {
        const Flight &flight = entry.second;
        return covers(order, flight.service, flight.key, flight.server);
    });
}

void RoutingLeaseHolder::dropEndedFlights(Instant now)
{
    const Duration maxRunTime = stretched(m_terms.runCap, m_terms.driftPpm);
    std::erase_if(m_flights, [now, maxRunTime](const auto &entry) {
        const Flight &flight = entry.second;
        return flight.isAbandoned && flight.deadline + maxRunTime <= now;
    });
}

void RoutingLeaseHolder::replaceRights(const RightsReplaced &replaced)
{
    std::vector<Stop> stops;
    for (const StopOrder &order : replaced.stops) {
        const auto known = std::find_if(m_stops.begin(), m_stops.end(), [&order](const Stop &stop) {
            return stop.order.stop == order.stop;
        });
        stops.push_back(known == m_stops.end() ? Stop{order, false, false} : *known);
    }
    m_stops = std::move(stops);
    m_rights = replaced.rights;
}

const SliceRight *RoutingLeaseHolder::findRight(const ServiceName &service, KeyHash key) const
{
    const auto isBefore = [&service, key](const SliceRight &right) {
        const int order = right.piece.service.value().compare(service.value());
        return order < 0 || (order == 0 && right.piece.range.end < key);
    };
    const auto found = std::partition_point(m_rights.begin(), m_rights.end(), isBefore);
    const bool isHit = found != m_rights.end() && found->piece.service == service
        && contains(found->piece.range, key);
    return isHit ? &*found : nullptr;
}

DispatchRefusal RoutingLeaseHolder::refusal(const DispatchQuery &query,
                                            const SliceRight *right) const
{
    const bool isStopping = std::any_of(m_stops.begin(), m_stops.end(), [&](const Stop &stop) {
        return covers(stop.order, query.service, query.key, query.server);
    });
    if (isStopping)
        return DispatchRefusal::Stopping;

    if (query.routedBy > m_assignmentVersion)
        return DispatchRefusal::UnknownVersion;

    const bool attends = std::any_of(m_rights.begin(), m_rights.end(), [&](const SliceRight &held) {
        return held.server == query.server;
    });
    return right || attends ? DispatchRefusal::NotAssigned : DispatchRefusal::NotManager;
}

} // namespace bulrush

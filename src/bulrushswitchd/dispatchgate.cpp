#include "dispatchgate.h"

#include <utility>

namespace bulrush {

DispatchGate::DispatchGate(Incarnation incarnation, RoutingLeaseTimings terms)
    : m_incarnation(std::move(incarnation))
    , m_terms(terms)
{ }

LeaseRequest DispatchGate::makeRequest(const DomainName &domain, Fence knownVersion, Instant now)
{
    const std::scoped_lock lock{m_mutex};
    return right(domain).makeRequest(knownVersion, now);
}

LeaseReplyStatus DispatchGate::accept(const DomainName &domain, const LeaseReply &reply,
                                      Instant now)
{
    const std::scoped_lock lock{m_mutex};
    return right(domain).accept(reply, now);
}

GateDecision DispatchGate::startFlight(const DomainName &domain, const DispatchQuery &query,
                                       Instant now)
{
    const std::scoped_lock lock{m_mutex};
    RoutingLeaseHolder &rights = right(domain);
    const DispatchDecision decision = rights.checkDispatch(query, now);
    if (const auto *refusal = std::get_if<DispatchRefusal>(&decision))
        return *refusal;

    const auto &allowed = std::get<DispatchAllowed>(decision);
    return AdmittedFlight{domain, rights.startFlight(query, allowed), allowed};
}

void DispatchGate::endFlight(const AdmittedFlight &flight)
{
    const std::scoped_lock lock{m_mutex};
    right(flight.domain).endFlight(flight.flight);
}

void DispatchGate::abandonFlight(const AdmittedFlight &flight)
{
    const std::scoped_lock lock{m_mutex};
    right(flight.domain).abandonFlight(flight.flight);
}

void DispatchGate::setServerLost(const ServerName &server, bool isLost)
{
    const std::scoped_lock lock{m_mutex};
    for (auto &[domain, rights] : m_rights)
        rights.setServerLost(server, isLost);
}

bool DispatchGate::needsPull(const DomainName &domain) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_rights.find(domain);
    return found != m_rights.end() && found->second.needsPull();
}

bool DispatchGate::hasRights(const DomainName &domain) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_rights.find(domain);
    return found != m_rights.end() && !found->second.rights().empty();
}

Fence DispatchGate::assignmentVersion(const DomainName &domain) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_rights.find(domain);
    return found == m_rights.end() ? Fence{} : found->second.assignmentVersion();
}

std::optional<Instant> DispatchGate::leaseEnd(const DomainName &domain) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_rights.find(domain);
    return found == m_rights.end() ? std::nullopt : found->second.leaseEnd();
}

std::size_t DispatchGate::flightCount() const
{
    const std::scoped_lock lock{m_mutex};
    std::size_t count = 0;
    for (const auto &[domain, rights] : m_rights)
        count += rights.flightCount();
    return count;
}

RoutingLeaseHolder &DispatchGate::right(const DomainName &domain)
{
    return m_rights.try_emplace(domain, m_incarnation, m_terms).first->second;
}

} // namespace bulrush

#include "process/evacuationreport.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace bulrush {

namespace {

using UseByDomain = std::map<DomainName, DomainUse>;

/** Adds the keys of \a service to the domains of their owners. */
void addKeys(const RoutingState &state, const ServiceName &service, UseByDomain &domains)
{
    const auto assignment = state.assignments.find(service);
    if (assignment == state.assignments.end())
        return;
    for (const OwnedRange &owned : assignment->second->ranges) {
        const ServerName &holder = owned.isMoving() ? owned.previous : owned.owner;
        if (const KnownServer *server = state.server(service, holder))
            domains[server->record.domain].keys += owned.range.size();
    }
}

} // namespace

std::vector<ServiceUse> serviceUse(const RoutingState &state, const InFlightCount &inFlight)
{
    std::vector<ServiceUse> services;
    for (const auto &[service, servers] : state.servers) {
        UseByDomain domains;
        for (const KnownServer &server : servers) {
            DomainUse &use = domains[server.record.domain];
            use.inFlight += inFlight(server.record.id);
            if (server.record.isDraining || server.removedSince)
                continue;
            ++use.servers;
            use.slots += server.record.slots;
        }
        addKeys(state, service, domains);
        ServiceUse entry{service, {}};
        for (auto &[domain, use] : domains) {
            use.domain = domain;
            entry.domains.push_back(std::move(use));
        }
        services.push_back(std::move(entry));
    }
    return services;
}

std::vector<EvacuatedDomain> evacuatedDomains(const ServerDirectory &directory, Instant now)
{
    std::vector<EvacuatedDomain> domains;
    for (const auto &[domain, evacuation] : directory.evacuations())
        domains.push_back({domain, now - evacuation.receivedAt});
    return domains;
}

std::vector<EvacuationImpact> evacuationImpact(std::span<const EvacuationReport> reports,
                                               const DomainName &domain)
{
    std::set<DomainName> excluded{domain};
    for (const EvacuationReport &report : reports) {
        for (const EvacuatedDomain &evacuated : report.evacuated)
            excluded.insert(evacuated.domain);
    }
    std::map<ServiceName, EvacuationImpact> impacts;
    for (const EvacuationReport &report : reports) {
        for (const ServiceUse &use : report.services) {
            EvacuationImpact &impact = impacts[use.service];
            impact.service = use.service;
            std::uint64_t servers = 0;
            std::uint64_t slots = 0;
            for (const DomainUse &part : use.domains) {
                impact.inFlight += part.inFlight;
                if (excluded.contains(part.domain))
                    continue;
                servers += part.servers;
                slots += part.slots;
            }
            impact.serversLeft = std::max(impact.serversLeft, servers);
            impact.slotsLeft = std::max(impact.slotsLeft, slots);
        }
    }
    std::vector<EvacuationImpact> result;
    for (auto &[service, impact] : impacts) {
        if (impact.serversLeft == 0)
            impact.verdict = EvacuationVerdict::NoServers;
        else if (impact.inFlight > impact.slotsLeft)
            impact.verdict = EvacuationVerdict::AboveCapacity;
        result.push_back(std::move(impact));
    }
    return result;
}

} // namespace bulrush

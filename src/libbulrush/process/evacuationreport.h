#pragma once

#include "process/clock.h"
#include "process/routingstate.h"
#include "process/serverdirectory.h"
#include "version/identifier.h"

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace bulrush {

/** The backend servers of a service in one failure domain, and their use. */
struct DomainUse
{
    DomainName domain;
    /** Servers that neither drain nor are gone, whether or not the domain is evacuated. */
    std::uint64_t servers = 0;
    std::uint64_t slots = 0;
    /** Keys owned in the domain, also by servers that drain; moving ones count where they were. */
    std::uint64_t keys = 0;
    /** Requests of one daemon that are in the domain, also at servers that drain. */
    std::uint64_t inFlight = 0;

    bool operator==(const DomainUse &) const = default;
};

/** The backend servers of a service by failure domain. */
struct ServiceUse
{
    ServiceName service;
    std::vector<DomainUse> domains;

    bool operator==(const ServiceUse &) const = default;
};

/** A failure domain that is evacuated, as one daemon knows it. */
struct EvacuatedDomain
{
    DomainName domain;
    /** Time since the daemon received the operators' request. */
    Duration age{};

    bool operator==(const EvacuatedDomain &) const = default;
};

/** What one daemon knows about evacuations and the servers that they concern. */
struct EvacuationReport
{
    HostName host;
    std::vector<EvacuatedDomain> evacuated;
    std::vector<ServiceUse> services;

    bool operator==(const EvacuationReport &) const = default;
};

/** \returns the number of this daemon's requests in flight at a server. */
using InFlightCount = std::function<std::uint64_t(const ServerName &)>;

/** \returns the servers in \a state by service and failure domain. */
std::vector<ServiceUse> serviceUse(const RoutingState &state, const InFlightCount &inFlight);

/** \returns the evacuations in \a directory. */
std::vector<EvacuatedDomain> evacuatedDomains(const ServerDirectory &directory, Instant now);

/** Whether the servers that remain in an evacuation can serve the requests of a service. */
enum class EvacuationVerdict {
    Fits,
    AboveCapacity, ///< more requests are in flight than the remaining servers have slots
    NoServers,     ///< no server remains
};

/** What the evacuation of a failure domain would mean for a service. */
struct EvacuationImpact
{
    ServiceName service;
    /** In domains that are neither evacuated nor to be evacuated. */
    std::uint64_t serversLeft = 0;
    std::uint64_t slotsLeft = 0;
    /** Requests of all daemons at servers of the service, in all domains. */
    std::uint64_t inFlight = 0;
    EvacuationVerdict verdict = EvacuationVerdict::Fits;

    bool operator==(const EvacuationImpact &) const = default;
};

/**
 * \returns what the evacuation of \a domain would mean for each service that has servers, according
 * to the \a reports of daemons. Servers count as the daemon that knows most of them reports.
 */
std::vector<EvacuationImpact> evacuationImpact(std::span<const EvacuationReport> reports,
                                               const DomainName &domain);

} // namespace bulrush

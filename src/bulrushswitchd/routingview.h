#pragma once

#include "process/daemonsettings.h"
#include "version/assignment.h"
#include "version/contract.h"
#include "version/slicemap.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** The data that is needed to relay requests to another daemon. */
struct PeerRoute
{
    HostName host;
    DomainName domain;
    std::string relayAddress;
};

/** The route of a request for a key. Pointers are valid as long as the view exists. */
struct KeyRoute
{
    DomainName domain;
    const BackendServer *server = nullptr;
    Incarnation manager;
    /** Version of the assignment that contains the route. */
    Fence assignmentVersion;
};

/**
 * A snapshot of the routing data of traffic threads: contracts, assignments, daemons and servers.
 * It is immutable once it is shared; the control thread replaces it by a new one.
 *
 * Any number of threads may read it concurrently.
 */
class RoutingView
{
public:
    explicit RoutingView(const std::vector<BackendServer> &servers);

    /** Replaces the assignment of the domain of \a assignment. \pre not yet shared. */
    void setAssignment(const Assignment &assignment);

    /** Replaces the contract of the organisation of \a contract. \pre not yet shared. */
    void setContract(std::shared_ptr<const Contract> contract);

    /** \pre not yet shared. */
    void setPeers(std::map<Incarnation, PeerRoute> peers);

    /** \returns the contract of \a organisation, or null. */
    std::shared_ptr<const Contract> contract(const OrganisationName &organisation) const;

    /** \returns the contract if there is exactly one, or else null. */
    std::shared_ptr<const Contract> onlyContract() const;

    /** \returns the route to the owner of \a hash of \a service, or nothing if it is unassigned. */
    std::optional<KeyRoute> routeOf(const ServiceName &service, KeyHash hash) const;

    /** \returns the servers of \a service, those of \a domain first. */
    std::vector<const BackendServer *> serversOf(const ServiceName &service,
                                                 const DomainName &domain) const;

    /** \returns the daemon that manages \a server; empty if no assignment names one. */
    Incarnation managerOf(const ServerName &server) const;

    /** \returns the daemon \a incarnation, or null if it is unknown. */
    const PeerRoute *peer(const Incarnation &incarnation) const;

    /** \returns the server \a name, or null. */
    const BackendServer *server(const ServerName &name) const;

    const std::map<OrganisationName, std::shared_ptr<const Contract>> &contracts() const;

    /** \returns the assignment of \a domain, or null. */
    std::shared_ptr<const Assignment> assignment(const DomainName &domain) const;

private:
    struct DomainRoutes
    {
        std::shared_ptr<const Assignment> assignment;
        SliceMap slices;
    };

    std::map<ServerName, BackendServer> m_servers;
    std::map<DomainName, std::shared_ptr<const DomainRoutes>> m_domains;
    std::map<ServerName, Incarnation> m_managers;
    std::map<OrganisationName, std::shared_ptr<const Contract>> m_contracts;
    std::map<Incarnation, PeerRoute> m_peers;
};

inline const std::map<OrganisationName, std::shared_ptr<const Contract>> &
RoutingView::contracts() const
{
    return m_contracts;
}

} // namespace bulrush

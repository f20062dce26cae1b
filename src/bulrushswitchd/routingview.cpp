#include "routingview.h"

#include <algorithm>
#include <utility>

namespace bulrush {

RoutingView::RoutingView(const std::vector<BackendServer> &servers)
{
    for (const BackendServer &server : servers)
        m_servers.emplace(server.name, server);
}

void RoutingView::setAssignment(const Assignment &assignment)
{
    auto routes = std::make_shared<DomainRoutes>();
    routes->assignment = std::make_shared<const Assignment>(assignment);
    routes->slices = SliceMap{assignment};
    for (const ManagedServer &managedServer : assignment.managedServers)
        m_managers[managedServer.server] = managedServer.manager;
    m_domains[assignment.domain] = std::move(routes);
}

void RoutingView::setContract(std::shared_ptr<const Contract> contract)
{
    const OrganisationName organisation = contract->organisation;
    m_contracts[organisation] = std::move(contract);
}

void RoutingView::setPeers(std::map<Incarnation, PeerRoute> peers)
{
    m_peers = std::move(peers);
}

std::shared_ptr<const Contract> RoutingView::contract(const OrganisationName &organisation) const
{
    const auto found = m_contracts.find(organisation);
    return found == m_contracts.end() ? nullptr : found->second;
}

std::shared_ptr<const Contract> RoutingView::onlyContract() const
{
    return m_contracts.size() == 1 ? m_contracts.begin()->second : nullptr;
}

std::optional<KeyRoute> RoutingView::routeOf(const ServiceName &service, KeyHash hash) const
{
    for (const auto &[domain, routes] : m_domains) {
        const auto route = routes->slices.find(service, hash);
        if (!route)
            continue;
        return KeyRoute{domain, server(*route->server), managerOf(*route->server),
                        routes->slices.version()};
    }
    return std::nullopt;
}

std::vector<const BackendServer *> RoutingView::serversOf(const ServiceName &service,
                                                          const DomainName &domain) const
{
    std::vector<const BackendServer *> result;
    for (const auto &[name, server] : m_servers) {
        if (server.service == service)
            result.push_back(&server);
    }
    std::stable_partition(result.begin(), result.end(),
                          [&](const BackendServer *server) { return server->domain == domain; });
    return result;
}

Incarnation RoutingView::managerOf(const ServerName &server) const
{
    const auto found = m_managers.find(server);
    return found == m_managers.end() ? Incarnation{} : found->second;
}

const PeerRoute *RoutingView::peer(const Incarnation &incarnation) const
{
    const auto found = m_peers.find(incarnation);
    return found == m_peers.end() ? nullptr : &found->second;
}

const BackendServer *RoutingView::server(const ServerName &name) const
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::shared_ptr<const Assignment> RoutingView::assignment(const DomainName &domain) const
{
    const auto found = m_domains.find(domain);
    return found == m_domains.end() ? nullptr : found->second->assignment;
}

} // namespace bulrush

#include "version/routetable.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace bulrush {

namespace {

std::string hostKey(std::string_view host)
{
    const std::size_t port = host.rfind(':');
    if (port != std::string_view::npos && host.find(']', port) == std::string_view::npos)
        host = host.substr(0, port);
    std::string key{host};
    std::ranges::transform(key, key.begin(), [](unsigned char c) { return std::tolower(c); });
    return key;
}

bool hasLongerPrefix(const Route *left, const Route *right)
{
    return left->prefix.size() > right->prefix.size();
}

} // namespace

RouteTable::RouteTable(RoutingConfig config)
    : m_config(std::move(config))
{
    for (const RoutedHost &host : m_config.hosts) {
        std::vector<const Route *> &routes = m_routes[hostKey(host.host)];
        for (const Route &route : host.routes) {
            routes.push_back(&route);
            for (const WeightedService &part : route.split) {
                if (part.weight > 0)
                    m_priorities[part.service].insert(route.priority);
            }
        }
        std::ranges::stable_sort(routes, hasLongerPrefix);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_routes.find(hostKey(host));
    if (routes == m_routes.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    const auto found = std::ranges::find_if(
        routes->second, [path](const Route *route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const RoutedService *RouteTable::service(const ServiceName &name) const
{
    const auto found = std::ranges::find(m_config.services, name, &RoutedService::name);
    return found == m_config.services.end() ? nullptr : &*found;
}

bool RouteTable::hasSeveralPriorities(const ServiceName &service) const
{
    const auto priorities = m_priorities.find(service);
    return priorities != m_priorities.end() && priorities->second.size() > 1;
}

const ServiceName &serviceOf(const Route &route, std::uint64_t hash)
{
    const auto addWeight = [](std::uint64_t sum, const WeightedService &part) {
        return sum + part.weight;
    };
    const std::uint64_t total =
        std::accumulate(route.split.begin(), route.split.end(), std::uint64_t{0}, addWeight);
    std::uint64_t place = total == 0 ? 0 : hash % total;
    for (const WeightedService &part : route.split) {
        if (place < part.weight)
            return part.service;
        place -= part.weight;
    }
    return route.split.front().service;
}

} // namespace bulrush

#pragma once

#include "version/routingconfig.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/**
 * Finds the route of a request by its host and then by the longest matching path prefix.
 *
 * Immutable; thread safe.
 */
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(RoutingConfig config);

    /**
     * \returns the route of a request with the Host field \a host and the \a target (path and
     * query), or null if no route matches. Valid during the lifetime of this table.
     */
    const Route *find(std::string_view host, std::string_view target) const;

    /** \returns the service \a name, or null. Valid during the lifetime of this table. */
    const RoutedService *service(const ServiceName &name) const;

    /** \returns whether routes of different priorities lead to \a service. */
    bool hasSeveralPriorities(const ServiceName &service) const;

    const RoutingConfig &config() const;

private:
    RoutingConfig m_config;
    /** Routes by lower-case host, longest prefix first. */
    std::map<std::string, std::vector<const Route *>, std::less<>> m_routes;
    /** Of the routes that lead to each service. */
    std::map<ServiceName, std::set<std::uint32_t>> m_priorities;
};

inline const RoutingConfig &RouteTable::config() const
{
    return m_config;
}

/**
 * \returns the service in the traffic split of \a route that receives a request with \a hash.
 * Uniformly distributed hashes are divided in proportion to the weights.
 * \pre at least one service in the split has a weight above 0
 */
const ServiceName &serviceOf(const Route &route, std::uint64_t hash);

} // namespace bulrush

#pragma once

#include "process/serverdirectory.h"
#include "version/keyassignment.h"
#include "version/routetable.h"

#include <map>
#include <memory>
#include <vector>

namespace bulrush {

/**
 * All that requests are routed by, as of one moment. Made by the control thread, never changed,
 * read by those that carry traffic.
 */
struct RoutingState
{
    /** Null until a configuration is known. */
    std::shared_ptr<const RouteTable> routes;
    /** When the control thread took them on. */
    Instant routesTakenAt;
    /** Until then the store is known to have held no routes later than those before. */
    Instant routesUnchangedUntil;
    /** The servers that are not gone, by service. */
    std::map<ServiceName, std::vector<KnownServer>> servers;
    /** Of the services that are divided by key. */
    std::map<ServiceName, std::shared_ptr<const KeyAssignment>> assignments;
    /** Daemons that share what is allowed to all of them, this one included; 0: not known yet. */
    std::size_t daemonCount = 0;

    /** \returns the servers of \a service. Valid as long as this object. */
    const std::vector<KnownServer> &serversOf(const ServiceName &service) const;

    /** \returns the server \a id of \a service, or null. Valid as long as this object. */
    const KnownServer *server(const ServiceName &service, const ServerName &id) const;
};

} // namespace bulrush

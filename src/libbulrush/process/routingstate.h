#pragma once

#include "process/relaydaemon.h"
#include "process/serverdirectory.h"
#include "version/keyassignment.h"
#include "version/routetable.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bulrush {

/**
 * Immutable snapshot of all data by which requests are routed. Created by the control thread and
 * read by the threads that carry traffic.
 */
struct RoutingState
{
    /** Null until a configuration has been received. */
    std::shared_ptr<const RouteTable> routes;
    /** When the control thread applied the routes. */
    Instant routesAppliedAt;
    /** The last instant at which the store was confirmed to hold the previous routes. */
    Instant routesUnchangedUntil;
    /** The servers that are not removed, by service. */
    std::map<ServiceName, std::vector<KnownServer>> servers;
    /** Assignments of the services that are divided by key. */
    std::map<ServiceName, std::shared_ptr<const KeyAssignment>> assignments;
    /** Number of daemons that share common limits, including this one; 0: not known yet. */
    std::size_t daemonCount = 0;
    /** The other daemons that relay requests. */
    std::vector<RelayDaemon> relays;
    /** The rank of this daemon for each server in slow start, see SlowStart::rankOf(). */
    std::map<ServerName, std::size_t> slowStartRanks;

    /** \returns the servers of \a service. Valid for the lifetime of this object. */
    const std::vector<KnownServer> &serversOf(const ServiceName &service) const;

    /** \returns the server \a id of \a service, or null. Valid for the lifetime of this object. */
    const KnownServer *server(const ServiceName &service, const ServerName &id) const;

    /** \returns the rank of this daemon for \a server, if it has one. */
    std::optional<std::size_t> slowStartRank(const ServerName &server) const;
};

} // namespace bulrush

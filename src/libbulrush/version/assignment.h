#pragma once

#include "version/fence.h"
#include "version/identifier.h"
#include "version/slice.h"

#include <vector>

namespace bulrush {

/** Slice of a service and the backend server that owns it. */
struct SliceOwner
{
    ServiceName service;
    SliceRange range;
    ServerName server;
    /** Fencing token of the grant that the server has, or is to receive, for this slice. */
    Fence fence;

    bool operator==(const SliceOwner &) const = default;
};

/** Daemon that manages the connections of a backend server and counts its work in flight. */
struct ManagedServer
{
    ServerName server;
    Incarnation manager;

    bool operator==(const ManagedServer &) const = default;
};

/**
 * Decisions of the leader of a failure domain: the owner of each slice, and the daemon that manages
 * the connections of each backend server. A higher version replaces a lower one completely; a
 * router never returns to a lower version.
 */
struct Assignment
{
    DomainName domain;
    /** Epoch of the domain leader and the number of changes that it has made. */
    Fence version;
    /** Sorted by service, then by range. The ranges of a service do not overlap. */
    std::vector<SliceOwner> slices;
    /** Sorted by server. */
    std::vector<ManagedServer> managedServers;

    bool operator==(const Assignment &) const = default;
};

} // namespace bulrush

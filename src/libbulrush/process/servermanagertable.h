#pragma once

#include "version/assignment.h"

#include <set>
#include <span>
#include <vector>

namespace bulrush {

/**
 * Assigns the server manager of each backend server in a failure domain to a daemon: evenly, with
 * as few changes as possible. Handover decides when a change takes effect.
 *
 * Not thread safe.
 */
class ServerManagerTable
{
public:
    /** Starts with the assignments in force, sorted by server. */
    explicit ServerManagerTable(std::vector<ManagedServer> managedServers = {});

    /**
     * Adapts the table to the servers that need a server manager and the daemons that can be one;
     * \a daemons excludes those that are leaving or lost. A server keeps its daemon unless the
     * daemon is not in \a daemons or manages at least two servers more than the least busy one.
     * Without any daemon, the table is not changed.
     */
    void fit(const std::set<ServerName> &servers, const std::set<Incarnation> &daemons);

    /** \returns the assignments of server managers, sorted by server. */
    std::span<const ManagedServer> managedServers() const;

private:
    std::vector<ManagedServer> m_managedServers;
};

inline std::span<const ManagedServer> ServerManagerTable::managedServers() const
{
    return m_managedServers;
}

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "version/assignment.h"

#include <optional>
#include <set>
#include <span>

namespace bulrush {

/**
 * Determines the assignment from which a new leader starts: the highest one among the platform's
 * row, the daemons' views and the servers' own grants.
 *
 * Not thread safe.
 */
class AssignmentRecovery
{
public:
    /**
     * \a published is the assignment that the platform's row names, or an empty one. From
     * \a mayGrantFrom on, no lease of an earlier leader is in force and none of its work runs.
     * Missing answers are no longer waited for after \a askUntil, or after \a mayGrantFrom if that
     * is later.
     */
    AssignmentRecovery(Assignment published, Instant mayGrantFrom, Instant askUntil);

    /** Sets the daemons and servers whose answers are awaited. */
    void setAsked(std::set<Incarnation> daemons, std::set<ServerName> servers);

    /** Records the assignment that a daemon uses for routing. */
    void addView(const Incarnation &daemon, const Assignment &view);

    /** Records the grants that a server holds. */
    void addGrants(const ServerName &server, std::span<const SliceOwner> grants);

    /**
     * \returns the assignment to start from, once no work of an earlier leader can run and all
     * answers have arrived or timed out. A grant with a higher fence than the highest assignment
     * belongs to an assignment that no answering daemon has; it overrides the piece that it covers.
     */
    std::optional<Assignment> result(Instant now) const;

    /** \returns the highest known fence. A new epoch must be above the epoch of this fence. */
    Fence highest() const;

private:
    Assignment m_highest;
    std::vector<SliceOwner> m_grants;
    Fence m_highestFence;
    Instant m_mayGrantFrom;
    Instant m_askUntil;
    std::set<Incarnation> m_pendingDaemons;
    std::set<ServerName> m_pendingServers;
};

inline Fence AssignmentRecovery::highest() const
{
    return m_highestFence;
}

} // namespace bulrush

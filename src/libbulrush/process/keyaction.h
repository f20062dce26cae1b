#pragma once

#include "process/endpoint.h"
#include "process/knownassignments.h"
#include "process/plannerlease.h"
#include "process/renewerregistry.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bulrush {

/** Write the row of the planner's lease. */
struct WritePlannerRow
{
    PlannerRowWrite write;
};

/** Write an assignment if its row and the planner's row still have these versions. */
struct CommitKeyAssignment
{
    KeyAssignment next;
    /** Number of the version of the assignment's row; 0: no such row exists. */
    std::uint64_t expectedVersion = 0;
    std::uint64_t plannerVersion = 0;
};

/** Grant a range to its owner, or renew the grant. */
struct SendGrant
{
    ServiceName service;
    OwnedRange owned;
    Endpoint address;
};

/** Request the release of a range by its previous owner, under the fencing token of the new one. */
struct SendRelease
{
    ServiceName service;
    OwnedRange owned;
    /** Address of the previous owner. */
    Endpoint address;
};

/** Query a daemon about its last grants to \a servers. */
struct QueryRenewer
{
    Renewer renewer;
    ServiceName service;
    std::vector<ServerName> servers;
    /**
     * Its last answer was based on an earlier assignment, so the query includes the current one.
     */
    bool isBehind = false;
};

/** Ask a daemon for the assignments that it remembers, as the store was restored. */
struct QueryAssignments
{
    Renewer renewer;
    /** The sequences of the assignments known here; only later ones are needed. */
    AssignmentSequences known;
};

/** Write this daemon's own row if it has the expected version; without \a row, remove it. */
struct WriteDaemonRow
{
    std::uint64_t expectedVersion = 0;
    std::optional<DaemonRow> row;
};

/** Identifies one version of a daemon's row. */
struct DaemonRowVersion
{
    HostName host;
    std::uint64_t version = 0;
};

/**
 * Remove the rows of lost daemons, all or none, if these rows and the planner's row still have
 * these versions.
 */
struct RemoveDaemonRows
{
    std::vector<DaemonRowVersion> rows;
    std::uint64_t plannerVersion = 0;
};

/** An action of a daemon in the assignment of keys. */
using KeyAction = std::variant<WritePlannerRow, CommitKeyAssignment, SendGrant, SendRelease,
                               QueryRenewer, QueryAssignments, WriteDaemonRow, RemoveDaemonRows>;

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "version/fence.h"
#include "version/identifier.h"
#include "version/servicekeyrange.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace bulrush {

/** Sequence number of a lease request of one incarnation, starting at 1. */
using LeaseRequestId = std::uint64_t;
/** Unique id of a stop order: the leader's epoch and a sequence number. */
using StopId = Fence;

/**
 * Permission for a daemon to send work of a piece to a server during its lease.
 */
struct SliceRight
{
    ServiceKeyRange piece;
    ServerName server;
    /** Fencing token of the server's grant, sent along with the work. */
    Fence fence;

    bool operator==(const SliceRight &) const = default;
};

/**
 * Order to a daemon to stop sending work of a piece to a server and to report its completion.
 */
struct StopOrder
{
    StopId stop;
    ServiceKeyRange piece;
    ServerName server;

    bool operator==(const StopOrder &) const = default;
};

/**
 * A daemon's confirmation that it has stopped. All durations count from before the request was
 * sent.
 */
struct StopReport
{
    StopId stop;
    /** Whether all work in flight for the piece was answered or must have ended. */
    bool idle = false;
    /** Time until the latest deadline of the piece's work in flight; not negative. */
    Duration latestDeadline{0};

    bool operator==(const StopReport &) const = default;
};

/**
 * A daemon's request for its routing lease.
 */
struct LeaseRequest
{
    Incarnation incarnation;
    LeaseRequestId requestId = 0;
    /** Version of the assignment that the daemon uses for routing. */
    Fence knownVersion;
    /** Version of the rights that the daemon holds. */
    Fence heldRights;
    std::vector<StopReport> stopReports;
    /** Servers managed by the daemon that it considers lost. */
    std::vector<ServerName> lostServers;
};

/** The rights that the daemon named in its request are still valid. */
struct RightsUnchanged
{
    bool operator==(const RightsUnchanged &) const = default;
};

/** The complete rights and stop orders of the daemon; replaces those it held. */
struct RightsReplaced
{
    std::vector<SliceRight> rights;
    std::vector<StopOrder> stops;

    bool operator==(const RightsReplaced &) const = default;
};

/**
 * The leader's answer to a lease request.
 */
struct LeaseReply
{
    LeaseRequestId requestId = 0;
    /** Length of the lease, counted from before the request was sent. */
    Duration length{0};
    /** Version of the assignment in force. */
    Fence assignmentVersion;
    /** Version of the rights below; incremented with each change. */
    Fence rightsVersion;
    std::variant<RightsUnchanged, RightsReplaced> rights;
};

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "process/ownershipmap.h"
#include "version/assignment.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace bulrush {

/** Identifies an order to a server or a platform write; unique within one leadership term. */
using OrderId = std::uint64_t;

/** Sets the wanted owners and server managers; its version and fences are ignored. */
struct WantedAssignmentChanged
{
    Assignment wanted;
};

/** The server's manager, or the leader itself, considers the server lost. */
struct ServerLost
{
    ServerName server;
};

/** A server that was considered lost answers again. */
struct ServerRecovered
{
    ServerName server;
};

/**
 * A server is being vacated permanently: its moves wait for in-flight work without a time limit.
 */
struct ServerLeaving
{
    ServerName server;
};

/** A daemon has not pulled its lease for too long. */
struct ServerManagerLost
{
    Incarnation manager;
};

/** A daemon that was considered lost has pulled its lease again. */
struct ServerManagerRecovered
{
    Incarnation manager;
};

/** A server has confirmed an order. */
struct OrderConfirmed
{
    OrderId order = 0;
    /** Number of requests for the order's pieces that were still running when it answered. */
    std::uint32_t running = 0;
};

/** A server has refused a grant because it has seen a higher fence. */
struct GrantRefused
{
    OrderId order = 0;
    Fence highest;
};

enum class CommitOutcome {
    Committed,
    /** The row was not at the expected version. */
    Conflict,
    /** The leader row belongs to another leader: this leadership term is over. */
    Refused,
    /** The answer was lost: the write may or may not have taken effect, or may still do so. */
    Unknown,
};

/** The platform has answered a commit, or no answer is expected any more. */
struct CommitCompleted
{
    OrderId commit = 0;
    CommitOutcome outcome = CommitOutcome::Unknown;
};

/** Result of a read of the published assignment's row. */
struct PublishedVersionRead
{
    Fence published;
};

/**
 * A platform outage has begun or ended: the leadership term is extended by the candidates' promises
 * or, after the outage, by the platform's row again.
 */
struct PlatformOutageChanged
{
    bool isOut = false;
};

/** The leadership term lasts until this instant. */
struct LeadershipExtended
{
    Instant until;
};

/** Periodic timer event. */
struct HandoverTick
{ };

using HandoverEvent =
    std::variant<WantedAssignmentChanged, ServerLost, ServerRecovered, ServerLeaving,
                 ServerManagerLost, ServerManagerRecovered, OrderConfirmed, GrantRefused,
                 CommitCompleted, PublishedVersionRead, PlatformOutageChanged, LeadershipExtended,
                 HandoverTick>;

enum class ServerOrderKind {
    /** Load the state of the pieces if the server supports it; it does not own them yet. */
    Prepare,
    /** Refuse work of the pieces with their fences or lower. */
    Revoke,
    /** Become the owner of the pieces with their fences. */
    Grant,
};

/**
 * Order to a server, sent through the daemon that manages its connections. It may be repeated with
 * the same id.
 */
struct ServerOrder
{
    OrderId order = 0;
    ServerOrderKind kind = ServerOrderKind::Prepare;
    ServerName server;
    Incarnation through;
    std::vector<SliceOwner> slices;

    bool operator==(const ServerOrder &) const = default;
};

/**
 * Store \a next as an object and publish it, provided that the row is at \a expected and the leader
 * row still belongs to this leader.
 */
struct CommitAssignment
{
    OrderId commit = 0;
    Fence expected;
    Assignment next;
};

/** Read the row of the published assignment. */
struct ReadPublishedVersion
{ };

/** Distribute this assignment to the routers. */
struct AssignmentInForce
{
    Assignment assignment;
    /** Whether the assignment has not been published to the platform yet. */
    bool isUnpublished = false;
};

/** Prompt a daemon to pull its lease now; otherwise it does so at its next interval. */
struct PromptLeasePull
{
    Incarnation daemon;
};

/** The leader row belongs to another leader; no further actions follow. */
struct LeadershipSuperseded
{ };

using HandoverAction = std::variant<ServerOrder, CommitAssignment, ReadPublishedVersion,
                                    AssignmentInForce, PromptLeasePull, LeadershipSuperseded>;

} // namespace bulrush

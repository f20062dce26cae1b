#pragma once

#include "process/handovermessages.h"
#include "process/pendingserverorders.h"
#include "process/routingleasetable.h"

#include <map>
#include <optional>
#include <set>

namespace bulrush {

/**
 * Time limits and intervals of moves.
 */
struct HandoverLimits
{
    /** Time for the new owner to warm up; afterwards the move continues without warm-up. */
    Duration warmupTimeout = std::chrono::seconds{2};
    /**
     * Time that a planned move blocks a piece while its work in flight finishes, before the move is
     * deferred.
     */
    Duration stopTimeout = std::chrono::milliseconds{300};
    /** Time for which a deferred move is not retried. */
    Duration deferralPeriod = std::chrono::seconds{10};
    /** Time after which an order or a read without an answer is repeated. */
    Duration retryDelay = std::chrono::milliseconds{200};
    /** Maximum time to wait for an idle server to confirm a revoke. */
    Duration revokeTimeout = std::chrono::seconds{1};
    /** Minimum time between the starts of two commits. */
    Duration commitInterval = std::chrono::milliseconds{20};
    /** Minimum time from a commit to one that only changes the slice boundaries. */
    Duration layoutInterval = std::chrono::seconds{2};
    /** Minimum time between two checks for changes that had to wait. */
    Duration planInterval = std::chrono::milliseconds{5};
    /** Maximum number of concurrent planned moves between servers. */
    std::size_t maxPlannedMoves = 64;
};

/**
 * The leader's side of moving slices between servers and server managers. Changes the assignment in
 * force step by step towards the wanted one. Orders only grants that are covered by the platform's
 * row or, in an outage, by the domain's delegated right.
 *
 * Not thread safe. Instants are those of the leader's clock and must not decrease between calls.
 */
class Handover
{
public:
    /**
     * \a inForce is the assignment to start from; its slices are granted again with fencing tokens
     * of \a epoch. \a published is the version in the platform's row.
     * \pre All leases of earlier leaders have ended and no work sent under them still runs.
     */
    Handover(HandoverLimits terms, std::uint64_t epoch, const Assignment &inForce, Fence published,
             RoutingLeaseTable &leases);

    /** Sets the servers that check the fencing token of each request against their grants. */
    void setCheckingServers(std::set<ServerName> servers);

    /** Handles an event. \returns the actions to perform now, in this order. */
    std::vector<HandoverAction> handle(const HandoverEvent &event, Instant now);

    /** \returns the version of the assignment in force. */
    Fence version() const;

    /** \returns the assignment in force. */
    Assignment assignment() const;

    /** \returns the number of moves in progress. */
    std::size_t moveCount() const;

    /** \returns whether the assignment in force has not been published to the platform. */
    bool isUnpublished() const;

private:
    enum class Phase {
        /** The new server loads; the old one continues to serve. */
        Warming,
        /** The old server manager has been ordered to stop sending. */
        Stopping,
        /** The old server has been ordered to refuse work. */
        Revoking,
        /** No work runs; the commit may name the new owner. */
        Ready,
        /** The result of the commit is not settled. */
        Committing,
        /** In force; the new server has not confirmed its grant yet. */
        Granting,
        /** In force; the new server manager holds the routing right. */
        Done,
    };

    struct Move
    {
        PieceChange change;
        Phase phase = Phase::Warming;
        /** Start of the phase. */
        Instant since;
        /** The order whose confirmation the phase awaits. */
        OrderId order = 0;
        /** Whether the old server has confirmed that it refuses work and that none runs. */
        bool isRevoked = false;
        /** Whether the old server may have received a revoke. */
        bool isRevokeSent = false;
        /** When the old server is released, computed at the event and change counts below. */
        Instant releaseAt;
        std::uint64_t computedAtEvent = 0;
        std::uint64_t computedAtChange = 0;
        /** Fence of the new grant, once the move is in force. */
        Fence fence;
    };

    struct PendingCommit
    {
        OrderId id = 0;
        Assignment next;
        /** Whether the published row must be read to settle the result. */
        bool isUnsettled = false;
    };

    void handleEvent(const WantedAssignmentChanged &event);
    void handleEvent(const ServerLost &event);
    void handleEvent(const ServerRecovered &event);
    void handleEvent(const ServerLeaving &event);
    void handleEvent(const ServerManagerLost &event);
    void handleEvent(const ServerManagerRecovered &event);
    void handleEvent(const OrderConfirmed &event);
    void handleEvent(const GrantRefused &event);
    void handleEvent(const CommitCompleted &event);
    void handleEvent(const PublishedVersionRead &event);
    void handleEvent(const PlatformOutageChanged &event);
    void handleEvent(const LeadershipExtended &event);
    void handleEvent(const HandoverTick &event);

    void advance();
    void updateMoves();
    void abortForOutage();
    void startMoves();
    bool isDeferred(PieceChange &change) const;
    bool preferOwner(PieceChange &change) const;
    bool mayStart(const PieceChange &change, std::size_t plannedCount) const;
    void startMove(const PieceChange &change);
    void retarget(Move &move);
    void returnToOwner(Move &move);
    void dropMove(Move &move);
    void step(Move &move);
    void forgetGrant(Move &move);
    void stepStopping(Move &move);
    void deferMove(Move &move);
    void stepRevoking(Move &move);
    void enter(Move &move, Phase phase);
    void stopSending(Move &move);
    void orderRevoke(Move &move);
    bool isReleased(Move &move) const;
    Instant releaseInstant(const Move &move) const;
    bool isPlanned(const Move &move) const;
    bool isAfterLoss(const Move &move) const;
    bool isAllowedDuringOutage(const Move &move) const;
    bool isTargetLost(const Move &move) const;
    void removeDoneMoves();

    void publish();
    void publishDuringOutage();
    void startCommit();
    void sendCommit();
    void settleCommitted();
    void abandonCommit();
    Assignment nextAssignment();
    std::vector<ManagedServer> nextManagedServers(const OwnershipMap &next) const;
    bool hasNewManagedServer() const;
    bool hasNewLayout() const;
    void compareLayouts();
    void putInForce(Phase phase, const Assignment &assignment);
    void readPublished();
    bool hasReadyMove() const;

    void closeFinishedOrders();
    /** \returns the indices in m_moves of the moves that \a order belongs to. */
    std::vector<std::size_t> movesOf(OrderId order);
    void confirm(Move &move, ServerOrderKind kind);
    void endLeadership();

    HandoverLimits m_terms;
    RoutingLeaseTable &m_leases;
    Fence m_version;
    std::uint64_t m_epoch;
    std::uint64_t m_lastSequence = 0;
    DomainName m_domain;
    Fence m_published;
    OwnershipMap m_inForce;
    OwnershipMap m_wanted;
    /** Slice boundaries in force and wanted. They may divide pieces of the same owner and fence. */
    std::vector<ServiceKeyRange> m_layout;
    std::vector<ServiceKeyRange> m_wantedLayout;
    bool m_layoutsDiffer = false;
    std::vector<ManagedServer> m_managedServers;
    std::vector<ManagedServer> m_wantedManagedServers;
    std::vector<Move> m_moves;
    /** Indices in m_moves; invalid after each pass over the moves. */
    std::map<OrderId, std::vector<std::size_t>> m_movesByOrder;
    bool m_isIndexStale = true;
    PendingServerOrders m_orders;
    OrderId m_lastCommitId = 0;
    std::optional<PendingCommit> m_pendingCommit;
    std::set<ServerName> m_checkingServers;
    std::set<ServerName> m_lostServers;
    std::set<ServerName> m_leavingServers;
    std::set<Incarnation> m_lostManagers;
    std::map<ServiceKeyRange, Instant> m_deferred;
    bool m_isPlatformOut = false;
    bool m_isUnpublished = false;
    bool m_isLeadershipOver = false;
    bool m_needsPlan = true;
    /** Whether the last planning pass left changes for later. */
    bool m_hasSkippedChanges = false;
    Instant m_planAt;
    bool m_needsUpdate = true;
    bool m_managedServersDiffer = false;
    /** Whether the row's version is unknown and must be read before a commit. */
    bool m_mustReadPublished = false;
    Instant m_nextReadAt;
    Instant m_commitAt;
    Instant m_leadershipUntil;
    /** Number of events that may change when a server is released. */
    std::uint64_t m_eventCount = 1;
    Instant m_now;
    std::set<Incarnation> m_daemonsToPrompt;
    std::vector<HandoverAction> m_actions;
};

inline Fence Handover::version() const
{
    return m_version;
}

inline std::size_t Handover::moveCount() const
{
    return m_moves.size();
}

inline bool Handover::isUnpublished() const
{
    return m_isUnpublished;
}

} // namespace bulrush

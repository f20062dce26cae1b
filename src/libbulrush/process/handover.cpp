#include "process/handover.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

bool isSameServer(const PieceChange &change)
{
    return change.from == change.to;
}

SliceOwner sliceOf(const PieceChange &change, const ServerName &server, Fence fence)
{
    return {change.piece.service, change.piece.range, server, fence};
}

std::vector<ServiceKeyRange> layoutOf(std::span<const SliceOwner> slices)
{
    std::vector<ServiceKeyRange> layout;
    layout.reserve(slices.size());
    for (const SliceOwner &slice : slices)
        layout.push_back({slice.service, slice.range});
    std::sort(layout.begin(), layout.end());
    return layout;
}

/** \returns the layout of \a slices, plus \a others for services without slices. */
std::vector<ServiceKeyRange> layoutOf(std::span<const SliceOwner> slices,
                                      std::span<const ServiceKeyRange> others)
{
    std::vector<ServiceKeyRange> layout = layoutOf(slices);
    std::set<ServiceName> services;
    for (const ServiceKeyRange &piece : layout)
        services.insert(piece.service);
    for (const ServiceKeyRange &piece : others) {
        if (!services.contains(piece.service))
            layout.push_back(piece);
    }
    std::sort(layout.begin(), layout.end());
    return layout;
}

bool overlapsAny(std::span<const ServiceKeyRange> sorted, const ServiceKeyRange &piece)
{
    const auto isBefore = [&piece](const ServiceKeyRange &entry) {
        const int order = entry.service.value().compare(piece.service.value());
        return order < 0 || (order == 0 && entry.range.end < piece.range.begin);
    };
    const auto found = std::partition_point(sorted.begin(), sorted.end(), isBefore);
    return found != sorted.end() && overlaps(*found, piece);
}

} // namespace

Handover::Handover(HandoverLimits terms, std::uint64_t epoch, const Assignment &inForce,
                   Fence published, RoutingLeaseTable &leases)
    : m_terms(terms)
    , m_leases(leases)
    , m_version(inForce.version)
    , m_epoch(epoch)
    , m_domain(inForce.domain)
    , m_published(published)
    , m_inForce(inForce)
    , m_wanted(inForce)
    , m_layout(layoutOf(inForce.slices))
    , m_wantedLayout(m_layout)
    , m_managedServers(inForce.managedServers)
    , m_wantedManagedServers(inForce.managedServers)
    , m_orders(terms.retryDelay)
    , m_isUnpublished(inForce.version != published)
{ }

void Handover::setCheckingServers(std::set<ServerName> servers)
{
    m_checkingServers = std::move(servers);
}

std::vector<HandoverAction> Handover::handle(const HandoverEvent &event, Instant now)
{
    m_now = now;
    if (m_isLeadershipOver)
        return {};

    m_needsUpdate = true;
    if (!std::holds_alternative<HandoverTick>(event)
        && !std::holds_alternative<LeadershipExtended>(event))
        ++m_eventCount;
    std::visit([this](const auto &details) { handleEvent(details); }, event);
    if (!m_isLeadershipOver && m_now < m_leadershipUntil)
        advance();
    return std::exchange(m_actions, {});
}

Assignment Handover::assignment() const
{
    return {m_domain, m_version, m_inForce.slices(m_layout), m_managedServers};
}

void Handover::handleEvent(const WantedAssignmentChanged &event)
{
    m_wanted = OwnershipMap(event.wanted);
    m_wantedManagedServers = event.wanted.managedServers;
    m_managedServersDiffer = m_wantedManagedServers != m_managedServers;
    m_wantedLayout = layoutOf(event.wanted.slices, m_layout);
    compareLayouts();
    m_needsPlan = true;
    for (Move &move : m_moves)
        retarget(move);
}

void Handover::handleEvent(const ServerLost &event)
{
    m_deferred.clear();
    m_needsPlan = m_lostServers.insert(event.server).second || m_needsPlan;
}

void Handover::handleEvent(const ServerRecovered &event)
{
    m_needsPlan = m_lostServers.erase(event.server) > 0 || m_needsPlan;
}

void Handover::handleEvent(const ServerLeaving &event)
{
    m_leavingServers.insert(event.server);
    m_deferred.clear();
    m_needsPlan = true;
}

void Handover::handleEvent(const ServerManagerLost &event)
{
    m_deferred.clear();
    m_needsPlan = m_lostManagers.insert(event.manager).second || m_needsPlan;
}

void Handover::handleEvent(const ServerManagerRecovered &event)
{
    m_needsPlan = m_lostManagers.erase(event.manager) > 0 || m_needsPlan;
}

void Handover::handleEvent(const OrderConfirmed &event)
{
    const ServerOrder *order = m_orders.find(event.order);
    if (!order || (order->kind == ServerOrderKind::Revoke && event.running > 0))
        return;

    const ServerOrderKind kind = order->kind;
    m_orders.close(event.order);
    for (const std::size_t index : movesOf(event.order))
        confirm(m_moves[index], kind);
    m_needsUpdate = kind != ServerOrderKind::Grant;
}

void Handover::handleEvent(const GrantRefused &event)
{
    if (event.highest.epoch > m_epoch) {
        endLeadership();
        return;
    }
    // No server should hold a higher fence of this epoch. If one does, later fences must exceed it.
    m_lastSequence = std::max(m_lastSequence, event.highest.sequence);
    m_orders.close(event.order);
    for (Move &move : m_moves) {
        if (move.order == event.order && move.phase == Phase::Granting)
            enter(move, Phase::Ready);
    }
}

void Handover::handleEvent(const CommitCompleted &event)
{
    if (!m_pendingCommit || m_pendingCommit->id != event.commit)
        return;

    switch (event.outcome) {
    case CommitOutcome::Committed:
        settleCommitted();
        return;
    case CommitOutcome::Refused:
        endLeadership();
        return;
    case CommitOutcome::Conflict:
    case CommitOutcome::Unknown:
        m_pendingCommit->isUnsettled = true;
        m_mustReadPublished = true;
        m_nextReadAt = m_now;
        return;
    }
}

void Handover::handleEvent(const PublishedVersionRead &event)
{
    if (event.published.epoch > m_epoch) {
        endLeadership();
        return;
    }
    if (!m_mustReadPublished)
        return;

    m_mustReadPublished = false;
    m_published = event.published;
    if (!m_pendingCommit || !m_pendingCommit->isUnsettled)
        return;
    if (event.published == m_pendingCommit->next.version) {
        settleCommitted();
        return;
    }
    // The write may still be in flight. Sending the same write again settles whether it was
    // applied.
    sendCommit();
}

void Handover::handleEvent(const PlatformOutageChanged &event)
{
    if (m_isPlatformOut && !event.isOut) {
        m_mustReadPublished = true;
        m_nextReadAt = m_now;
    }
    m_isPlatformOut = event.isOut;
    m_needsPlan = true;
}

void Handover::handleEvent(const LeadershipExtended &event)
{
    m_leadershipUntil = std::max(m_leadershipUntil, event.until);
}

void Handover::handleEvent(const HandoverTick &)
{ }

void Handover::advance()
{
    // A confirmed grant only completes moves, which the next pass removes.
    if (m_needsUpdate)
        updateMoves();
    for (ServerOrder &order : m_orders.takeDue(m_now))
        m_actions.emplace_back(std::move(order));
    for (const Incarnation &daemon : std::exchange(m_daemonsToPrompt, {}))
        m_actions.emplace_back(PromptLeasePull{daemon});
}

void Handover::updateMoves()
{
    m_leases.expire(m_now);
    removeDoneMoves();
    if (m_isPlatformOut)
        abortForOutage();
    startMoves();
    for (Move &move : m_moves)
        step(move);
    removeDoneMoves();
    publish();
    if (!m_orders.isEmpty())
        closeFinishedOrders();
    m_isIndexStale = true;
}

void Handover::abortForOutage()
{
    if (m_pendingCommit)
        abandonCommit();
    for (Move &move : m_moves) {
        if (!isAllowedDuringOutage(move))
            returnToOwner(move);
    }
    removeDoneMoves();
}

void Handover::startMoves()
{
    const std::size_t deferredBefore = m_deferred.size();
    std::erase_if(m_deferred, [this](const auto &entry) { return entry.second <= m_now; });
    const bool isDue = m_hasSkippedChanges && m_planAt <= m_now;
    if (!m_needsPlan && !isDue && m_deferred.size() == deferredBefore)
        return;

    m_needsPlan = false;
    m_hasSkippedChanges = false;
    m_planAt = m_now + m_terms.planInterval;
    std::vector<ServiceKeyRange> busy;
    for (const Move &move : m_moves)
        busy.push_back(move.change.piece);
    std::sort(busy.begin(), busy.end());
    auto planned = static_cast<std::size_t>(std::count_if(
        m_moves.begin(), m_moves.end(), [this](const Move &move) { return isPlanned(move); }));
    for (PieceChange &change : m_inForce.changesTo(m_wanted, m_epoch)) {
        m_hasSkippedChanges = preferOwner(change) || m_hasSkippedChanges;
        const bool mustWait = overlapsAny(busy, change.piece) || isDeferred(change);
        if (mustWait || !mayStart(change, planned)) {
            m_hasSkippedChanges = true;
            continue;
        }
        startMove(change);
        planned += isPlanned(m_moves.back()) ? 1 : 0;
    }
}

bool Handover::isDeferred(PieceChange &change) const
{
    // A piece for which no daemon may send work is granted immediately, even if moves were
    // deferred.
    if (isSameServer(change) || change.fromManager.isEmpty())
        return false;

    const bool isMoveDeferred =
        std::any_of(m_deferred.begin(), m_deferred.end(),
                    [&](const auto &entry) { return overlaps(entry.first, change.piece); });
    const Incarnation manager = findManager(m_wantedManagedServers, change.from);
    if (!isMoveDeferred || manager.isEmpty() || manager == change.fromManager)
        return isMoveDeferred;

    // Routers use one server manager per server, so the piece follows the server's other pieces to
    // the new one.
    change.to = change.from;
    change.toManager = manager;
    return false;
}

bool Handover::preferOwner(PieceChange &change) const
{
    const bool hasSender = change.fromFence.epoch >= m_epoch && !change.fromManager.isEmpty();
    if (hasSender || change.from.isEmpty() || m_lostServers.contains(change.from))
        return false;

    // No daemon may send work of the piece. Let its owner serve it first; it can be moved with a
    // warm-up later.
    const Incarnation manager = findManager(m_wantedManagedServers, change.from);
    if (manager.isEmpty() || m_lostManagers.contains(manager))
        return false;
    const bool isOwnerChanged = change.to != change.from;
    change.to = change.from;
    change.toManager = manager;
    return isOwnerChanged;
}

bool Handover::mayStart(const PieceChange &change, std::size_t plannedCount) const
{
    Move move;
    move.change = change;
    if (change.to.isEmpty() || change.toManager.isEmpty() || isTargetLost(move))
        return false;

    if (m_isPlatformOut && !isAllowedDuringOutage(move))
        return false;

    return !isPlanned(move) || plannedCount < m_terms.maxPlannedMoves;
}

void Handover::startMove(const PieceChange &change)
{
    Move &move = m_moves.emplace_back();
    move.change = change;
    move.since = m_now;
    const bool warms = !isSameServer(change) && !change.from.isEmpty() && !isAfterLoss(move);
    if (!warms) {
        stopSending(move);
        return;
    }
    move.order =
        m_orders.add(ServerOrderKind::Prepare, change.toManager, sliceOf(change, change.to, {}));
}

void Handover::retarget(Move &move)
{
    PieceChange &change = move.change;
    const std::optional<OwnedPiece> wanted = m_wanted.covering(change.piece);
    const bool isTargetChanged =
        wanted && (wanted->server != change.to || wanted->manager != change.toManager);
    // No daemon may send before the grant is confirmed, and a lost daemon never relays the
    // confirmation.
    if (move.phase == Phase::Granting && isTargetChanged)
        forgetGrant(move);
    if (move.phase >= Phase::Committing)
        return;

    const bool isWantedAtOwner =
        !wanted || (wanted->server == change.from && wanted->manager == change.fromManager);
    if (isWantedAtOwner) {
        returnToOwner(move);
        return;
    }
    if (wanted->server == change.to && wanted->manager == change.toManager)
        return;

    if (move.phase == Phase::Warming) {
        // The new target has not been warmed up.
        dropMove(move);
        return;
    }
    if (wanted->server == change.from && !isSameServer(change) && !move.isRevokeSent) {
        returnToOwner(move);
        return;
    }
    const bool wasSameServer = isSameServer(change);
    change.to = wanted->server;
    change.toManager = wanted->manager;
    // A change of server manager waits for senders only; a move also waits for running work.
    if (wasSameServer && !isSameServer(change))
        enter(move, Phase::Stopping);
}

void Handover::returnToOwner(Move &move)
{
    if (move.phase == Phase::Warming || move.change.from.isEmpty()) {
        if (move.phase < Phase::Committing)
            dropMove(move);
        return;
    }
    if (move.phase >= Phase::Committing)
        return;

    PieceChange &change = move.change;
    const bool mayWithdraw = move.phase == Phase::Stopping && !move.isRevokeSent;
    const bool isWithdrawn = mayWithdraw
        && m_leases.withdrawStops(change.fromManager, change.piece, change.from, change.fromFence);
    if (isWithdrawn) {
        m_daemonsToPrompt.insert(change.fromManager);
        dropMove(move);
        return;
    }
    // The server may already refuse the old fence, or its stop may be complete, so the piece is
    // granted again with a new fence.
    change.to = change.from;
    change.toManager = change.fromManager;
    enter(move, Phase::Ready);
}

void Handover::dropMove(Move &move)
{
    move.phase = Phase::Done;
    m_needsPlan = true;
}

void Handover::step(Move &move)
{
    switch (move.phase) {
    case Phase::Warming:
        if (isAfterLoss(move) || move.since + m_terms.warmupTimeout <= m_now)
            stopSending(move);
        break;
    case Phase::Stopping:
        stepStopping(move);
        break;
    case Phase::Revoking:
        stepRevoking(move);
        break;
    case Phase::Granting:
        if (isTargetLost(move))
            forgetGrant(move);
        break;
    case Phase::Ready:
    case Phase::Committing:
    case Phase::Done:
        break;
    }
}

void Handover::forgetGrant(Move &move)
{
    // A piece without a server manager differs from every wanted piece, so it is granted again.
    const PieceChange &change = move.change;
    m_inForce.apply({{change.piece, change.to, {}, move.fence}});
    dropMove(move);
}

void Handover::stepStopping(Move &move)
{
    if (isReleased(move)) {
        const bool needsNoRevoke = move.isRevoked || move.change.from.isEmpty()
            || isSameServer(move.change) || isAfterLoss(move);
        enter(move, needsNoRevoke ? Phase::Ready : Phase::Revoking);
        if (move.phase == Phase::Revoking)
            orderRevoke(move);
        return;
    }
    const bool waitsWithoutLimit = isAfterLoss(move) || isSameServer(move.change)
        || m_leavingServers.contains(move.change.from);
    if (waitsWithoutLimit || m_now < move.since + m_terms.stopTimeout)
        return;

    deferMove(move);
}

void Handover::deferMove(Move &move)
{
    PieceChange &change = move.change;
    m_deferred[change.piece] = m_now + m_terms.deferralPeriod;
    const Incarnation manager = findManager(m_wantedManagedServers, change.from);
    if (manager.isEmpty() || manager == change.fromManager) {
        returnToOwner(move);
        return;
    }
    // The server manager has to change in any case; only the move can be deferred.
    change.to = change.from;
    change.toManager = manager;
    enter(move, Phase::Stopping);
}

void Handover::stepRevoking(Move &move)
{
    // No work runs and no daemon sends, so the server's confirmation is only an additional
    // safeguard.
    if (move.isRevoked || isAfterLoss(move) || move.since + m_terms.revokeTimeout <= m_now)
        enter(move, Phase::Ready);
}

void Handover::enter(Move &move, Phase phase)
{
    move.phase = phase;
    move.since = m_now;
    move.computedAtEvent = 0;
}

void Handover::stopSending(Move &move)
{
    enter(move, Phase::Stopping);
    const PieceChange &change = move.change;
    const bool wasSending = !m_leases.stop(change.fromManager, change.piece, change.from).empty();
    if (wasSending)
        m_daemonsToPrompt.insert(change.fromManager);
    const bool canRefuse =
        m_checkingServers.contains(change.from) && !m_lostServers.contains(change.from);
    if (canRefuse && m_lostManagers.contains(change.fromManager))
        orderRevoke(move);
}

void Handover::orderRevoke(Move &move)
{
    const PieceChange &change = move.change;
    const bool isOldManagerLost = m_lostManagers.contains(change.fromManager);
    const Incarnation through =
        isOldManagerLost ? findManager(m_wantedManagedServers, change.from) : change.fromManager;
    move.isRevokeSent = true;
    m_isIndexStale = true;
    move.order = m_orders.add(ServerOrderKind::Revoke, through,
                              sliceOf(change, change.from, change.fromFence));
}

bool Handover::isReleased(Move &move) const
{
    const bool isKnown =
        move.computedAtEvent == m_eventCount && move.computedAtChange == m_leases.changeCount();
    if (!isKnown) {
        move.releaseAt = releaseInstant(move);
        move.computedAtEvent = m_eventCount;
        move.computedAtChange = m_leases.changeCount();
    }
    return move.releaseAt <= m_now;
}

Instant Handover::releaseInstant(const Move &move) const
{
    const PieceChange &change = move.change;
    if (change.from.isEmpty() || move.isRevoked)
        return m_now;

    if (isSameServer(change))
        return m_leases.sendingEndedFrom(change.piece, change.from);

    if (isAfterLoss(move))
        return m_leases.workEndedFrom(change.piece, change.from);

    return m_leases.isIdle(change.piece, change.from) ? m_now : Instant::max();
}

bool Handover::isPlanned(const Move &move) const
{
    return !isAfterLoss(move) && !isSameServer(move.change) && !move.change.from.isEmpty();
}

bool Handover::isAfterLoss(const Move &move) const
{
    return m_lostServers.contains(move.change.from)
        || m_lostManagers.contains(move.change.fromManager);
}

bool Handover::isAllowedDuringOutage(const Move &move) const
{
    return isSameServer(move.change) || isAfterLoss(move);
}

bool Handover::isTargetLost(const Move &move) const
{
    return m_lostServers.contains(move.change.to) || m_lostManagers.contains(move.change.toManager);
}

void Handover::removeDoneMoves()
{
    const std::size_t erased =
        std::erase_if(m_moves, [](const Move &move) { return move.phase == Phase::Done; });
    if (m_moves.empty())
        m_moves.shrink_to_fit();
    m_needsPlan = m_needsPlan || erased > 0;
}

void Handover::publish()
{
    if (m_isPlatformOut) {
        publishDuringOutage();
        return;
    }
    if (m_mustReadPublished) {
        readPublished();
        return;
    }
    const bool hasChanges =
        hasReadyMove() || m_isUnpublished || hasNewManagedServer() || hasNewLayout();
    if (!m_pendingCommit && hasChanges && m_commitAt + m_terms.commitInterval <= m_now)
        startCommit();
}

void Handover::publishDuringOutage()
{
    if (!hasReadyMove() && !hasNewManagedServer())
        return;

    const Assignment next = nextAssignment();
    m_isUnpublished = true;
    putInForce(Phase::Ready, next);
}

void Handover::startCommit()
{
    m_pendingCommit = PendingCommit{0, nextAssignment(), false};
    m_commitAt = m_now;
    for (Move &move : m_moves) {
        if (move.phase == Phase::Ready)
            enter(move, Phase::Committing);
    }
    sendCommit();
}

void Handover::sendCommit()
{
    m_pendingCommit->id = ++m_lastCommitId;
    m_pendingCommit->isUnsettled = false;
    m_actions.emplace_back(
        CommitAssignment{m_pendingCommit->id, m_published, m_pendingCommit->next});
}

void Handover::settleCommitted()
{
    const Assignment next = std::move(m_pendingCommit->next);
    m_pendingCommit.reset();
    m_mustReadPublished = false;
    m_published = next.version;
    m_isUnpublished = false;
    putInForce(Phase::Committing, next);
}

void Handover::abandonCommit()
{
    m_pendingCommit.reset();
    m_mustReadPublished = true;
    for (Move &move : m_moves) {
        if (move.phase == Phase::Committing)
            enter(move, Phase::Ready);
    }
}

Assignment Handover::nextAssignment()
{
    const Fence version{m_epoch, ++m_lastSequence};
    std::vector<OwnedPiece> changed;
    for (Move &move : m_moves) {
        if (move.phase != Phase::Ready)
            continue;
        const PieceChange &change = move.change;
        move.fence = version;
        changed.push_back({change.piece, change.to, change.toManager, version});
    }
    OwnershipMap next = m_inForce;
    next.apply(std::move(changed));
    return {m_domain, version, next.slices(m_wantedLayout), nextManagedServers(next)};
}

std::vector<ManagedServer> Handover::nextManagedServers(const OwnershipMap &next) const
{
    // A daemon that still sends to a server remains its manager, so that routers do not switch too
    // early.
    std::set<ServerName> kept;
    for (const OwnedPiece &owned : next.pieces()) {
        const bool isSending = !owned.manager.isEmpty() && !m_lostManagers.contains(owned.manager)
            && findManager(m_managedServers, owned.server) == owned.manager;
        if (isSending)
            kept.insert(owned.server);
    }
    std::vector<ManagedServer> managedServers = m_wantedManagedServers;
    for (ManagedServer &managedServer : managedServers) {
        if (kept.contains(managedServer.server))
            managedServer.manager = findManager(m_managedServers, managedServer.server);
    }
    return managedServers;
}

bool Handover::hasNewManagedServer() const
{
    return m_managedServersDiffer && nextManagedServers(m_inForce) != m_managedServers;
}

bool Handover::hasNewLayout() const
{
    return m_layoutsDiffer && m_commitAt + m_terms.layoutInterval <= m_now;
}

void Handover::compareLayouts()
{
    // Splitting or merging pieces of the same owner and fence revokes no right, so it needs no
    // move.
    OwnershipMap next = m_inForce;
    next.apply({});
    m_layoutsDiffer = next.slices(m_wantedLayout) != next.slices(m_layout);
}

void Handover::putInForce(Phase phase, const Assignment &assignment)
{
    std::vector<OwnedPiece> changed;
    for (Move &move : m_moves) {
        if (move.phase != phase)
            continue;
        const PieceChange &change = move.change;
        changed.push_back({change.piece, change.to, change.toManager, move.fence});
        enter(move, Phase::Granting);
        move.order = m_orders.add(ServerOrderKind::Grant, change.toManager,
                                  sliceOf(change, change.to, move.fence));
    }
    m_inForce.apply(std::move(changed));
    m_version = assignment.version;
    m_layout = layoutOf(assignment.slices);
    compareLayouts();
    m_managedServers = assignment.managedServers;
    m_managedServersDiffer = m_wantedManagedServers != m_managedServers;
    m_actions.emplace_back(AssignmentInForce{assignment, m_isUnpublished});
}

void Handover::readPublished()
{
    if (m_now < m_nextReadAt)
        return;

    m_nextReadAt = m_now + m_terms.retryDelay;
    m_actions.emplace_back(ReadPublishedVersion{});
}

bool Handover::hasReadyMove() const
{
    return std::any_of(m_moves.begin(), m_moves.end(),
                       [](const Move &move) { return move.phase == Phase::Ready; });
}

void Handover::closeFinishedOrders()
{
    std::set<OrderId> needed;
    for (const Move &move : m_moves) {
        const bool waits = move.phase == Phase::Warming || move.phase == Phase::Revoking
            || move.phase == Phase::Granting
            || (move.phase == Phase::Stopping && move.isRevokeSent);
        if (waits)
            needed.insert(move.order);
    }
    m_orders.keepOnly(needed);
}

std::vector<std::size_t> Handover::movesOf(OrderId order)
{
    if (std::exchange(m_isIndexStale, false)) {
        m_movesByOrder.clear();
        for (std::size_t index = 0; index < m_moves.size(); ++index)
            m_movesByOrder[m_moves[index].order].push_back(index);
    }
    const auto found = m_movesByOrder.find(order);
    return found == m_movesByOrder.end() ? std::vector<std::size_t>() : found->second;
}

void Handover::confirm(Move &move, ServerOrderKind kind)
{
    if (kind == ServerOrderKind::Revoke)
        move.isRevoked = true;
    if (kind == ServerOrderKind::Prepare && move.phase == Phase::Warming)
        stopSending(move);
    if (kind != ServerOrderKind::Grant || move.phase != Phase::Granting)
        return;

    const PieceChange &change = move.change;
    m_leases.allow(change.toManager, {change.piece, change.to, move.fence});
    m_daemonsToPrompt.insert(change.toManager);
    move.phase = Phase::Done;
}

void Handover::endLeadership()
{
    m_isLeadershipOver = true;
    m_actions.emplace_back(LeadershipSuperseded{});
}

} // namespace bulrush

#include "process/keymoves.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bulrush {

void KeyMoves::setAssignment(const KeyAssignment &assignment, const StoreVersion &version,
                             Instant now)
{
    std::map<MoveKey, Move> moves;
    for (const OwnedRange &owned : assignment.ranges) {
        if (!owned.isMoving())
            continue;
        const MoveKey key = moveKey(assignment.service, owned);
        const auto known = m_moves.find(key);
        const Move *containing = containingMove(assignment.service, owned);
        if (known != m_moves.end())
            moves.insert(*known);
        else if (containing)
            moves.emplace(key, Move{containing->version, containing->committedAt, {}, {}, {}});
        else
            moves.emplace(key, Move{version, now, {}, {}, {}});
    }
    std::erase_if(m_moves, [&](const auto &entry) {
        return std::get<ServiceName>(entry.first) == assignment.service;
    });
    m_moves.merge(moves);
    m_assignments[assignment.service] = assignment;
}

void KeyMoves::clear()
{
    m_moves.clear();
    m_assignments.clear();
    m_queriedAt.clear();
}

std::vector<SendRelease> KeyMoves::dueReleases(const ServerDirectory &servers, Instant now)
{
    std::vector<SendRelease> releases;
    for (const auto &[service, assignment] : m_assignments) {
        for (const OwnedRange &owned : assignment.ranges) {
            const auto move = m_moves.find(moveKey(service, owned));
            if (!owned.isMoving() || move == m_moves.end() || move->second.handover)
                continue;
            // If the owner has restarted, its later run may have been granted the keys instead.
            const KnownServer *previous = servers.latestRunOf(owned.previous);
            const std::optional<Instant> sentAt = move->second.releaseSentAt;
            if (!previous || (sentAt && now - *sentAt < requestRetryDelay))
                continue;
            move->second.releaseSentAt = now;
            releases.push_back({service, owned, previous->record.address});
        }
    }
    return releases;
}

std::vector<QueryRenewer> KeyMoves::dueQueries(const ServerDirectory &servers,
                                               const RenewerRegistry &renewers, Instant now)
{
    std::vector<QueryRenewer> queries;
    for (const auto &[service, assignment] : m_assignments) {
        std::set<ServerName> unanswered;
        for (const OwnedRange &owned : assignment.ranges) {
            const auto move = m_moves.find(moveKey(service, owned));
            if (!owned.isMoving() || move == m_moves.end() || move->second.handover)
                continue;
            const KnownServer *previous = servers.find(owned.previous);
            const bool isRemoved = !previous || previous->removedSince;
            if (isRemoved || now - move->second.committedAt >= ownerTimeout)
                unanswered.insert(owned.previous);
        }
        if (unanswered.empty())
            continue;
        for (const auto &[host, renewer] : renewers.renewers()) {
            const auto queried = m_queriedAt.find({service, host});
            if (queried != m_queriedAt.end() && now - queried->second < requestRetryDelay)
                continue;
            if (renewer.removedSince)
                continue;
            m_queriedAt[{service, host}] = now;
            queries.push_back({renewer,
                               service,
                               {unanswered.begin(), unanswered.end()},
                               renewers.isBehind(host, service, assignment.sequence)});
        }
    }
    return queries;
}

void KeyMoves::released(const ServiceName &service, const OwnedRange &owned, std::string handover,
                        Instant now)
{
    const auto move = m_moves.find(moveKey(service, owned));
    if (move == m_moves.end() || move->second.handover)
        return;
    move->second.handover = std::move(handover);
    move->second.releasedAt = now;
}

std::optional<KeyAssignment> KeyMoves::settled(const ServiceName &service,
                                               const ServerDirectory &servers,
                                               const RenewerRegistry &renewers,
                                               const StoreVersion &appliedVersion,
                                               Instant now) const
{
    const auto assignment = m_assignments.find(service);
    if (assignment == m_assignments.end())
        return std::nullopt;
    KeyAssignment next = assignment->second;
    ++next.sequence;
    bool isDue = false;
    bool hasUnsettled = false;
    for (OwnedRange &owned : next.ranges) {
        const auto move = m_moves.find(moveKey(service, owned));
        if (!owned.isMoving() || move == m_moves.end())
            continue;
        const KnownServer *previous = servers.find(owned.previous);
        const auto since = previous && previous->hasStopped
            ? std::optional{move->second.committedAt}
            : settledSince(move->second, service, owned, renewers, appliedVersion, now);
        if (!since) {
            hasUnsettled = true;
            continue;
        }
        isDue = isDue || now - *since >= settleBatchPeriod;
        owned.previous = {};
        owned.moveSequence = 0;
        owned.handover = move->second.handover.value_or(std::string{});
    }
    const bool hasChanged = next.ranges != assignment->second.ranges;
    if (!hasChanged || (hasUnsettled && !isDue))
        return std::nullopt;
    return next;
}

/** \returns since when the range is free for its new owner, or nothing if it is not free yet. */
std::optional<Instant> KeyMoves::settledSince(const Move &move, const ServiceName &service,
                                              const OwnedRange &owned,
                                              const RenewerRegistry &renewers,
                                              const StoreVersion &appliedVersion, Instant now)
{
    if (move.handover)
        return move.releasedAt;
    if (appliedVersion < move.version)
        return std::nullopt;
    const Instant freeAt =
        renewers.freeAt(service, owned.moveSequence, owned.previous, move.committedAt);
    return now >= freeAt ? std::optional{freeAt} : std::nullopt;
}

/** \returns the move that \a owned is a part of, or null. */
const KeyMoves::Move *KeyMoves::containingMove(const ServiceName &service,
                                               const OwnedRange &owned) const
{
    const auto found = std::ranges::find_if(m_moves, [&](const auto &entry) {
        return std::get<ServiceName>(entry.first) == service
            && std::get<std::uint64_t>(entry.first) == owned.moveSequence;
    });
    return found == m_moves.end() ? nullptr : &found->second;
}

KeyMoves::MoveKey KeyMoves::moveKey(const ServiceName &service, const OwnedRange &owned)
{
    return {service, owned.range.first, owned.range.last, owned.moveSequence};
}

} // namespace bulrush

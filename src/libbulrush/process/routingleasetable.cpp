#include "process/routingleasetable.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Adds the parts of \a right outside of \a piece to \a kept. */
void addRemainder(const SliceRight &right, const ServiceKeyRange &piece,
                  std::vector<SliceRight> &kept)
{
    if (right.piece.range.begin < piece.range.begin) {
        SliceRight left = right;
        left.piece.range.end = piece.range.begin - 1;
        kept.push_back(left);
    }
    if (right.piece.range.end > piece.range.end) {
        SliceRight rest = right;
        rest.piece.range.begin = piece.range.end + 1;
        kept.push_back(rest);
    }
}

/** A daemon without rights is removed after this multiple of the lease length. */
constexpr int removalDelayInLeases = 100;

bool byPiece(const SliceRight &first, const SliceRight &second)
{
    return first.piece < second.piece;
}

void insertSorted(std::vector<SliceRight> &rights, SliceRight right)
{
    const auto place = std::upper_bound(rights.begin(), rights.end(), right, byPiece);
    rights.insert(place, std::move(right));
}

/** \returns whether the \a sorted rights, which do not overlap, cover \a range completely. */
bool coverAll(std::span<const SliceRight> sorted, SliceRange range)
{
    KeyHash next = range.begin;
    for (const SliceRight &right : sorted) {
        if (right.piece.range.begin > next)
            return false;
        if (right.piece.range.end >= range.end)
            return true;
        next = right.piece.range.end + 1;
    }
    return false;
}

} // namespace

RoutingLeaseTable::RoutingLeaseTable(RoutingLeaseTimings terms, std::uint64_t epoch)
    : m_terms(terms)
    , m_lastId{epoch, 0}
{ }

std::optional<LeaseReply> RoutingLeaseTable::answer(const LeaseRequest &request,
                                                    Fence assignmentVersion, Instant now,
                                                    Instant leadershipUntil)
{
    if (now >= leadershipUntil)
        return std::nullopt;

    Holder &holder = m_holders[request.incarnation];
    if (request.requestId <= holder.highestRequest)
        return std::nullopt;

    holder.highestRequest = request.requestId;
    holder.lastPull = now;
    for (const StopReport &report : request.stopReports)
        applyReport(request.incarnation, report, now);

    if (holder.rightsVersion == Fence{})
        holder.rightsVersion = nextId();

    const Duration length = std::min(m_terms.length, leadershipUntil - now);
    holder.sendsUntil = std::max(holder.sendsUntil, now + stretched(length, m_terms.driftPpm));

    LeaseReply reply{request.requestId, length, assignmentVersion, holder.rightsVersion, {}};
    if (request.heldRights != holder.rightsVersion)
        reply.rights = rightsOf(holder);
    return reply;
}

void RoutingLeaseTable::allow(const Incarnation &holder, SliceRight right)
{
    Holder &entry = m_holders[holder];
    insertSorted(entry.rights, std::move(right));
    entry.rightsVersion = nextId();
}

std::vector<StopId> RoutingLeaseTable::stop(const Incarnation &holder, const ServiceKeyRange &piece,
                                            const ServerName &server)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return {};

    Holder &entry = found->second;
    std::vector<StopId> made;
    std::vector<SliceRight> kept;
    for (const SliceRight &right : entry.rights) {
        if (right.server != server || !overlaps(right.piece, piece)) {
            kept.push_back(right);
            continue;
        }
        const StopOrder order{nextId(), commonPart(right.piece, piece), server};
        addStop(holder, entry, {{}, order, right.fence, entry.sendsUntil, {}, {}, false});
        made.push_back(order.stop);
        addRemainder(right, piece, kept);
    }
    if (made.empty())
        return made;

    entry.rights = std::move(kept);
    entry.rightsVersion = nextId();
    return made;
}

bool RoutingLeaseTable::withdrawStops(const Incarnation &holder, const ServiceKeyRange &piece,
                                      const ServerName &server, Fence fence)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return false;

    std::vector<StopId> withdrawn;
    std::vector<SliceRight> restored;
    for (const StopRecord *record : stopsOf(piece, server)) {
        // An older stop may still be pending because of work in flight under an older grant.
        if (record->holder != holder || record->fence != fence)
            continue;
        withdrawn.push_back(record->order.stop);
        insertSorted(restored, {record->order.piece, server, record->fence});
    }
    if (!coverAll(restored, piece.range))
        return false;

    Holder &entry = found->second;
    for (SliceRight &right : restored)
        insertSorted(entry.rights, std::move(right));
    dropStops(entry, withdrawn);
    return true;
}

Instant RoutingLeaseTable::sendingEndedFrom(const ServiceKeyRange &piece,
                                            const ServerName &server) const
{
    Instant latest{};
    for (const StopRecord *record : stopsOf(piece, server))
        latest = std::max(latest, sendingEndInstant(*record));
    return latest;
}

Instant RoutingLeaseTable::workEndedFrom(const ServiceKeyRange &piece,
                                         const ServerName &server) const
{
    Instant latest{};
    for (const StopRecord *record : stopsOf(piece, server))
        latest = std::max(latest, workEndInstant(*record));
    return latest;
}

bool RoutingLeaseTable::isIdle(const ServiceKeyRange &piece, const ServerName &server) const
{
    const std::vector<const StopRecord *> stops = stopsOf(piece, server);
    return std::all_of(stops.begin(), stops.end(),
                       [](const StopRecord *record) { return record->idle; });
}

Instant RoutingLeaseTable::sendsUntil(const Incarnation &holder) const
{
    const auto found = m_holders.find(holder);
    return found == m_holders.end() ? Instant{} : found->second.sendsUntil;
}

void RoutingLeaseTable::expire(Instant now)
{
    if (m_stops.empty() && now < m_nextExpiryAt)
        return;

    m_nextExpiryAt = now + m_terms.length;
    const Duration maxRunTime = stretched(m_terms.runCap, m_terms.driftPpm);
    for (auto entry = m_holders.begin(); entry != m_holders.end();) {
        Holder &holder = entry->second;
        const bool isLeaseOver = holder.sendsUntil + maxRunTime <= now;
        std::vector<StopId> finished;
        for (const StopId &stop : holder.stops) {
            if (isLeaseOver || m_stops.at(stop).idle)
                finished.push_back(stop);
        }
        dropStops(holder, finished);
        const bool isEmpty = isLeaseOver && holder.stops.empty() && holder.rights.empty();
        const bool isRemovable =
            isEmpty && holder.lastPull + removalDelayInLeases * m_terms.length <= now;
        entry = isRemovable ? m_holders.erase(entry) : std::next(entry);
    }
}

std::vector<Incarnation> RoutingLeaseTable::silentSince(Instant instant) const
{
    std::vector<Incarnation> silent;
    for (const auto &[incarnation, holder] : m_holders) {
        if (!holder.rights.empty() && holder.lastPull < instant)
            silent.push_back(incarnation);
    }
    return silent;
}

std::span<const SliceRight> RoutingLeaseTable::rights(const Incarnation &holder) const
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return {};

    return found->second.rights;
}

void RoutingLeaseTable::applyReport(const Incarnation &incarnation, const StopReport &report,
                                    Instant now)
{
    const auto found = m_stops.find(report.stop);
    if (found == m_stops.end() || found->second.holder != incarnation)
        return;

    ++m_changeCount;
    StopRecord &record = found->second;
    const Instant deadline = now + stretched(report.latestDeadline, m_terms.driftPpm);
    record.deadlineUntil = record.confirmedAt ? std::min(record.deadlineUntil, deadline) : deadline;
    if (!record.confirmedAt)
        record.confirmedAt = now;
    record.idle = record.idle || report.idle;
}

void RoutingLeaseTable::addStop(const Incarnation &incarnation, Holder &holder, StopRecord record)
{
    ++m_changeCount;
    const StopId stop = record.order.stop;
    record.holder = incarnation;
    holder.stops.push_back(stop);
    m_stopsByServer[record.order.server].push_back(stop);
    m_stops.emplace(stop, std::move(record));
}

std::vector<const RoutingLeaseTable::StopRecord *>
RoutingLeaseTable::stopsOf(const ServiceKeyRange &piece, const ServerName &server) const
{
    const auto found = m_stopsByServer.find(server);
    if (found == m_stopsByServer.end())
        return {};

    std::vector<const StopRecord *> stops;
    for (const StopId &stop : found->second) {
        const StopRecord &record = m_stops.at(stop);
        if (overlaps(record.order.piece, piece))
            stops.push_back(&record);
    }
    return stops;
}

void RoutingLeaseTable::dropStops(Holder &holder, const std::vector<StopId> &finished)
{
    if (finished.empty())
        return;

    ++m_changeCount;
    for (const StopId &stop : finished) {
        const ServerName server = m_stops.at(stop).order.server;
        std::erase(m_stopsByServer.at(server), stop);
        if (m_stopsByServer.at(server).empty())
            m_stopsByServer.erase(server);
        std::erase(holder.stops, stop);
        m_stops.erase(stop);
    }
    holder.rightsVersion = nextId();
}

RightsReplaced RoutingLeaseTable::rightsOf(const Holder &holder) const
{
    RightsReplaced replaced{holder.rights, {}};
    for (const StopId &stop : holder.stops)
        replaced.stops.push_back(m_stops.at(stop).order);
    return replaced;
}

Instant RoutingLeaseTable::sendingEndInstant(const StopRecord &record) const
{
    return record.confirmedAt ? std::min(*record.confirmedAt, record.sendsUntil)
                              : record.sendsUntil;
}

Instant RoutingLeaseTable::workEndInstant(const StopRecord &record) const
{
    if (record.idle)
        return *record.confirmedAt;

    // Every deadline lies within the lease, so the end of the lease also bounds the deadlines of a
    // daemon that has sent no report.
    const Instant lastStart =
        record.confirmedAt ? std::min(record.deadlineUntil, record.sendsUntil) : record.sendsUntil;
    return lastStart + stretched(m_terms.runCap, m_terms.driftPpm);
}

Fence RoutingLeaseTable::nextId()
{
    ++m_lastId.sequence;
    return m_lastId;
}

} // namespace bulrush

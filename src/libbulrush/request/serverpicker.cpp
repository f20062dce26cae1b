#include "request/serverpicker.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Additional cost of a server that failed recently; higher than any waiting time. */
constexpr Duration avoidanceCost = std::chrono::seconds{20};
/** Relative accuracy of the estimates. Servers whose costs differ by less are chosen randomly. */
constexpr double costNoise = 0.2;

/** \returns a pseudo-random number from 0 to 1; the mixing function is that of SplitMix64. */
double pseudoRandom(std::uint64_t salt, std::uint64_t index)
{
    std::uint64_t mixed = salt + (index + 1) * 0x9e3779b97f4a7c15U;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return static_cast<double>(mixed >> 11U) / static_cast<double>(std::uint64_t{1} << 53U);
}

bool wasTried(const ServerDemand &demand, const ServerName &server)
{
    return std::ranges::find(demand.tried, server) != demand.tried.end();
}

/**
 * \returns why none of \a servers can receive a request: Evacuated if none is ready and at least
 * one is in an evacuated domain.
 */
NoServer reasonForAbsence(std::span<const KnownServer> servers)
{
    const bool hasReady = std::ranges::any_of(servers, &KnownServer::isReady);
    const bool hasEvacuated = std::ranges::any_of(
        servers, [](const KnownServer &server) { return server.evacuatedAfter.has_value(); });
    return hasEvacuated && !hasReady ? NoServer::Evacuated : NoServer::Absent;
}

} // namespace

ServerPicker::ServerPicker(const Sources &sources, DomainName ownDomain,
                           const LeavingServerBudgets &budgets)
    : m_gauges(sources.gauges)
    , m_slowStart(sources.slowStart)
    , m_limits(sources.limits)
    , m_notices(sources.notices)
    , m_reach(sources.reach)
    , m_ownDomain(std::move(ownDomain))
    , m_drainBudget(budgets.drain)
    , m_evacuationBudget(budgets.evacuation)
{ }

Duration ServerPicker::serverDataAge(Instant now) const
{
    return m_serverFreshness.isStoreUnreachable ? Duration::zero() : now - m_serverFreshness.asOf;
}

Instant ServerPicker::sendDeadline(const KnownServer &server) const
{
    Instant latest = Instant::max();
    if (server.drainsAfter)
        latest = *server.drainsAfter + m_drainBudget.maxSendAge();
    else if (!m_serverFreshness.isStoreUnreachable)
        latest = m_serverFreshness.asOf + m_drainBudget.maxSendAge();
    if (const auto leavingSince = m_notices.leavingSince(server.record.id))
        latest = std::min(latest, *leavingSince + m_drainBudget.maxSendAge());
    if (server.evacuatedAfter)
        return std::min(latest, *server.evacuatedAfter + m_evacuationBudget.maxSendAge());
    if (!m_evacuationFreshness.isStoreUnreachable)
        return std::min(latest, m_evacuationFreshness.asOf + m_evacuationBudget.maxSendAge());
    return latest;
}

/** \returns whether \a server may get requests without a key. */
bool ServerPicker::isReady(const KnownServer &server) const
{
    return server.isReady() && !m_notices.leavingSince(server.record.id);
}

/** \returns how long ago \a server announced that it leaves; zero if it did not. */
Duration ServerPicker::announcedAge(const ServerName &server, Instant now) const
{
    const std::optional<Instant> since = m_notices.leavingSince(server);
    return since ? now - *since : Duration::zero();
}

/**
 * \returns whether the data is so old that any server may drain or be evacuated by now. Newer data
 * is pending.
 */
bool ServerPicker::mayAnyServerBeLeaving(Instant now) const
{
    return serverDataAge(now) > m_drainBudget.maxUnconfirmedAge()
        || (!m_evacuationFreshness.isStoreUnreachable
            && now - m_evacuationFreshness.asOf > m_evacuationBudget.maxUnconfirmedAge());
}

SlowStartAdmission ServerPicker::admission(const RoutingState &state, const KnownServer &server,
                                           Instant now) const
{
    if (!SlowStart::isActive(server, now))
        return SlowStartAdmission::Admitted;
    return m_slowStart.admission(server, state.slowStartRank(server.record.id), state.daemonCount,
                                 now);
}

/** \returns whether \a server names a limit, and the request has and gets no permit for it now. */
bool ServerPicker::isClosed(const ServerDemand &demand, const ServerName &server, Instant now) const
{
    const KnownLimit *limit = m_limits.find(server);
    return limit && now < limit->closedUntil && demand.permitted != server;
}

ServerPick ServerPicker::pick(const RoutingState &state, const ServerDemand &demand,
                              Instant now) const
{
    if (mayAnyServerBeLeaving(now))
        return NoServer::Busy;
    return demand.key ? pickOwner(state, demand, now) : pickFastest(state, demand, now);
}

const ServerRecord *ServerPicker::owner(const RoutingState &state, const ServerDemand &demand,
                                        Instant now) const
{
    const KnownServer *server = demand.key ? ownerOf(state, demand, now) : nullptr;
    return server ? &server->record : nullptr;
}

ServerEstimate ServerPicker::estimate(const RoutingState &state, const ServerDemand &demand,
                                      Instant now) const
{
    if (demand.key) {
        const KnownServer *server = ownerOf(state, demand, now);
        if (!server)
            return {ServerGauges::defaultServiceTime, 0.0, {}};
        return {m_gauges.expectedLatency(server->record, demand.route, now),
                m_gauges.completionRate(server->record, now),
                server->record.id,
                m_gauges.roomIn(server->record, now),
                drainTime(server->record, now),
                capacity(server->record)};
    }
    ServerEstimate result{Duration::max(), 0.0, {}, {}, Duration::max(), 0.0};
    for (const KnownServer &server : state.serversOf(demand.service)) {
        if (!isReady(server) || m_notices.isBackingOff(server.record.id, now)
            || admission(state, server, now) == SlowStartAdmission::NotSender)
            continue;
        result.latency =
            std::min(result.latency, m_gauges.expectedLatency(server.record, demand.route, now));
        result.completionRate += m_gauges.completionRate(server.record, now);
        result.drainTime = std::min(result.drainTime, drainTime(server.record, now));
        result.capacity += capacity(server.record);
    }
    if (result.drainTime == Duration::max())
        result.drainTime = {};
    result.latency = std::min(result.latency, ServerGauges::defaultServiceTime * 4);
    return result;
}

std::optional<SendForecast> ServerPicker::forecast(const RoutingState &state,
                                                   const ServerDemand &demand, Instant sentAt,
                                                   Duration horizon, Instant now) const
{
    const ServerRecord *server = owner(state, demand, now);
    if (!server)
        return std::nullopt;
    return forecastSends(m_gauges, *server, sentAt, horizon, now);
}

Duration ServerPicker::serviceTime(const ServerRecord &server) const
{
    return m_gauges.serviceTime(server.id).value_or(ServerGauges::defaultServiceTime);
}

/** \returns the time until a request that is sent to \a server now begins to run. */
Duration ServerPicker::drainTime(const ServerRecord &server, Instant now) const
{
    return std::max(Duration::zero(), m_gauges.expectedLatency(server, now) - serviceTime(server));
}

/** \returns the requests per second that \a server can complete for all daemons. */
double ServerPicker::capacity(const ServerRecord &server) const
{
    return std::max(1U, server.slots) / std::chrono::duration<double>(serviceTime(server)).count();
}

/** \returns the server that may receive requests for the key, or null. */
const KnownServer *ServerPicker::ownerOf(const RoutingState &state, const ServerDemand &demand,
                                         Instant now) const
{
    const auto assignment = state.assignments.find(demand.service);
    if (assignment == state.assignments.end())
        return nullptr;
    const OwnedRange *owned = assignment->second->find(*demand.key);
    if (!owned || owned->isMoving())
        return nullptr;
    const KnownServer *server = state.server(demand.service, owned->owner);
    if (!server || server->removedSince)
        return nullptr;
    if (server->drainsAfter && now - *server->drainsAfter > m_drainBudget.maxDrainingAge())
        return nullptr;
    if (announcedAge(server->record.id, now) > m_drainBudget.maxAnnouncedAge())
        return nullptr;
    if (server->evacuatedAfter && now - *server->evacuatedAfter > m_evacuationBudget.maxOwnerAge())
        return nullptr;
    return server;
}

ServerPick ServerPicker::pickOwner(const RoutingState &state, const ServerDemand &demand,
                                   Instant now) const
{
    const KnownServer *server = ownerOf(state, demand, now);
    if (!server)
        return reasonForAbsence(state.serversOf(demand.service));
    // After a cold start the planner limits the load of an owner by the keys that it gets.
    if (server->isCold(now)) {
        const SlowStartAdmission admitted = admission(state, *server, now);
        if (admitted == SlowStartAdmission::NotSender)
            return NoServer::Cold;
        if (admitted == SlowStartAdmission::Paced)
            return NoServer::Busy;
    }
    // Waiting for an unreachable server is useless. Probes find out whether it can be reached
    // again.
    if (m_reach.isOutOfReach() || m_gauges.isUnreachable(server->record.id, now))
        return NoServer::Unreachable;
    if (m_notices.isBackingOff(server->record.id, now))
        return NoServer::BackingOff;
    if (isClosed(demand, server->record.id, now))
        return NoServer::Limited;
    if (!m_gauges.hasRoom(server->record, now))
        return NoServer::Busy;
    return &server->record;
}

ServerPick ServerPicker::pickFastest(const RoutingState &state, const ServerDemand &demand,
                                     Instant now) const
{
    const ServerRecord *best = nullptr;
    Duration bestCost{};
    bool hasReady = false;
    bool hasSlowStart = false;
    bool hasUntried = false;
    bool hasReachable = false;
    bool hasWilling = false;
    bool hasOpen = false;
    std::uint64_t index = 0;
    for (const KnownServer &server : state.serversOf(demand.service)) {
        ++index;
        if (!isReady(server))
            continue;
        const SlowStartAdmission admitted = admission(state, server, now);
        if (admitted == SlowStartAdmission::NotSender) {
            hasSlowStart = true;
            continue;
        }
        hasReady = true;
        if (wasTried(demand, server.record.id))
            continue;
        hasUntried = true;
        if (m_reach.isOutOfReach() || m_gauges.isUnreachable(server.record.id, now))
            continue;
        hasReachable = true;
        if (m_notices.isBackingOff(server.record.id, now))
            continue;
        hasWilling = true;
        if (isClosed(demand, server.record.id, now))
            continue;
        hasOpen = true;
        if (admitted == SlowStartAdmission::Paced || !m_gauges.hasRoom(server.record, now))
            continue;
        const double noise = 1.0 + costNoise * pseudoRandom(demand.salt, index);
        if (demand.permitted == server.record.id)
            return &server.record;
        const Duration cost{static_cast<std::int64_t>(
            static_cast<double>(costOf(server.record, demand, now).count()) * noise)};
        if (!best || cost < bestCost) {
            best = &server.record;
            bestCost = cost;
        }
    }
    if (best)
        return best;
    if (!hasReady && hasSlowStart)
        return NoServer::Cold;
    if (!hasReady)
        return reasonForAbsence(state.serversOf(demand.service));
    if (!hasUntried)
        return NoServer::AllTried;
    if (!hasReachable)
        return NoServer::Unreachable;
    if (!hasWilling)
        return NoServer::BackingOff;
    return hasOpen ? NoServer::Busy : NoServer::Limited;
}

bool ServerPicker::isStillWanted(const ServerName &server, Instant now) const
{
    return !m_notices.isBackingOff(server, now)
        && announcedAge(server, now) <= m_drainBudget.maxSendAge();
}

Instant ServerPicker::backoffEnd(const RoutingState &state, const ServerDemand &demand,
                                 Instant now) const
{
    Instant end = Instant::max();
    const auto consider = [&](const KnownServer &server) {
        const ServerNotice *notice = m_notices.find(server.record.id);
        if (notice && notice->isBackingOff(now))
            end = std::min(end, notice->backoffUntil);
    };
    if (demand.key) {
        if (const KnownServer *server = ownerOf(state, demand, now))
            consider(*server);
        return end;
    }
    for (const KnownServer &server : state.serversOf(demand.service)) {
        if (isReady(server) && !wasTried(demand, server.record.id))
            consider(server);
    }
    return end;
}

Duration ServerPicker::costOf(const ServerRecord &server, const ServerDemand &demand,
                              Instant now) const
{
    Duration cost = m_gauges.expectedLatency(server, demand.route, now);
    if (server.domain != m_ownDomain)
        cost += demand.kind == RequestKind::Upload
            ? uploadDomainMargin
            : std::chrono::duration_cast<Duration>(demand.targetLatency * domainMargin);
    if (m_gauges.isAvoided(server.id, now))
        cost += avoidanceCost;
    return cost;
}

} // namespace bulrush

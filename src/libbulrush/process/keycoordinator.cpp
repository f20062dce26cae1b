#include "process/keycoordinator.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

bool isRegistrationQuiet(const ServiceName &service, const ServerDirectory &servers, Instant now)
{
    return std::ranges::none_of(servers.servers(), [&](const auto &entry) {
        return entry.second.record.service == service
            && now - entry.second.firstSeen < KeyCoordinator::registrationQuiet;
    });
}

} // namespace

KeyCoordinator::KeyCoordinator(const KeySelf &self, Instant start, const KeyTimings &timings)
    : m_self(self)
    , m_lease(self.incarnation, self.address, self.patience)
    , m_renewal(self.domain, start, timings)
    , m_renewers(timings)
    , m_grants(start, timings.grantCall)
    , m_registerPause(registerAgain, registerAtLast, self.host.value())
    , m_removePause(removeAgain, removeAtLast, self.host.value())
{ }

void KeyCoordinator::plannerRowSeen(std::uint64_t version, const PlannerRow &row, Instant now)
{
    m_lease.rowSeen(version, row, now);
}

bool KeyCoordinator::assignmentSeen(const KeyAssignment &assignment, std::uint64_t version,
                                    Instant now)
{
    Held &held = m_held[assignment.service];
    if (version <= held.version)
        return false;
    held = {assignment, version};
    m_renewal.setAssignment(assignment);
    m_moves.setAssignment(assignment, version, now);
    return true;
}

void KeyCoordinator::daemonRowSeen(const HostName &host, std::uint64_t version,
                                   const std::optional<DaemonRow> &row, Instant now)
{
    if (row)
        m_renewers.rowSeen(host, *row, version);
    else
        m_renewers.rowGone(host, now);
    if (host != m_self.host || m_isRegistering)
        return;
    const bool isOwn = row && row->incarnation == m_self.incarnation;
    m_ownVersion = isOwn ? version : 0;
}

void KeyCoordinator::rowsSeen(std::uint64_t version)
{
    m_hasRows = true;
    m_seenVersion = std::max(m_seenVersion, version);
}

void KeyCoordinator::storeAnswered(Instant givenAt)
{
    m_renewal.storeAnswered(givenAt);
}

void KeyCoordinator::plannerRowWritten(RowWriteEnd end, std::uint64_t version, Instant now)
{
    m_lease.writeEnded(end, version, now);
}

bool KeyCoordinator::assignmentCommitted(const KeyAssignment &next, RowWriteEnd end,
                                         std::uint64_t version, Instant now)
{
    m_committing.erase(next.service);
    // What failed, or may have been done, is planned again from the row, which its feed brings.
    if (end != RowWriteEnd::Done) {
        m_commitAgainAt[next.service] = now + commitAgain;
        return false;
    }
    m_commitAgainAt.erase(next.service);
    return assignmentSeen(next, version, now);
}

void KeyCoordinator::released(const SendRelease &release, std::string handover, Instant now)
{
    m_moves.released(release.service, release.owned, std::move(handover), now);
}

void KeyCoordinator::grantSent(const SendGrant &grant, Instant now)
{
    m_grants.sent(grant.owned.owner, now);
}

std::vector<ServerName> KeyCoordinator::serversToConnect(const ServerDirectory &servers,
                                                         std::span<const ServiceName> keyed) const
{
    std::vector<ServerName> wanted;
    for (const auto &[id, server] : servers.servers()) {
        const bool isKeyed = std::ranges::find(keyed, server.record.service) != keyed.end();
        if (isKeyed && m_renewal.isRenewed(server))
            wanted.push_back(id);
    }
    return wanted;
}

void KeyCoordinator::connectionMade(const ServerName &server, Instant now)
{
    m_renewal.connectionMade(server, now);
}

void KeyCoordinator::connectionLost(const ServerName &server)
{
    m_renewal.connectionLost(server);
}

void KeyCoordinator::connectionGivenUp(const ServerName &server)
{
    m_renewal.connectionGivenUp(server);
}

void KeyCoordinator::grantEnded(const SendGrant &grant, bool canHaveCome, Instant now)
{
    m_grants.ended(grant.owned.owner, canHaveCome, now);
}

void KeyCoordinator::daemonRowWritten(RowWriteEnd end, std::uint64_t version, Instant now)
{
    m_isRegistering = false;
    if (end != RowWriteEnd::Done) {
        m_registerPause.failed(now);
        return;
    }
    m_registerPause.succeeded();
    if (!m_isLeaving)
        m_ownVersion = version;
}

void KeyCoordinator::daemonRowsRemoved(RowWriteEnd end, Instant now)
{
    m_isRemoving = false;
    if (end == RowWriteEnd::Done)
        m_removePause.succeeded();
    else
        m_removePause.failed(now);
}

RenewerAnswer KeyCoordinator::answerOn(const ServiceName &service,
                                       std::span<const ServerName> servers, Instant now) const
{
    RenewerAnswer answer;
    answer.host = m_self.host;
    answer.incarnation = m_self.incarnation;
    answer.service = service;
    if (const KeyAssignment *known = assignment(service))
        answer.sequence = known->sequence;
    for (const ServerName &server : servers)
        answer.lastGrantAgo[server] = m_grants.lastAgo(server, now);
    return answer;
}

void KeyCoordinator::renewerAnswered(const RenewerAnswer &answer, Instant now)
{
    m_renewers.answered(answer, now);
}

void KeyCoordinator::addLoads(std::span<const LoadSample> samples, Instant now)
{
    if (!m_isPlanning)
        return;
    for (const LoadSample &sample : samples)
        m_loads.try_emplace(sample.service, now).first->second.add(sample, now);
}

const std::vector<KeyShares> &KeyCoordinator::keyShares(const ServerDirectory &servers, Instant now)
{
    if (m_isPlanning && now - m_keySharesAt < sharesEvery)
        return m_keyShares;
    m_keySharesAt = now;
    m_keyShares.clear();
    if (!m_isPlanning)
        return m_keyShares;
    for (auto &[service, load] : m_loads) {
        const KeyAssignment *known = assignment(service);
        if (!known)
            continue;
        KeyShares shares =
            KeyAdmission::shares(*known, readyServers(service, servers, now), load.traffic(now));
        if (!shares.shares.empty())
            m_keyShares.push_back(std::move(shares));
    }
    return m_keyShares;
}

void KeyCoordinator::resign()
{
    m_isLeaving = true;
    m_lease.resign();
}

std::vector<KeyAction> KeyCoordinator::advance(const ServerDirectory &servers,
                                               std::span<const ServiceName> keyed, Instant now)
{
    std::vector<KeyAction> actions;
    if (const auto write = m_lease.advance(now))
        actions.emplace_back(WritePlannerRow{*write});
    if (auto registration = dueRegistration(now))
        actions.emplace_back(std::move(*registration));
    notePlanning(now);
    if (m_isPlanning)
        planActions(servers, keyed, now, actions);
    if (isRegistered()) {
        for (SendGrant &grant : m_renewal.due(servers, now))
            actions.emplace_back(std::move(grant));
    }
    return actions;
}

/** A daemon renews only while its row stands, and once it has seen all rows as of that. */
bool KeyCoordinator::isRegistered() const
{
    return !m_isLeaving && m_ownVersion > 0 && m_seenVersion >= m_ownVersion;
}

std::optional<WriteDaemonRow> KeyCoordinator::dueRegistration(Instant now)
{
    if (!m_hasRows || m_isRegistering || (m_ownVersion > 0) != m_isLeaving)
        return std::nullopt;
    if (!m_registerPause.isOver(now))
        return std::nullopt;
    m_isRegistering = true;
    if (m_isLeaving)
        return WriteDaemonRow{std::exchange(m_ownVersion, 0), std::nullopt};
    // A row that was removed is remembered for a while, but there is none to be replaced.
    const auto known = m_renewers.renewers().find(m_self.host);
    const bool hasRow = known != m_renewers.renewers().end() && !known->second.goneSince;
    return WriteDaemonRow{
        hasRow ? known->second.version : 0,
        DaemonRow{m_self.incarnation, m_self.address, m_self.domain, m_self.processors}};
}

/** \returns the removal of rows whose daemons are lost, if any is due. */
std::optional<RemoveDaemonRows> KeyCoordinator::dueRemoval(Instant now)
{
    m_renewers.looked(now);
    // While the lease is being renewed, the version that a removal would be bound to is changing.
    if (m_isRemoving || m_lease.isWriting() || !m_removePause.isOver(now))
        return std::nullopt;
    RemoveDaemonRows removal{{}, m_lease.version()};
    for (const Renewer &lost : m_renewers.lost(now)) {
        if (removal.rows.size() < mostRemovedAtOnce)
            removal.rows.push_back({lost.host, lost.version});
    }
    if (removal.rows.empty())
        return std::nullopt;
    m_isRemoving = true;
    return removal;
}

void KeyCoordinator::planActions(const ServerDirectory &servers, std::span<const ServiceName> keyed,
                                 Instant now, std::vector<KeyAction> &actions)
{
    for (SendRelease &release : m_moves.dueReleases(servers, now))
        actions.emplace_back(std::move(release));
    for (AskRenewer &question : m_moves.dueQuestions(servers, m_renewers, now)) {
        if (question.renewer.host == m_self.host) {
            m_renewers.answered(answerOn(question.service, question.servers, now), now);
            continue;
        }
        m_renewers.asked(question.renewer.host, now);
        actions.emplace_back(std::move(question));
    }
    m_renewers.forgetGone(now);
    if (auto removal = dueRemoval(now))
        actions.emplace_back(std::move(*removal));
    const bool isRoundDue = now - m_plannedAt >= planEvery;
    if (isRoundDue)
        m_plannedAt = now;
    for (const ServiceName &service : keyed) {
        if (!mayCommit(service, now))
            continue;
        auto next = nextAssignment(service, servers, isRoundDue, now);
        if (!next)
            continue;
        m_committing.insert(service);
        actions.emplace_back(
            CommitKeyAssignment{std::move(*next), assignmentVersion(service), m_lease.version()});
    }
}

bool KeyCoordinator::isStillDue(const SendGrant &grant, const ServerDirectory &servers,
                                Instant now) const
{
    const KnownServer *server = servers.find(grant.owned.owner);
    if (!server || server->goneSince)
        return false;
    const KeyAssignment *known = assignment(grant.service);
    if (!known || !isRegistered() || !m_renewal.mayGrant(grant.service, grant.owned, now))
        return false;
    const OwnedRange *current = known->find(grant.owned.range.first);
    return current && *current == grant.owned;
}

const KeyAssignment *KeyCoordinator::assignment(const ServiceName &service) const
{
    const auto held = m_held.find(service);
    return held == m_held.end() ? nullptr : &held->second.assignment;
}

std::uint64_t KeyCoordinator::assignmentVersion(const ServiceName &service) const
{
    const auto held = m_held.find(service);
    return held == m_held.end() ? 0 : held->second.version;
}

void KeyCoordinator::notePlanning(Instant now)
{
    const bool isHeld = m_hasRows && m_lease.isHeld(now);
    if (std::exchange(m_isPlanning, isHeld) == isHeld)
        return;
    m_renewal.setPlanner(isHeld);
    m_plannedAt = {};
    m_loads.clear();
    m_renewers.forgetAnswers();
    // Waits for previous owners start anew: what an earlier planner waited is not known here.
    m_moves.clear();
    for (const auto &[service, held] : m_held)
        m_moves.setAssignment(held.assignment, held.version, now);
}

bool KeyCoordinator::mayCommit(const ServiceName &service, Instant now) const
{
    // While the lease is being renewed, the version that a commit would be bound to is changing.
    if (m_committing.contains(service) || m_lease.isWriting())
        return false;
    const auto again = m_commitAgainAt.find(service);
    return again == m_commitAgainAt.end() || now >= again->second;
}

std::optional<KeyAssignment> KeyCoordinator::nextAssignment(const ServiceName &service,
                                                            const ServerDirectory &servers,
                                                            bool isRoundDue, Instant now)
{
    if (auto settled = m_moves.settled(service, servers, m_renewers, m_seenVersion, now))
        return settled;
    if (!isRoundDue)
        return std::nullopt;
    KeyAssignment current;
    current.service = service;
    if (const KeyAssignment *known = assignment(service))
        current = *known;
    else if (!isRegistrationQuiet(service, servers, now))
        return std::nullopt;
    const auto load = m_loads.find(service);
    const KeyTraffic traffic = load == m_loads.end() ? KeyTraffic{} : load->second.traffic(now);
    return KeyPlanner::plan(current, readyServers(service, servers, now), traffic);
}

std::vector<KeyServer> KeyCoordinator::readyServers(const ServiceName &service,
                                                    const ServerDirectory &servers,
                                                    Instant now) const
{
    const auto load = m_loads.find(service);
    std::vector<KeyServer> ready;
    for (const auto &[id, server] : servers.servers()) {
        if (server.record.service != service || !server.isReady())
            continue;
        if (!m_renewal.isConnected(id) && now - server.firstSeen < connectPatience)
            continue;
        const Duration time =
            load == m_loads.end() ? ServiceLoad::defaultWorkTime : load->second.workTime(id);
        double capacity = server.record.slots / std::chrono::duration<double>(time).count();
        if (server.record.coldRemaining > Duration::zero())
            capacity *= coldCapacity;
        ready.push_back({id, capacity});
    }
    return ready;
}

} // namespace bulrush

#include "process/keycoordinator.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

bool isRegistrationQuiet(const ServiceName &service, const ServerDirectory &servers, Instant now)
{
    return std::ranges::none_of(servers.servers(), [&](const auto &entry) {
        return entry.second.record.service == service
            && now - entry.second.firstSeen < KeyCoordinator::registrationQuietPeriod;
    });
}

} // namespace

KeyCoordinator::KeyCoordinator(const DaemonIdentity &self, Instant start, const KeyTimings &timings)
    : m_self(self)
    , m_lease(self.incarnation, self.address, self.takeoverDelay)
    , m_renewal(self.domain, timings)
    , m_renewers(timings)
    , m_grants(start, timings.grantCall)
    , m_recovery(timings)
    , m_start(start)
    , m_registerBackoff(registerRetryDelay, maxRegisterBackoff, self.host.value())
    , m_removeBackoff(removeRetryDelay, maxRemoveBackoff, self.host.value())
{ }

void KeyCoordinator::applyPlannerRow(const StoreVersion &version, const PlannerRow &row,
                                     Instant now)
{
    m_lease.applyRow(version, row, now);
}

bool KeyCoordinator::applyAssignment(const KeyAssignment &assignment, const StoreVersion &version,
                                     Instant now)
{
    if (!m_assignments.applyRow(assignment, version))
        return false;
    followAssignment(assignment, now);
    return true;
}

/** Makes \a assignment, the latest of its service, the one to renew and to move keys by. */
void KeyCoordinator::followAssignment(const KeyAssignment &assignment, Instant now)
{
    m_renewal.setAssignment(assignment);
    m_moves.setAssignment(assignment, m_assignments.rowVersion(assignment.service), now);
}

void KeyCoordinator::applyDaemonRow(const HostName &host, const StoreVersion &version,
                                    const std::optional<DaemonRow> &row, Instant now)
{
    if (row)
        m_renewers.applyRow(host, *row, version);
    else
        m_renewers.applyRowRemoval(host, now);
    if (host != m_self.host || m_isRegistering)
        return;
    const bool isOwn = row && row->incarnation == m_self.incarnation;
    if (row && !isOwn)
        m_lease.recordEarlierRun(row->incarnation);
    m_ownVersion = isOwn ? version : StoreVersion{};
}

void KeyCoordinator::markRowsApplied(const StoreVersion &version, Instant now)
{
    if (!m_hasRows || version.era > m_appliedVersion.era)
        m_eraSince = now;
    if (m_hasRows && version.era > m_appliedVersion.era)
        enterEra(version.era);
    m_hasRows = true;
    m_appliedVersion = std::max(m_appliedVersion, version);
    if (areAssignmentsConfirmed() && m_lease.version() > m_confirmedPlannerVersion) {
        m_confirmedPlanner = m_lease.row().holder;
        m_confirmedPlannerVersion = m_lease.version();
    }
}

/** Handles that the store was restored, and that all of its rows have been applied since. */
void KeyCoordinator::enterEra(std::uint64_t era)
{
    m_assignments.enterEra(era);
    if (m_ownVersion.era < era)
        m_ownVersion = {};
}

bool KeyCoordinator::areAssignmentsConfirmed() const
{
    return m_assignments.areConfirmed();
}

void KeyCoordinator::recordStoreAnswer(Instant givenAt)
{
    if (areAssignmentsConfirmed())
        m_renewal.recordStoreAnswer(givenAt);
}

void KeyCoordinator::recordServerRecords(Instant confirmedAt)
{
    m_renewal.recordServerRecords(confirmedAt);
}

void KeyCoordinator::handlePlannerRowResult(RowWriteResult result, const StoreVersion &version,
                                            Instant now)
{
    m_lease.handleWriteResult(result, version, now);
}

bool KeyCoordinator::handleCommitResult(const KeyAssignment &next, RowWriteResult result,
                                        const StoreVersion &version, Instant now)
{
    m_committing.erase(next.service);
    // The commit failed or may have been carried out: plan again from the row that the store feed
    // delivers.
    if (result != RowWriteResult::Done) {
        m_commitRetryAt[next.service] = now + commitRetryDelay;
        return false;
    }
    m_commitRetryAt.erase(next.service);
    return applyAssignment(next, version, now);
}

void KeyCoordinator::released(const SendRelease &release, std::string handover, Instant now)
{
    m_moves.released(release.service, release.owned, std::move(handover), now);
}

void KeyCoordinator::recordGrantSent(const SendGrant &grant, Instant now)
{
    m_grants.recordSent(grant.owned.owner, now);
}

std::vector<ServerName> KeyCoordinator::serversToConnect(const ServerDirectory &servers,
                                                         std::span<const ServiceName> keyed) const
{
    std::vector<ServerName> wanted;
    for (const auto &[id, server] : servers.servers()) {
        const bool isKeyed = std::ranges::find(keyed, server.record.service) != keyed.end();
        if (isKeyed && m_renewal.shouldRenew(server))
            wanted.push_back(id);
    }
    return wanted;
}

void KeyCoordinator::recordConnection(const ServerName &server, Instant now)
{
    m_renewal.recordConnection(server, now);
}

void KeyCoordinator::recordConnectionLost(const ServerName &server)
{
    m_renewal.recordConnectionLost(server);
}

void KeyCoordinator::recordGranted(const SendGrant &grant, Instant now)
{
    m_renewal.recordGranted(grant.owned.owner, now);
}

void KeyCoordinator::recordGrantResult(const SendGrant &grant, bool mayHaveArrived, Instant now)
{
    m_grants.recordResult(grant.owned.owner, mayHaveArrived, now);
}

void KeyCoordinator::handleDaemonRowResult(RowWriteResult result, const StoreVersion &version,
                                           Instant now)
{
    m_isRegistering = false;
    if (result != RowWriteResult::Done) {
        m_registerBackoff.failed(now);
        return;
    }
    m_registerBackoff.succeeded();
    // A restore of the store may have undone a write of an earlier era.
    if (!m_isLeaving && version.era >= m_appliedVersion.era)
        m_ownVersion = version;
}

void KeyCoordinator::handleRemovalResult(RowWriteResult result, Instant now)
{
    m_isRemoving = false;
    if (result == RowWriteResult::Done)
        m_removeBackoff.succeeded();
    else
        m_removeBackoff.failed(now);
}

RenewerAnswer KeyCoordinator::makeRenewerAnswer(const ServiceName &service,
                                                std::span<const ServerName> servers,
                                                Instant now) const
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

void KeyCoordinator::recordRenewerAnswer(const RenewerAnswer &answer, Instant now)
{
    m_renewers.recordAnswer(answer, now);
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
    if (m_isPlanning && now - m_keySharesAt < sharesInterval)
        return m_keyShares;
    m_keySharesAt = now;
    m_keyShares.clear();
    if (!m_isPlanning)
        return m_keyShares;
    for (auto &[service, load] : m_loads) {
        const KeyAssignment *known = assignment(service);
        if (!known)
            continue;
        ServiceAdmission::Decision decision = ServiceAdmission::decide(
            *known, readyServers(service, servers, now), load.admissionTraffic(now));
        addLimitChanges(m_limitedOwners.update(service, decision.limited, now));
        if (!decision.shares.isEmpty())
            m_keyShares.push_back(std::move(decision.shares));
    }
    return m_keyShares;
}

LimitedOwners::Update KeyCoordinator::takeLimitChanges()
{
    return std::exchange(m_limitChanges, {});
}

void KeyCoordinator::addLimitChanges(LimitedOwners::Update update)
{
    for (OwnerLimitChange &change : update.changes)
        m_limitChanges.add(std::move(change));
    m_limitChanges.omittedCount += update.omittedCount;
}

void KeyCoordinator::setCutOff(bool isCutOff)
{
    m_lease.setYielding(isCutOff);
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
    updatePlanning(now);
    if (m_isPlanning && mayLackAssignments(keyed))
        addAssignmentQueries(now, actions);
    if (m_isPlanning && !areAssignmentsConfirmed())
        addRecoveryActions(now, actions);
    else if (m_isPlanning)
        addPlannerActions(servers, keyed, now, actions);
    if (isRegistered()) {
        for (SendGrant &grant : m_renewal.due(servers, now))
            actions.emplace_back(std::move(grant));
    }
    return actions;
}

/** A daemon renews only while it has a row, and once it has applied all rows up to that version. */
bool KeyCoordinator::isRegistered() const
{
    return !m_isLeaving && m_ownVersion.number > 0 && m_appliedVersion >= m_ownVersion;
}

std::optional<WriteDaemonRow> KeyCoordinator::dueRegistration(Instant now)
{
    if (!m_hasRows || m_isRegistering || (m_ownVersion.number > 0) != m_isLeaving)
        return std::nullopt;
    if (!m_registerBackoff.isOver(now))
        return std::nullopt;
    m_isRegistering = true;
    if (m_isLeaving)
        return WriteDaemonRow{std::exchange(m_ownVersion, {}).number, std::nullopt};
    // A removed row stays in the registry for a while, but cannot be replaced.
    const auto known = m_renewers.renewers().find(m_self.host);
    const bool hasRow = known != m_renewers.renewers().end() && !known->second.removedSince;
    return WriteDaemonRow{hasRow ? known->second.version.number : 0,
                          DaemonRow{m_self.incarnation, m_self.address, m_self.domain,
                                    m_self.processors, m_self.relayAddress}};
}

/** \returns the removal of the rows of lost daemons, if one is due. */
std::optional<RemoveDaemonRows> KeyCoordinator::dueRemoval(Instant now)
{
    m_renewers.recordCheck(now);
    // A removal is conditional on the row version of the lease, which a renewal in flight changes.
    if (m_isRemoving || m_lease.isWriting() || !m_removeBackoff.isOver(now))
        return std::nullopt;
    RemoveDaemonRows removal{{}, m_lease.version().number};
    for (const Renewer &lost : m_renewers.lost(now)) {
        if (removal.rows.size() < maxRowsPerRemoval)
            removal.rows.push_back({lost.host, lost.version.number});
    }
    if (removal.rows.empty())
        return std::nullopt;
    m_isRemoving = true;
    return removal;
}

void KeyCoordinator::addPlannerActions(const ServerDirectory &servers,
                                       std::span<const ServiceName> keyed, Instant now,
                                       std::vector<KeyAction> &actions)
{
    for (SendRelease &release : m_moves.dueReleases(servers, now))
        actions.emplace_back(std::move(release));
    for (QueryRenewer &query : m_moves.dueQueries(servers, m_renewers, now)) {
        if (query.renewer.host == m_self.host) {
            m_renewers.recordAnswer(makeRenewerAnswer(query.service, query.servers, now), now);
            continue;
        }
        m_renewers.recordQuery(query.renewer.host, now);
        actions.emplace_back(std::move(query));
    }
    m_renewers.removeExpired(now);
    if (auto removal = dueRemoval(now))
        actions.emplace_back(std::move(*removal));
    const bool isRoundDue = now - m_plannedAt >= planInterval;
    if (isRoundDue)
        m_plannedAt = now;
    for (const ServiceName &service : keyed) {
        if (!mayCommit(service, now))
            continue;
        auto next = nextAssignment(service, servers, isRoundDue, now);
        if (!next)
            continue;
        m_committing.insert(service);
        actions.emplace_back(commitOf(std::move(*next)));
    }
}

CommitKeyAssignment KeyCoordinator::commitOf(KeyAssignment next) const
{
    next.era = m_lease.version().era;
    const std::uint64_t expected = assignmentVersion(next.service).number;
    return {std::move(next), expected, m_lease.version().number};
}

/** \returns whether other daemons may know later assignments, as the store may have lost some. */
bool KeyCoordinator::mayLackAssignments(std::span<const ServiceName> keyed) const
{
    // A store that names no era is never restored.
    if (m_appliedVersion.era == 0)
        return false;
    return !areAssignmentsConfirmed()
        || std::ranges::any_of(keyed,
                               [this](const ServiceName &service) { return !assignment(service); });
}

void KeyCoordinator::addAssignmentQueries(Instant now, std::vector<KeyAction> &actions)
{
    const AssignmentSequences known = m_assignments.sequences();
    for (Renewer &renewer : m_recovery.dueQueries(m_renewers, now)) {
        if (renewer.host == m_self.host)
            recordRemembered(remembered(known, now), now);
        else
            actions.emplace_back(QueryAssignments{std::move(renewer), known});
    }
}

/** Writes the assignments again that a restored store lacks, once the latest ones are known. */
void KeyCoordinator::addRecoveryActions(Instant now, std::vector<KeyAction> &actions)
{
    // A commit was executed after another restore, whose rows have not been applied yet.
    if (m_assignments.hasRowsAfter(m_appliedVersion.era))
        return;
    const EraRecovery::Step step = m_recovery.step(m_renewers, now);
    if (step == EraRecovery::Step::Wait)
        return;
    for (const ServiceName &service : m_assignments.unconfirmed()) {
        if (!mayCommit(service, now))
            continue;
        m_committing.insert(service);
        actions.emplace_back(commitOf(recoveredAssignment(*assignment(service), step)));
    }
}

KeyAssignment KeyCoordinator::recoveredAssignment(const KeyAssignment &latest,
                                                  EraRecovery::Step step) const
{
    KeyAssignment next = latest;
    next.sequence = firstSequenceOf(m_lease.version().era, latest);
    if (step != EraRecovery::Step::RaiseFences)
        return next;
    // Servers may have seen the fencing tokens of an unknown assignment, and refuse lower ones.
    for (OwnedRange &owned : next.ranges)
        owned.fence = next.sequence;
    return next;
}

RememberedAssignments KeyCoordinator::remembered(const AssignmentSequences &known,
                                                 Instant now) const
{
    return {m_self.host,        m_self.incarnation,        now - m_start,
            m_confirmedPlanner, m_confirmedPlannerVersion, m_assignments.laterThan(known)};
}

void KeyCoordinator::recordRemembered(const RememberedAssignments &answer, Instant now)
{
    if (!m_isPlanning)
        return;
    m_recovery.recordAnswer(answer, now);
    for (const KeyAssignment &assignment : answer.assignments) {
        if (m_assignments.applyRemembered(assignment, m_appliedVersion.era))
            followAssignment(assignment, now);
    }
}

bool KeyCoordinator::isStillDue(const SendGrant &grant, const ServerDirectory &servers,
                                Instant now) const
{
    const KnownServer *server = servers.find(grant.owned.owner);
    if (!server || server->removedSince)
        return false;
    const KeyAssignment *known = assignment(grant.service);
    if (!known || !isRegistered() || !m_renewal.mayGrant(grant.service, grant.owned, now))
        return false;
    const OwnedRange *current = known->find(grant.owned.range.first);
    return current && *current == grant.owned;
}

const KeyAssignment *KeyCoordinator::assignment(const ServiceName &service) const
{
    return m_assignments.find(service);
}

StoreVersion KeyCoordinator::assignmentVersion(const ServiceName &service) const
{
    return m_assignments.rowVersion(service);
}

void KeyCoordinator::updatePlanning(Instant now)
{
    // Rows of an earlier era do not show what the store holds since it was restored.
    const bool isCurrent = m_hasRows && m_lease.version().era == m_appliedVersion.era;
    const bool isHeld = isCurrent && m_lease.isHeld(now);
    if (std::exchange(m_isPlanning, isHeld) == isHeld)
        return;
    m_renewal.setPlanner(isHeld);
    m_plannedAt = {};
    m_loads.clear();
    m_limitedOwners.clear();
    m_renewers.clearAnswers();
    m_recovery.begin(m_eraSince, now);
    // Restart all waits for previous owners: it is unknown how long an earlier planner has waited.
    m_moves.clear();
    for (const KeyAssignment *known : m_assignments.all())
        m_moves.setAssignment(*known, assignmentVersion(known->service), now);
}

bool KeyCoordinator::mayCommit(const ServiceName &service, Instant now) const
{
    // A commit is conditional on the row version of the lease, which a renewal in flight changes.
    if (m_committing.contains(service) || m_lease.isWriting())
        return false;
    const auto retryAt = m_commitRetryAt.find(service);
    return retryAt == m_commitRetryAt.end() || now >= retryAt->second;
}

std::optional<KeyAssignment> KeyCoordinator::nextAssignment(const ServiceName &service,
                                                            const ServerDirectory &servers,
                                                            bool isRoundDue, Instant now)
{
    if (auto settled = m_moves.settled(service, servers, m_renewers, m_appliedVersion, now))
        return settled;
    if (!isRoundDue)
        return std::nullopt;
    KeyAssignment current;
    current.service = service;
    if (const KeyAssignment *known = assignment(service))
        current = *known;
    else if (!isRegistrationQuiet(service, servers, now)
             || (m_appliedVersion.era > 0 && !m_recovery.areAnswersIn(m_renewers, now)))
        return std::nullopt;
    else
        current.sequence = firstSequenceOf(m_appliedVersion.era, {}) - 1;
    const auto load = m_loads.find(service);
    const KeyTraffic traffic = load == m_loads.end() ? KeyTraffic{} : load->second.traffic(now);
    return raiseFences(current,
                       KeyPlanner::plan(current, readyServers(service, servers, now), traffic),
                       servers, now);
}

/**
 * Raises the fencing tokens of ranges whose owners can't be renewed in time otherwise. \returns
 * \a next, or an assignment to replace \a current if there is no next one, with these tokens.
 */
std::optional<KeyAssignment> KeyCoordinator::raiseFences(const KeyAssignment &current,
                                                         std::optional<KeyAssignment> next,
                                                         const ServerDirectory &servers,
                                                         Instant now) const
{
    KeyAssignment raised = next ? *next : current;
    if (!next)
        ++raised.sequence;
    bool hasRaised = false;
    for (OwnedRange &owned : raised.ranges) {
        const KnownServer *server = servers.find(owned.owner);
        if (!server || server->removedSince
            || !m_renewal.needsHigherFence(current.service, owned, now))
            continue;
        owned.fence = raised.sequence;
        hasRaised = true;
    }
    return hasRaised ? std::optional{std::move(raised)} : std::move(next);
}

/** \returns the owners of keys that are to have none because they asked for pauses. */
std::set<ServerName> KeyCoordinator::serversBackingOff(const ServiceName &service, Instant now)
{
    const auto load = m_loads.find(service);
    const KeyAssignment *known = assignment(service);
    if (load == m_loads.end() || !known || !load->second.hasBackoffs())
        return {};
    const RateSums rates{load->second.traffic(now).rates};
    std::map<ServerName, double> demand;
    for (const OwnedRange &owned : known->ranges)
        demand[owned.owner] += rates.of(owned.range);
    return load->second.serversBackingOff(demand, now);
}

std::vector<KeyServer> KeyCoordinator::readyServers(const ServiceName &service,
                                                    const ServerDirectory &servers, Instant now)
{
    const std::set<ServerName> backingOff = serversBackingOff(service, now);
    const auto load = m_loads.find(service);
    std::vector<KeyServer> ready;
    std::vector<KeyServer> cold;
    std::vector<KeyServer> excluded;
    for (const auto &[id, server] : servers.servers()) {
        if (server.record.service != service || !server.isReady())
            continue;
        if (!m_renewal.isConnected(id) && now - server.firstSeen < connectTimeout)
            continue;
        const Duration time =
            load == m_loads.end() ? ServiceLoad::defaultWorkTime : load->second.workTime(id);
        double capacity = server.record.slots / std::chrono::duration<double>(time).count();
        const auto limit = load == m_loads.end() ? std::nullopt : load->second.limitOf(id, now);
        if (server.coldRate > 0.0 && server.isCold(now - warmNoticePeriod)) {
            cold.push_back({id, std::min(capacity, server.coldRate), limit});
            continue;
        }
        if (server.record.coldRemaining > Duration::zero())
            capacity *= coldCapacityFactor;
        const bool isRecovered = load != m_loads.end() && load->second.isRecovered(id, now);
        (backingOff.contains(id) ? excluded : ready).push_back({id, capacity, limit, isRecovered});
    }
    const auto known = static_cast<double>(ready.size() + excluded.size());
    if (static_cast<double>(excluded.size()) > maxExcludedBackoffFraction * known)
        ready.insert(ready.end(), excluded.begin(), excluded.end());
    const auto total = static_cast<double>(ready.size() + cold.size());
    if (static_cast<double>(cold.size()) > maxExcludedColdFraction * total)
        ready.insert(ready.end(), cold.begin(), cold.end());
    return ready;
}

} // namespace bulrush

#include "keycontrol.h"

#include "connection/transporterror.h"
#include "peerpaths.h"
#include "platform/keyorders.h"
#include "platform/requestfields.h"
#include "platform/tables.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "rowwriteresults.h"
#include "version/keyassignmentcodec.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** The planner's lease and the assignments share a table, so that one commit can check both. */
constexpr std::string_view plannerKey = "planner";
constexpr std::string_view assignmentPrefix = "service/";
constexpr std::string_view daemonPrefix = "daemon/";

/**
 * A change ends the wait. Confirmations limit the age of the store's last answer, when nothing
 * fails, to well below the duration of the right to renew. Commits within the pause are returned in
 * one answer.
 */
constexpr FollowTimings ownershipTimings{std::chrono::seconds{10}, std::chrono::milliseconds{100},
                                         std::chrono::milliseconds{1000}};

/** Interval at which connections to servers that have none are tried. */
constexpr Duration connectInterval = std::chrono::milliseconds{250};

std::string assignmentKey(const ServiceName &service)
{
    return std::string{assignmentPrefix} + service.value();
}

std::string daemonKey(const HostName &host)
{
    return std::string{daemonPrefix} + host.value();
}

std::string errorText(std::error_code error)
{
    return error ? error.message() : "none";
}

std::string toText(const KeyRange &range)
{
    return std::to_string(range.first) + '-' + std::to_string(range.last);
}

std::string_view outcomeName(platform::GrantAnswer answer)
{
    switch (answer) {
    case platform::GrantAnswer::Granted:
        return "granted";
    case platform::GrantAnswer::Outdated:
        return "outdated";
    case platform::GrantAnswer::Refused:
        return "refused";
    case platform::GrantAnswer::Replaced:
        return "replaced";
    case platform::GrantAnswer::NoAnswer:
        break;
    }
    return "no-answer";
}

std::vector<ServiceName> keyedServices(const StatePublisher &state)
{
    std::vector<ServiceName> services;
    if (!state.isComplete())
        return services;
    for (const RoutedService &service : state.routes()->config().services) {
        if (service.isDividedByKey)
            services.push_back(service.name);
    }
    return services;
}

void logGrant(const SendGrant &grant, platform::GrantAnswer answer)
{
    if (answer == platform::GrantAnswer::Granted)
        return;
    io::logEvent(LogLevel::Warning, "grant-failed",
                 {{"server", grant.owned.owner.value()},
                  {"keys", toText(grant.owned.range)},
                  {"fence", std::to_string(grant.owned.fence)},
                  {"outcome", std::string{outcomeName(answer)}}});
}

/** Logs what a daemon remembers of the time before the store was restored. */
void logRemembered(const RememberedAssignments &answer)
{
    std::string sequences;
    for (const KeyAssignment &assignment : answer.assignments)
        sequences += (sequences.empty() ? "" : ",") + assignment.service.value() + ':'
            + std::to_string(assignment.sequence);
    io::logEvent(LogLevel::Info, "assignments-remembered",
                 {{"by", answer.host.value()},
                  {"later", sequences.empty() ? "none" : sequences},
                  {"planner", answer.planner.value()},
                  {"planner-row", toString(answer.plannerVersion)},
                  {"uptime-ms", io::millisecondsText(answer.uptime)}});
}

} // namespace

KeyControl::KeyControl(Dependencies deps, const DaemonIdentity &self, const KeyTimings &timings)
    : m_deps(deps)
    , m_host(self.host)
    , m_coordinator(self, io::hostNow(), timings)
    , m_ownership(deps.follow, std::string{platform::ownershipTable}, ownershipTimings)
{ }

void KeyControl::start()
{
    m_deps.servers.setConnectionEventHandler(
        [this](const std::string &run, io::ServerClient::ConnectionEvent event) {
            handleConnectionEvent(run, event);
        });
    // Connects to a new server before keys are planned for it.
    m_deps.state.setServersHandler([this] { connectServers(); });
    // Its rows list the daemons, which FollowPlan needs to select a source for the other tables.
    m_ownership.startWithStore(
        [this](const TableChange &change) { applyRows(change); },
        [this](Instant givenAt) { m_coordinator.recordStoreAnswer(givenAt); });
}

void KeyControl::setChangeHandler(ChangeHandler handler)
{
    m_changeHandler = std::move(handler);
}

void KeyControl::resign()
{
    m_coordinator.resign();
    advance(io::hostNow());
}

void KeyControl::setCutOff(bool isCutOff)
{
    m_coordinator.setCutOff(isCutOff);
}

std::optional<Endpoint> KeyControl::plannerAddress() const
{
    const PlannerRow &row = m_coordinator.lease().row();
    if (isPlanning() || row.holder.isEmpty())
        return std::nullopt;
    return row.address;
}

std::vector<Endpoint> KeyControl::peers() const
{
    std::vector<Endpoint> addresses;
    for (const auto &[host, renewer] : m_coordinator.renewers().renewers()) {
        if (host != m_host && !renewer.removedSince)
            addresses.push_back(renewer.row.address);
    }
    return addresses;
}

std::vector<HostName> KeyControl::hosts() const
{
    std::vector<HostName> hosts;
    for (const auto &[host, renewer] : m_coordinator.renewers().renewers()) {
        if (!renewer.removedSince)
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<Renewer> KeyControl::daemons() const
{
    std::vector<Renewer> daemons;
    for (const auto &[host, renewer] : m_coordinator.renewers().renewers()) {
        if (!renewer.removedSince)
            daemons.push_back(renewer);
    }
    return daemons;
}

RenewerAnswer KeyControl::answer(const io::RenewalQuery &question)
{
    const Instant now = io::hostNow();
    const auto &received = question.assignment;
    if (received && m_coordinator.applyAssignment(*received, question.version, now))
        m_deps.state.setAssignment(*received);
    return m_coordinator.makeRenewerAnswer(question.service, question.servers, now);
}

RememberedAssignments KeyControl::remembered(const AssignmentSequences &known) const
{
    return m_coordinator.remembered(known, io::hostNow());
}

const TableFollower *KeyControl::follower(std::string_view table) const
{
    return table == m_ownership.table() ? &m_ownership : nullptr;
}

bool KeyControl::areRowsFollowed() const
{
    return m_ownership.hasRows() && !m_ownership.isFailing();
}

bool KeyControl::isStoreReached() const
{
    return m_ownership.hasRows() && !m_deps.follow.plan.isStoreFailing();
}

void KeyControl::addLoads(std::span<const LoadSample> samples)
{
    m_coordinator.addLoads(samples, io::hostNow());
    for (const LoadSample &sample : samples) {
        for (const ServerName &server : sample.ended)
            m_deps.state.recordServerStopped(server);
        for (const ServerName &server : sample.leaving)
            m_deps.state.recordServerLeaving(server);
    }
}

const std::vector<KeyShares> &KeyControl::keyShares()
{
    const auto &shares = m_coordinator.keyShares(m_deps.state.directory(), io::hostNow());
    logLimitChanges();
    return shares;
}

void KeyControl::logLimitChanges()
{
    const LimitedOwners::Update update = m_coordinator.takeLimitChanges();
    for (const OwnerLimitChange &change : update.changes) {
        std::vector<io::LogField> fields{{"service", change.service.value()},
                                         {"server", change.owner.value()}};
        if (!change.isLimited)
            fields.push_back({"lasted-ms", io::millisecondsText(change.lasted)});
        io::logEvent(LogLevel::Info, change.isLimited ? "owner-limited" : "owner-unlimited",
                     fields);
    }
    if (update.omittedCount > 0)
        io::logEvent(LogLevel::Info, "owner-limits-omitted",
                     {{"changes", std::to_string(update.omittedCount)}});
}

void KeyControl::advance(Instant now)
{
    if (now - m_connectCheckedAt >= connectInterval) {
        m_connectCheckedAt = now;
        connectServers();
    }
    m_coordinator.recordServerRecords(m_deps.state.serversConfirmedAt());
    const std::vector<KeyAction> actions =
        m_coordinator.advance(m_deps.state.directory(), keyedServices(m_deps.state), now);
    logPlannerChange();
    for (const KeyAction &action : actions)
        std::visit([this](const auto &known) { execute(known); }, action);
}

void KeyControl::applyRows(const TableChange &change)
{
    const Instant now = io::hostNow();
    bool hasPlanner = false;
    for (const platform::StoreRow &row : change.rows) {
        if (row.key == plannerKey) {
            const std::optional<PlannerRow> planner = io::decodePlannerRow(row.value);
            m_coordinator.applyPlannerRow(row.version, planner.value_or(PlannerRow{}), now);
            hasPlanner = true;
        } else if (row.key.starts_with(assignmentPrefix) && !row.isRemoved) {
            applyAssignment(row, now);
        } else if (row.key.starts_with(daemonPrefix)) {
            applyDaemonRow(row, now);
        }
    }
    if (change.isComplete)
        applyMissingRows(change, hasPlanner, now);
    m_coordinator.markRowsApplied(change.version, now);
    std::vector<Renewer> daemons;
    std::vector<DaemonLocation> locations;
    std::vector<RelayDaemon> relays;
    for (const auto &[host, renewer] : m_coordinator.renewers().renewers()) {
        daemons.push_back(renewer);
        if (renewer.removedSince)
            continue;
        locations.push_back({host, renewer.row.domain});
        if (host != m_host && renewer.row.relayAddress.port != 0)
            relays.push_back(
                {host, renewer.row.domain, renewer.row.relayAddress, renewer.row.processors});
    }
    m_deps.follow.plan.setDaemons(daemons);
    m_deps.state.setDaemons(std::move(locations), std::move(relays));
    if (m_changeHandler)
        m_changeHandler(change);
    advance(now);
}

void KeyControl::applyAssignment(const platform::StoreRow &row, Instant now)
{
    const std::optional<KeyAssignment> assignment = io::decodeAssignment(row.value);
    if (!assignment)
        io::logEvent(LogLevel::Error, "assignment-unreadable", {{"row", row.key}});
    else if (m_coordinator.applyAssignment(*assignment, row.version, now))
        m_deps.state.setAssignment(*assignment);
}

void KeyControl::applyDaemonRow(const platform::StoreRow &row, Instant now)
{
    const HostName host{row.key.substr(daemonPrefix.size())};
    std::optional<DaemonRow> daemon;
    if (!row.isRemoved)
        daemon = io::decodeDaemonRow(row.value);
    m_coordinator.applyDaemonRow(host, row.version, daemon, now);
}

/** Treats rows that are missing from the complete table as removed. */
void KeyControl::applyMissingRows(const TableChange &change, bool hasPlanner, Instant now)
{
    if (!hasPlanner)
        m_coordinator.applyPlannerRow({change.version.era, 0}, {}, now);
    std::vector<HostName> known;
    for (const auto &[host, renewer] : m_coordinator.renewers().renewers())
        known.push_back(host);
    for (const HostName &host : known) {
        if (std::ranges::find(change.rows, daemonKey(host), &platform::StoreRow::key)
            == change.rows.end())
            m_coordinator.applyDaemonRow(host, change.version, std::nullopt, now);
    }
}

void KeyControl::execute(const WritePlannerRow &action)
{
    platform::StoreCommit commit{std::string{platform::ownershipTable}, {}};
    commit.writes.push_back({std::string{plannerKey}, action.write.expectedVersion,
                             io::encodePlannerRow(action.write.row)});
    m_deps.follow.store.commit(commit, [this](const platform::CommitOutcome &outcome) {
        const Instant now = io::hostNow();
        m_coordinator.handlePlannerRowResult(rowWriteResultOf(outcome.error), outcome.version, now);
        advance(now);
    });
}

void KeyControl::execute(const CommitKeyAssignment &action)
{
    platform::StoreCommit commit{std::string{platform::ownershipTable}, {}};
    // This condition prevents commits by a daemon that has lost the planner's lease.
    commit.writes.push_back(
        {std::string{plannerKey}, action.plannerVersion, {}, platform::RowChange::None});
    commit.writes.push_back({assignmentKey(action.next.service), action.expectedVersion,
                             io::encodeAssignment(action.next)});
    m_deps.follow.store.commit(commit,
                               [this, next = action.next](const platform::CommitOutcome &outcome) {
                                   handleCommitResult(next, outcome);
                               });
}

void KeyControl::handleCommitResult(const KeyAssignment &next,
                                    const platform::CommitOutcome &outcome)
{
    const Instant now = io::hostNow();
    const auto moving = std::ranges::count_if(next.ranges, &OwnedRange::isMoving);
    io::logEvent(LogLevel::Info,
                 outcome.error ? "assignment-not-committed" : "assignment-committed",
                 {{"service", next.service.value()},
                  {"sequence", std::to_string(next.sequence)},
                  {"ranges", std::to_string(next.ranges.size())},
                  {"moving", std::to_string(moving)},
                  {"row", toString(outcome.version)},
                  {"error", errorText(outcome.error)}});
    if (m_coordinator.handleCommitResult(next, rowWriteResultOf(outcome.error), outcome.version,
                                         now))
        m_deps.state.setAssignment(next);
    advance(now);
}

void KeyControl::execute(const SendGrant &action)
{
    const auto [queue, isFree] = m_grants.try_emplace(action.address);
    if (std::ranges::find(queue->second, action.owned, &SendGrant::owned) != queue->second.end())
        return;
    queue->second.push_back(action);
    if (isFree)
        sendNextGrant(action.address);
}

/** Sends one call at a time to each server, so that one persistent connection is enough. */
void KeyControl::sendNextGrant(const Endpoint &address)
{
    std::vector<SendGrant> &queue = m_grants[address];
    const Instant now = io::hostNow();
    const ServerDirectory &servers = m_deps.state.directory();
    while (!queue.empty() && !m_coordinator.isStillDue(queue.front(), servers, now))
        queue.erase(queue.begin());
    if (queue.empty()) {
        m_grants.erase(address);
        return;
    }
    const SendGrant grant = queue.front();
    queue.erase(queue.begin());
    io::ServerCall call = platform::grantCall(address, grant.owned, KeyTimings{}.hold);
    call.timeout = KeyTimings{}.grantCall;
    call.acknowledgeTimeout = KeyTimings{}.grantCall;
    // The call may have to use a new connection, which may lead to another run of the server.
    call.confirmSend = [this, grant] {
        return m_coordinator.isStillDue(grant, m_deps.state.directory(), io::hostNow());
    };
    m_coordinator.recordGrantSent(grant, now);
    m_deps.servers.send(std::move(call), [this, grant](const io::HttpResult &result) {
        handleGrantResult(grant, result);
        sendNextGrant(grant.address);
    });
}

void KeyControl::handleGrantResult(const SendGrant &grant, const io::HttpResult &result)
{
    const platform::GrantAnswer answer = platform::decodeGrantAnswer(result);
    const bool isReplaced = answer == platform::GrantAnswer::Replaced;
    const bool wasReached = result.stage != io::TransferStage::NotConnected && !isReplaced;
    m_coordinator.recordGrantResult(grant, wasReached, io::hostNow());
    // This must precede the next grant to the server, which uses a new connection. A withdrawn
    // call leaves its connection open.
    if (result.error && result.error != io::TransportError::CallWithdrawn)
        m_coordinator.recordConnectionLost(grant.owned.owner);
    if (answer == platform::GrantAnswer::Granted)
        m_coordinator.recordGranted(grant, io::hostNow());
    logGrant(grant, answer);
    // The server's record expires later; its keys can be reassigned before that.
    if (isReplaced)
        m_deps.state.recordServerStopped(grant.owned.owner);
    else if (!result.error && platform::isLeaving(result.response.headers))
        m_deps.state.recordServerLeaving(grant.owned.owner);
}

void KeyControl::handleConnectionEvent(const std::string &run,
                                       io::ServerClient::ConnectionEvent event)
{
    if (run.empty())
        return; // the connection is to the store or to another daemon
    if (event == io::ServerClient::ConnectionEvent::Connected)
        m_coordinator.recordConnection(ServerName{run}, io::hostNow());
    else
        m_coordinator.recordConnectionLost(ServerName{run});
}

/** Opens connections in advance, as grants use existing connections only, see KeyRenewal. */
void KeyControl::connectServers()
{
    const ServerDirectory &servers = m_deps.state.directory();
    for (const ServerName &id :
         m_coordinator.serversToConnect(servers, keyedServices(m_deps.state))) {
        io::ServerCall connectCall;
        connectCall.server = servers.find(id)->record.address;
        connectCall.run = id.value();
        connectCall.acknowledgeTimeout = KeyTimings{}.grantCall;
        m_deps.servers.ensureConnected(connectCall);
    }
}

void KeyControl::execute(const SendRelease &action)
{
    io::ServerCall call = platform::releaseCall(action.address, action.owned.previous,
                                                action.owned.range, action.owned.fence);
    call.timeout = releaseTimeout;
    call.acknowledgeTimeout = KeyTimings{}.grantCall;
    m_deps.servers.send(std::move(call), [this, action](const io::HttpResult &result) {
        handleReleaseResult(action, result);
    });
}

void KeyControl::execute(const QueryRenewer &action)
{
    const KeyAssignment *known = m_coordinator.assignment(action.service);
    if (!known)
        return;
    io::ServerCall call;
    call.server = action.renewer.row.address;
    call.method = "POST";
    call.target = grantsPath;
    call.headers = {{"Host", toString(call.server)}};
    io::RenewalQuery question{action.service, std::nullopt, {}, action.servers};
    if (action.isBehind) {
        question.assignment = *known;
        question.version = m_coordinator.assignmentVersion(action.service);
    }
    call.body = std::make_shared<const std::string>(io::encodeRenewalQuery(question));
    call.timeout = KeyMoves::requestRetryDelay;
    m_deps.servers.send(std::move(call), [this](const io::HttpResult &result) {
        const auto answer = io::decodeRenewalAnswer(result.error ? "" : result.response.body);
        if (!answer)
            return; // the coordinator retries, or treats the renewer as silent
        const Instant now = io::hostNow();
        m_coordinator.recordRenewerAnswer(*answer, now);
        advance(now);
    });
}

void KeyControl::execute(const QueryAssignments &action)
{
    io::ServerCall call;
    call.server = action.renewer.row.address;
    call.method = "POST";
    call.target = assignmentsPath;
    call.headers = {{"Host", toString(call.server)}};
    call.body = std::make_shared<const std::string>(io::encodeSequences(action.known));
    call.timeout = EraRecovery::answerTimeout;
    const HostName host = action.renewer.host;
    m_deps.servers.send(std::move(call), [this, host](const io::HttpResult &result) {
        const auto answer =
            io::decodeRememberedAssignments(result.error ? "" : result.response.body);
        if (!answer) {
            // The coordinator asks again.
            io::logEvent(LogLevel::Warning, "assignments-not-answered",
                         {{"by", host.value()},
                          {"status", std::to_string(result.response.status)},
                          {"error", errorText(result.error)}});
            return;
        }
        logRemembered(*answer);
        const Instant now = io::hostNow();
        m_coordinator.recordRemembered(*answer, now);
        advance(now);
    });
}

void KeyControl::execute(const WriteDaemonRow &action)
{
    platform::StoreCommit commit{std::string{platform::ownershipTable}, {}};
    commit.writes.push_back(
        {daemonKey(m_host), action.expectedVersion,
         action.row ? io::encodeDaemonRow(*action.row) : std::string{},
         action.row ? platform::RowChange::Write : platform::RowChange::Remove});
    m_deps.follow.store.commit(commit, [this](const platform::CommitOutcome &outcome) {
        if (outcome.error)
            io::logEvent(LogLevel::Warning, "own-row-not-written",
                         {{"error", outcome.error.message()}});
        m_coordinator.handleDaemonRowResult(rowWriteResultOf(outcome.error), outcome.version,
                                            io::hostNow());
    });
}

void KeyControl::execute(const RemoveDaemonRows &action)
{
    platform::StoreCommit commit{std::string{platform::ownershipTable}, {}};
    // This condition prevents removals by a daemon that has lost the planner's lease.
    commit.writes.push_back(
        {std::string{plannerKey}, action.plannerVersion, {}, platform::RowChange::None});
    std::string hosts;
    for (const DaemonRowVersion &row : action.rows) {
        commit.writes.push_back(
            {daemonKey(row.host), row.version, {}, platform::RowChange::Remove});
        hosts += (hosts.empty() ? "" : ",") + row.host.value();
    }
    m_deps.follow.store.commit(commit, [this, hosts](const platform::CommitOutcome &outcome) {
        io::logEvent(LogLevel::Warning, "lost-daemons-removed",
                     {{"hosts", hosts}, {"error", errorText(outcome.error)}});
        m_coordinator.handleRemovalResult(rowWriteResultOf(outcome.error), io::hostNow());
    });
}

void KeyControl::handleReleaseResult(const SendRelease &release, const io::HttpResult &result)
{
    const platform::ReleaseAnswer answer = platform::decodeReleaseAnswer(result);
    io::logEvent(answer.isReleased ? LogLevel::Info : LogLevel::Warning, "keys-released",
                 {{"server", release.owned.previous.value()},
                  {"keys", toText(release.owned.range)},
                  {"fence", std::to_string(release.owned.fence)},
                  {"outcome", answer.isReleased ? "released" : "no-answer"}});
    if (!answer.isReleased)
        return;
    const Instant now = io::hostNow();
    m_coordinator.released(release, answer.handover, now);
    advance(now);
    m_deps.follow.timers.after(KeyMoves::settleBatchPeriod, [this](Instant due) { advance(due); });
}

void KeyControl::logPlannerChange()
{
    if (std::exchange(m_wasPlanning, isPlanning()) == isPlanning())
        return;
    io::logEvent(LogLevel::Info, isPlanning() ? "planner-lease-taken" : "planner-lease-lost",
                 {{"row", toString(m_coordinator.lease().version())}});
}

} // namespace bulrush

#include "domainleader.h"

#include "connection/peerclient.h"
#include "controlcontext.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/leaderelection.h"
#include "process/leasecodec.h"
#include "process/logging.h"
#include "process/platformclient.h"
#include "servercontrol.h"
#include "version/assignmentcodec.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

const char *const assignmentTable = "assignment";
const char *const partitionTable = "partition";

constexpr Duration loadReportLifetime = std::chrono::seconds{10};

/**
 * Minimum requests per second for each server of a service; counts below it are not significant.
 * At lower rates, random variation alone takes a server's load past the planner's target.
 */
constexpr double minLoadPerServer = 10.0;

constexpr Duration planInterval = std::chrono::milliseconds{500};

/**
 * How long a new leader waits for the views of daemons and servers, if it may grant leases by then.
 * Otherwise it waits until it may grant leases.
 */
constexpr Duration recoveryTimeout = std::chrono::milliseconds{400};

std::string objectName(const DomainName &domain, Fence version)
{
    return "assignment/" + domain.value() + "/" + std::to_string(version.epoch) + "-"
        + std::to_string(version.sequence);
}

Json::Value rowValue(Fence version, const std::string &object)
{
    Json::Value json = io::encodeFence(version);
    json["object"] = object;
    return json;
}

/** Divides the key hashes among the domains in proportion to their servers of the service. */
Json::Value evenPartition(const DaemonSettings &settings, const ServiceName &service)
{
    std::map<DomainName, std::uint64_t> weights;
    std::uint64_t total = 0;
    for (const BackendServer &server : settings.servers) {
        if (server.service != service)
            continue;
        ++weights[server.domain];
        ++total;
    }

    Json::Value parts{Json::arrayValue};
    std::uint64_t before = 0;
    KeyHash begin = 0;
    const KeyHash unit = total == 0 ? 0 : std::numeric_limits<KeyHash>::max() / total;
    for (const auto &[domain, weight] : weights) {
        before += weight;
        const KeyHash end =
            before == total ? std::numeric_limits<KeyHash>::max() : unit * before - 1;
        Json::Value part{Json::objectValue};
        part["domain"] = domain.value();
        part["begin"] = io::hashToHex(begin);
        part["end"] = io::hashToHex(end);
        parts.append(std::move(part));
        begin = end + 1;
    }
    Json::Value json{Json::objectValue};
    json["parts"] = std::move(parts);
    return json;
}

/** \returns whether \a slices, which are sorted by service and range, cover all of \a grant. */
bool isCovered(const SliceOwner &grant, std::span<const SliceOwner> slices)
{
    KeyHash next = grant.range.begin;
    for (const SliceOwner &slice : slices) {
        if (slice.service != grant.service || !contains(slice.range, next))
            continue;
        if (grant.range.end <= slice.range.end)
            return true;
        next = slice.range.end + 1;
    }
    return false;
}

CommitOutcome outcomeOf(const io::Committed & /*outcome*/)
{
    return CommitOutcome::Committed;
}

CommitOutcome outcomeOf(const io::Conflict & /*outcome*/)
{
    return CommitOutcome::Conflict;
}

CommitOutcome outcomeOf(const io::Refused & /*outcome*/)
{
    // Nothing was written. Unknown covers this: such a write may also never take effect.
    return CommitOutcome::Unknown;
}

CommitOutcome outcomeOf(const io::Unknown & /*outcome*/)
{
    return CommitOutcome::Unknown;
}

} // namespace

RoutingLeaseTimings leaseTerms(const LeaseTimings &leases)
{
    RoutingLeaseTimings terms;
    terms.length = leases.routingLease;
    terms.pullInterval = leases.renewEvery;
    terms.deadlineCap = leases.deadlineCap;
    terms.driftPpm = leases.driftPpm;
    return terms;
}

DomainLeader::DomainLeader(ControlContext &context, ServerControl &servers,
                           const LeaderElection &leadership, DomainName domain,
                           const LeadershipStarted &began, DomainLeaderCallbacks callbacks)
    : m_context(context)
    , m_servers(servers)
    , m_leadership(leadership)
    , m_domain(std::move(domain))
    , m_epoch(began.epoch)
    , m_mayGrantFrom(began.mayGrantFrom)
    , m_callbacks(std::move(callbacks))
    , m_terms(leaseTerms(context.settings.leases))
    , m_leases(m_terms, began.epoch)
    , m_loads(loadReportLifetime)
{
    readPublished();
}

template<typename Handler>
auto DomainLeader::whileAlive(Handler handler) const
{
    return [lifetime = std::weak_ptr<LifetimeToken>(m_lifetime),
            handler = std::move(handler)](auto &&...values) {
        if (!lifetime.expired())
            handler(std::forward<decltype(values)>(values)...);
    };
}

void DomainLeader::tick(Instant now, bool isPlatformOut)
{
    if (m_recovery)
        finishRecovery(now);
    else if (!m_handover && !m_isReading)
        readPublished();
    if (!m_handover)
        return;

    if (isPlatformOut != m_isPlatformOut) {
        m_isPlatformOut = isPlatformOut;
        handle(PlatformOutageChanged{isPlatformOut});
    }
    handle(LeadershipExtended{m_leadership.leadershipUntil()});
    detectSilentDaemons(now);
    planIfDue(now);
    m_leases.expire(now);
    handle(HandoverTick{});
}

std::optional<LeaseReply> DomainLeader::answerPull(const LeaseRequest &request, Instant now)
{
    if (!m_handover || !m_leadership.mayGrantAt(now))
        return std::nullopt;

    updateLostServers(request);
    m_pulledDaemons.insert(request.incarnation);
    if (m_silentDaemons.erase(request.incarnation) > 0)
        handle(ServerManagerRecovered{request.incarnation});
    handle(HandoverTick{});
    auto reply =
        m_leases.answer(request, m_handover->version(), now, m_leadership.routingLeaseUntil(now));
    handle(HandoverTick{});
    return reply;
}

void DomainLeader::handleOrderResult(OrderId order, const OrderResult &result)
{
    if (!m_handover)
        return;
    if (result.highest)
        handle(GrantRefused{order, *result.highest});
    else if (result.isConfirmed)
        handle(OrderConfirmed{order, result.running});
}

void DomainLeader::recordLoads(const Incarnation &daemon, std::map<ServiceName, LoadReport> reports,
                               Instant now)
{
    m_loads.note(daemon, std::move(reports), now);
}

std::size_t DomainLeader::moveCount() const
{
    return m_handover ? m_handover->moveCount() : 0;
}

void DomainLeader::readPublished()
{
    m_isReading = true;
    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.read(
        {{assignmentTable, m_domain.value()}}, whileAlive([this](const io::RowsResult &result) {
            m_isReading = false;
            if (result.error || result.rows.empty())
                return;
            applyPublishedRow(result.rows.front().value, result.rows.front().version);
        }));
}

void DomainLeader::applyPublishedRow(const Json::Value &value, std::uint64_t rowVersion)
{
    m_publishedRowVersion = rowVersion;
    m_publishedVersion = io::decodeFence(value).value_or(Fence{});
    if (m_handover) {
        handle(PublishedVersionRead{m_publishedVersion});
        return;
    }
    if (value.isNull()) {
        startRecovery(Assignment{m_domain, {}, {}, {}});
        return;
    }
    readAssignmentObject(value["object"].asString());
}

void DomainLeader::readAssignmentObject(const std::string &name)
{
    m_isReading = true;
    m_context.platform.getObject(name, whileAlive([this](const io::ObjectResult &result) {
                                     m_isReading = false;
                                     const auto assignment = result.error
                                         ? std::nullopt
                                         : io::decodeAssignment(io::parseJson(result.body));
                                     if (assignment)
                                         startRecovery(*assignment);
                                 }));
}

void DomainLeader::startRecovery(Assignment published)
{
    if (m_recovery || m_handover)
        return;

    const Instant now = io::hostNow();
    m_publishedSlices = published.slices;
    m_recovery.emplace(std::move(published), m_mayGrantFrom, now + recoveryTimeout);
    std::set<Incarnation> daemons;
    std::set<ServerName> servers;
    for (const MemberRecord &member : m_callbacks.daemons())
        daemons.insert(member.incarnation);
    for (const BackendServer &server : m_context.settings.servers) {
        if (isManaged(server))
            servers.insert(server.name);
    }
    m_recovery->setAsked(daemons, servers);
    m_recovery->addView(m_context.self.incarnation, m_callbacks.localAssignment());
    for (const MemberRecord &member : m_callbacks.daemons())
        requestView(member);
    for (const ServerName &server : servers)
        readGrantsOf(server);
}

void DomainLeader::requestView(const MemberRecord &member)
{
    if (member.incarnation == m_context.self.incarnation)
        return;

    Json::Value parameters{Json::objectValue};
    parameters["domain"] = m_domain.value();
    m_context.peers.call(
        member.address, "assignment.view", parameters, recoveryTimeout,
        whileAlive([this, daemon = member.incarnation](const io::RpcReply &reply) {
            if (reply.error || !m_recovery)
                return;
            const auto view = io::decodeAssignment(reply.result);
            m_recovery->addView(daemon, view.value_or(Assignment{m_domain, {}, {}, {}}));
        }));
}

void DomainLeader::readGrantsOf(const ServerName &server)
{
    m_servers.readGrants(server, whileAlive([this, server](bool isAnswered, auto grants) {
                             if (isAnswered && m_recovery)
                                 m_recovery->addGrants(server, ownGrants(grants));
                         }));
}

std::vector<SliceOwner> DomainLeader::ownGrants(std::span<const SliceOwner> grants) const
{
    // A server may also hold slices of another domain's leader, whose fences are not comparable.
    std::vector<SliceOwner> own;
    for (const SliceOwner &grant : grants) {
        // A slice may have been split since its grant, so several slices may cover the grant.
        if (isCovered(grant, m_publishedSlices))
            own.push_back(grant);
    }
    return own;
}

void DomainLeader::finishRecovery(Instant now)
{
    if (!m_leadership.mayGrantAt(now))
        return;
    const auto inForce = m_recovery->result(now);
    if (!inForce)
        return;

    m_recovery.reset();
    m_recoveredAt = now;
    m_managedServers = ServerManagerTable{inForce->managedServers};
    m_handover = std::make_unique<Handover>(HandoverLimits{}, m_epoch, *inForce, m_publishedVersion,
                                            m_leases);
    std::set<ServerName> checking;
    for (const BackendServer &server : m_context.settings.servers) {
        if (server.checksFence)
            checking.insert(server.name);
    }
    m_handover->setCheckingServers(std::move(checking));
    io::logEvent(LogLevel::Info, "steward-recovered",
                 {{"domain", m_domain.value()},
                  {"epoch", std::to_string(m_epoch)},
                  {"slices", std::to_string(inForce->slices.size())}});
}

void DomainLeader::planIfDue(Instant now)
{
    if (m_lastPlanAt && now < *m_lastPlanAt + planInterval)
        return;
    m_lastPlanAt = now;
    m_loads.expire(now);

    const std::vector<ServerState> servers = serverStates();
    WantedAssignmentChanged wanted;
    wanted.wanted.domain = m_domain;
    for (const auto &[service, preference] : m_callbacks.keyedServices()) {
        const auto slices = plannedSlices(service, preference, servers, now);
        wanted.wanted.slices.insert(wanted.wanted.slices.end(), slices.begin(), slices.end());
    }
    wanted.wanted.managedServers = plannedManagedServers(servers);
    handle(wanted);
}

std::vector<SliceOwner> DomainLeader::plannedSlices(const ServiceName &service,
                                                    Preference preference,
                                                    const std::vector<ServerState> &servers,
                                                    Instant now)
{
    const Assignment inForce = m_handover->assignment();
    const auto current = slicesOf(inForce, service);
    if (current.empty()) {
        const auto parts = m_partitionRanges.find(service);
        if (parts == m_partitionRanges.end()) {
            readPartition(service);
            return {};
        }
        std::vector<SliceOwner> slices;
        for (const SliceRange &part : parts->second) {
            const auto added = initialSlices(service, servers, plannerOptions(preference), part);
            slices.insert(slices.end(), added.begin(), added.end());
        }
        return slices;
    }

    Planner &planner = m_planners.try_emplace(service, plannerOptions(preference)).first->second;
    std::vector<SliceRange> ranges;
    for (const SliceOwner &slice : current)
        ranges.push_back(slice.range);
    const auto serverCount =
        std::count_if(servers.begin(), servers.end(),
                      [&](const ServerState &state) { return state.service == service; });
    const LoadReport loads =
        m_loads.merged(service, ranges, minLoadPerServer * static_cast<double>(serverCount));
    const PlanInput input{service, current, servers, loads.slices, loads.hotKeys};
    return appliedPlan(current, planner.plan(input, now));
}

std::vector<ServerState> DomainLeader::serverStates() const
{
    const std::set<ServerName> leaving = m_callbacks.leavingServers();
    std::vector<ServerState> states;
    for (const BackendServer &server : m_context.settings.servers) {
        if (!isManaged(server))
            continue;
        ServerState state;
        state.server = server.name;
        state.service = server.service;
        state.capacity = server.slots;
        state.isLeaving = leaving.contains(server.name);
        state.isLost = m_lostServers.contains(server.name);
        states.push_back(std::move(state));
    }
    return states;
}

std::vector<ManagedServer>
DomainLeader::plannedManagedServers(const std::vector<ServerState> &servers)
{
    std::set<ServerName> own;
    std::vector<ManagedServer> others;
    for (const ServerState &state : servers) {
        const Incarnation manager = m_callbacks.managerOf(state.server);
        const auto server = std::find_if(
            m_context.settings.servers.begin(), m_context.settings.servers.end(),
            [&](const BackendServer &candidate) { return candidate.name == state.server; });
        if (server->domain == m_domain)
            own.insert(state.server);
        else if (!manager.isEmpty())
            others.push_back({state.server, manager});
    }
    std::set<Incarnation> daemons;
    for (const MemberRecord &member : m_callbacks.daemons()) {
        if (member.state == MemberState::Alive && !m_silentDaemons.contains(member.incarnation))
            daemons.insert(member.incarnation);
    }
    m_managedServers.fit(own, daemons);
    const auto fitted = m_managedServers.managedServers();
    others.insert(others.end(), fitted.begin(), fitted.end());
    std::sort(others.begin(), others.end(),
              [](const ManagedServer &first, const ManagedServer &second) {
                  return first.server < second.server;
              });
    return others;
}

bool DomainLeader::isManaged(const BackendServer &server) const
{
    return server.domain == m_domain || server.domain == m_context.settings.domain;
}

void DomainLeader::detectSilentDaemons(Instant now)
{
    for (const Incarnation &daemon : m_leases.silentSince(now - m_terms.length))
        markManagerLost(daemon);
    if (now >= m_recoveredAt + m_terms.length && !std::exchange(m_hasCheckedAbsentManagers, true))
        markAbsentManagersLost();
}

void DomainLeader::markAbsentManagersLost()
{
    // A manager that stopped before this epoch never pulls in it and holds no lease of it.
    const Assignment inForce = m_handover->assignment();
    for (const ManagedServer &managedServer : inForce.managedServers) {
        if (!managedServer.manager.isEmpty() && !m_pulledDaemons.contains(managedServer.manager))
            markManagerLost(managedServer.manager);
    }
}

void DomainLeader::markManagerLost(const Incarnation &daemon)
{
    if (!m_silentDaemons.insert(daemon).second)
        return;
    handle(ServerManagerLost{daemon});
    m_lastPlanAt.reset();
}

void DomainLeader::updateLostServers(const LeaseRequest &request)
{
    m_lostServersByDaemon[request.incarnation] = {request.lostServers.begin(),
                                                  request.lostServers.end()};
    std::set<ServerName> lost;
    for (const auto &[daemon, servers] : m_lostServersByDaemon)
        lost.insert(servers.begin(), servers.end());
    for (const ServerName &server : lost) {
        if (!m_lostServers.contains(server))
            handle(ServerLost{server});
    }
    for (const ServerName &server : m_lostServers) {
        if (!lost.contains(server))
            handle(ServerRecovered{server});
    }
    if (lost != m_lostServers)
        m_lastPlanAt.reset();
    m_lostServers = std::move(lost);
}

void DomainLeader::readPartition(const ServiceName &service)
{
    if (!m_requestedPartitions.insert(service).second)
        return;

    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.read({{partitionTable, service.value()}},
                            whileAlive([this, service](const io::RowsResult &result) {
                                m_requestedPartitions.erase(service);
                                if (result.error || result.rows.empty())
                                    return;
                                if (result.rows.front().value.isNull())
                                    createPartition(service);
                                else
                                    applyPartition(service, result.rows.front().value);
                            }));
}

void DomainLeader::createPartition(const ServiceName &service)
{
    m_requestedPartitions.insert(service);
    const io::RowId id{partitionTable, service.value()};
    io::Transaction transaction;
    transaction.id =
        io::TransactionId{m_context.self.incarnation.value() + "/partition/" + service.value()};
    transaction.writer = m_context.self.incarnation;
    transaction.conditions = {{id, 0}};
    transaction.writes = {{id, evenPartition(m_context.settings, service)}};
    m_context.counters.add(Counter::PlatformWrites);
    // The next plan reads the row, whatever the outcome of this write is.
    m_context.platform.transact(transaction,
                                whileAlive([this, service](const io::TransactOutcome &) {
                                    m_requestedPartitions.erase(service);
                                }));
}

void DomainLeader::applyPartition(const ServiceName &service, const Json::Value &value)
{
    io::JsonReader reader{value};
    std::vector<SliceRange> ranges;
    for (const Json::Value &entry : reader.list("parts")) {
        io::JsonReader part{entry};
        const DomainName domain{part.text("domain")};
        const auto begin = io::hashFromHex(part.text("begin"));
        const auto end = io::hashFromHex(part.text("end"));
        if (domain == m_domain && begin && end)
            ranges.push_back({*begin, *end});
    }
    m_partitionRanges[service] = std::move(ranges);
    m_lastPlanAt.reset();
}

void DomainLeader::handle(const HandoverEvent &event)
{
    const Instant now = io::hostNow();
    if (!m_leadership.isLeaderAt(now))
        return;
    for (const HandoverAction &action : m_handover->handle(event, now))
        perform(action);
}

void DomainLeader::perform(const HandoverAction &action)
{
    std::visit([this](const auto &kind) { performAction(kind); }, action);
}

void DomainLeader::performAction(const ServerOrder &order)
{
    if (order.through == m_context.self.incarnation || order.through.isEmpty()) {
        m_servers.execute({m_domain, m_epoch}, order,
                          whileAlive([this, id = order.order](const OrderResult &result) {
                              handleOrderResult(id, result);
                          }));
        return;
    }
    for (const MemberRecord &member : m_callbacks.daemons()) {
        if (member.incarnation != order.through)
            continue;
        Json::Value parameters = io::encodeServerOrder(order);
        parameters["domain"] = m_domain.value();
        parameters["epoch"] = io::jsonOf(m_epoch);
        parameters["steward"] = m_context.self.address;
        m_context.peers.call(member.address, "server.order", parameters, peerCallTimeout,
                             [](const io::RpcReply &) {});
        return;
    }
}

void DomainLeader::performAction(const CommitAssignment &commit)
{
    const std::string object = objectName(m_domain, commit.next.version);
    m_context.counters.add(Counter::PlatformWrites);
    m_context.platform.putObject(object, io::toCompactJson(io::encodeAssignment(commit.next)),
                                 whileAlive([this, commit, object](std::error_code error) {
                                     if (error)
                                         handleCommitResult(commit, CommitOutcome::Unknown);
                                     else
                                         publishRow(commit, object);
                                 }));
}

void DomainLeader::publishRow(const CommitAssignment &commit, const std::string &object)
{
    if (commit.expected != m_publishedVersion) {
        handleCommitResult(commit, CommitOutcome::Conflict);
        return;
    }

    const io::RowId id{assignmentTable, m_domain.value()};
    io::Transaction transaction;
    transaction.id = io::TransactionId{object};
    transaction.writer = m_context.self.incarnation;
    transaction.conditions = {{id, m_publishedRowVersion}};
    transaction.writes = {{id, rowValue(commit.next.version, object)}};
    m_context.counters.add(Counter::PlatformWrites);
    m_context.platform.transact(
        transaction, whileAlive([this, commit](const io::TransactOutcome &outcome) {
            if (const auto *committed = std::get_if<io::Committed>(&outcome)) {
                m_publishedVersion = commit.next.version;
                m_publishedRowVersion = committed->versions.at(0);
            }
            handleCommitResult(
                commit, std::visit([](const auto &kind) { return outcomeOf(kind); }, outcome));
        }));
}

void DomainLeader::handleCommitResult(const CommitAssignment &commit, CommitOutcome outcome)
{
    if (outcome == CommitOutcome::Committed)
        m_context.counters.add(Counter::AssignmentsPublished);
    if (outcome == CommitOutcome::Unknown)
        m_context.counters.add(Counter::PlatformUnknowns);
    handle(CommitCompleted{commit.commit, outcome});
}

void DomainLeader::performAction(const ReadPublishedVersion & /*action*/)
{
    if (!m_isReading)
        readPublished();
}

void DomainLeader::performAction(const AssignmentInForce &action)
{
    m_callbacks.onAssignmentInForce(action.assignment);
}

void DomainLeader::performAction(const PromptLeasePull &action)
{
    Json::Value parameters{Json::objectValue};
    parameters["domain"] = m_domain.value();
    parameters["epoch"] = io::jsonOf(m_epoch);
    parameters["steward"] = m_context.self.address;
    for (const MemberRecord &member : m_callbacks.daemons()) {
        if (member.incarnation == action.daemon)
            m_context.peers.call(member.address, "lease.prompt", parameters, peerCallTimeout,
                                 [](const io::RpcReply &) {});
    }
}

void DomainLeader::performAction(const LeadershipSuperseded & /*action*/)
{
    io::logEvent(LogLevel::Warning, "stewardship-overtaken", {{"domain", m_domain.value()}});
}

} // namespace bulrush

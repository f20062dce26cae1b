#include "domainsteward.h"

#include "connection/peerclient.h"
#include "controlcontext.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/leasecodec.h"
#include "process/logging.h"
#include "process/platformclient.h"
#include "process/stewardseat.h"
#include "servercontrol.h"
#include "version/assignmentcodec.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

const char *const assignmentTable = "assignment";
const char *const partitionTable = "partition";

constexpr Duration loadLifetime = std::chrono::seconds{10};

/**
 * Requests a second for each server of a service below which counts say nothing: with fewer, chance
 * alone takes a server's load past the planner's target.
 */
constexpr double leastLoadPerServer = 10.0;

constexpr Duration planInterval = std::chrono::milliseconds{500};

/** How long a successor waits for the views of daemons and servers, if its grants may start. */
constexpr Duration recoveryPatience = std::chrono::milliseconds{400};

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

/** Cuts the line among the domains, by how many servers of the service each has. */
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
    // Nothing took effect: the same as a lost answer whose write never will.
    return CommitOutcome::Unknown;
}

CommitOutcome outcomeOf(const io::Unknown & /*outcome*/)
{
    return CommitOutcome::Unknown;
}

} // namespace

LeaseTerms leaseTerms(const LeaseTimings &leases)
{
    LeaseTerms terms;
    terms.length = leases.routingLease;
    terms.pullInterval = leases.renewEvery;
    terms.deadlineCap = leases.deadlineCap;
    terms.driftPpm = leases.driftPpm;
    return terms;
}

DomainSteward::DomainSteward(ControlContext &context, ServerControl &servers,
                             const StewardSeat &seat, DomainName domain,
                             const StewardshipBegan &began, StewardHooks hooks)
    : m_context(context)
    , m_servers(servers)
    , m_seat(seat)
    , m_domain(std::move(domain))
    , m_epoch(began.epoch)
    , m_mayGrantFrom(began.mayGrantFrom)
    , m_hooks(std::move(hooks))
    , m_terms(leaseTerms(context.settings.leases))
    , m_book(m_terms, began.epoch)
    , m_loads(loadLifetime)
{
    readPublished();
}

template<typename Handler>
auto DomainSteward::whileAlive(Handler handler) const
{
    return [life = std::weak_ptr<Life>(m_life), handler = std::move(handler)](auto &&...values) {
        if (!life.expired())
            handler(std::forward<decltype(values)>(values)...);
    };
}

void DomainSteward::tick(Instant now, bool isOut)
{
    if (m_recovery)
        finishRecovery(now);
    else if (!m_handover && !m_isReading)
        readPublished();
    if (!m_handover)
        return;

    if (isOut != m_isOut) {
        m_isOut = isOut;
        handle(PlatformOutage{isOut});
    }
    handle(TenureExtended{m_seat.tenureUntil()});
    noteSilence(now);
    planIfDue(now);
    m_book.expire(now);
    handle(TimePassed{});
}

std::optional<LeaseReply> DomainSteward::answerPull(const LeaseRequest &request, Instant now)
{
    if (!m_handover || !m_seat.mayGrantAt(now))
        return std::nullopt;

    noteLost(request);
    m_heard.insert(request.incarnation);
    if (m_silent.erase(request.incarnation) > 0)
        handle(AttendantFound{request.incarnation});
    handle(TimePassed{});
    auto reply = m_book.answer(request, m_handover->version(), now, m_seat.routingLeaseUntil(now));
    handle(TimePassed{});
    return reply;
}

void DomainSteward::orderEnded(OrderId order, const OrderEnd &end)
{
    if (!m_handover)
        return;
    if (end.highest)
        handle(GrantRefused{order, *end.highest});
    else if (end.isConfirmed)
        handle(OrderConfirmed{order, end.running});
}

void DomainSteward::noteLoads(const Incarnation &daemon, std::map<ServiceName, LoadReport> reports,
                              Instant now)
{
    m_loads.note(daemon, std::move(reports), now);
}

std::size_t DomainSteward::moveCount() const
{
    return m_handover ? m_handover->moveCount() : 0;
}

void DomainSteward::readPublished()
{
    m_isReading = true;
    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.read(
        {{assignmentTable, m_domain.value()}}, whileAlive([this](const io::RowsResult &result) {
            m_isReading = false;
            if (result.error || result.rows.empty())
                return;
            publishedRead(result.rows.front().value, result.rows.front().version);
        }));
}

void DomainSteward::publishedRead(const Json::Value &value, std::uint64_t rowVersion)
{
    m_publishedRow = rowVersion;
    m_published = io::decodeFence(value).value_or(Fence{});
    if (m_handover) {
        handle(PublishedRead{m_published});
        return;
    }
    if (value.isNull()) {
        startRecovery(Assignment{m_domain, {}, {}, {}});
        return;
    }
    readObject(value["object"].asString());
}

void DomainSteward::readObject(const std::string &name)
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

void DomainSteward::startRecovery(Assignment published)
{
    if (m_recovery || m_handover)
        return;

    const Instant now = io::hostNow();
    m_publishedSlices = published.slices;
    m_recovery.emplace(std::move(published), m_mayGrantFrom, now + recoveryPatience);
    std::set<Incarnation> daemons;
    std::set<ServerName> servers;
    for (const MemberRecord &member : m_hooks.daemons())
        daemons.insert(member.incarnation);
    for (const BackendServer &server : m_context.settings.servers) {
        if (isInReach(server))
            servers.insert(server.name);
    }
    m_recovery->setAsked(daemons, servers);
    m_recovery->addView(m_context.self.incarnation, m_hooks.ownView());
    for (const MemberRecord &member : m_hooks.daemons())
        askDaemon(member);
    for (const ServerName &server : servers)
        readGrantsOf(server);
}

void DomainSteward::askDaemon(const MemberRecord &member)
{
    if (member.incarnation == m_context.self.incarnation)
        return;

    Json::Value parameters{Json::objectValue};
    parameters["domain"] = m_domain.value();
    m_context.peers.call(
        member.address, "assignment.view", parameters, recoveryPatience,
        whileAlive([this, daemon = member.incarnation](const io::RpcReply &reply) {
            if (reply.error || !m_recovery)
                return;
            const auto view = io::decodeAssignment(reply.result);
            m_recovery->addView(daemon, view.value_or(Assignment{m_domain, {}, {}, {}}));
        }));
}

void DomainSteward::readGrantsOf(const ServerName &server)
{
    m_servers.readGrants(server, whileAlive([this, server](bool isAnswered, auto grants) {
                             if (isAnswered && m_recovery)
                                 m_recovery->addGrants(server, ownGrants(grants));
                         }));
}

std::vector<SliceOwner> DomainSteward::ownGrants(std::span<const SliceOwner> grants) const
{
    // A server may hold slices of another domain's steward too, whose fences don't compare.
    std::vector<SliceOwner> own;
    for (const SliceOwner &grant : grants) {
        // A slice may have been split since its grant, so that several cover it.
        if (isCovered(grant, m_publishedSlices))
            own.push_back(grant);
    }
    return own;
}

void DomainSteward::finishRecovery(Instant now)
{
    if (!m_seat.mayGrantAt(now))
        return;
    const auto inForce = m_recovery->result(now);
    if (!inForce)
        return;

    m_recovery.reset();
    m_recoveredAt = now;
    m_attendances = AttendanceTable{inForce->attendances};
    m_handover =
        std::make_unique<Handover>(HandoverTerms{}, m_epoch, *inForce, m_published, m_book);
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

void DomainSteward::planIfDue(Instant now)
{
    if (m_plannedAt && now < *m_plannedAt + planInterval)
        return;
    m_plannedAt = now;
    m_loads.expire(now);

    const std::vector<ServerState> servers = serverStates();
    AssignmentWanted wanted;
    wanted.wanted.domain = m_domain;
    for (const auto &[service, preference] : m_hooks.keyedServices()) {
        const auto slices = plannedSlices(service, preference, servers, now);
        wanted.wanted.slices.insert(wanted.wanted.slices.end(), slices.begin(), slices.end());
    }
    wanted.wanted.attendances = plannedAttendances(servers);
    handle(wanted);
}

std::vector<SliceOwner> DomainSteward::plannedSlices(const ServiceName &service,
                                                     Preference preference,
                                                     const std::vector<ServerState> &servers,
                                                     Instant now)
{
    const Assignment inForce = m_handover->assignment();
    const auto current = slicesOf(inForce, service);
    if (current.empty()) {
        const auto parts = m_parts.find(service);
        if (parts == m_parts.end()) {
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
        m_loads.merged(service, ranges, leastLoadPerServer * static_cast<double>(serverCount));
    const PlanInput input{service, current, servers, loads.slices, loads.hotKeys};
    return appliedPlan(current, planner.plan(input, now));
}

std::vector<ServerState> DomainSteward::serverStates() const
{
    const std::set<ServerName> leaving = m_hooks.leavingServers();
    std::vector<ServerState> states;
    for (const BackendServer &server : m_context.settings.servers) {
        if (!isInReach(server))
            continue;
        ServerState state;
        state.server = server.name;
        state.service = server.service;
        state.capacity = server.slots;
        state.isLeaving = leaving.contains(server.name);
        state.isLost = m_lost.contains(server.name);
        states.push_back(std::move(state));
    }
    return states;
}

std::vector<Attendance> DomainSteward::plannedAttendances(const std::vector<ServerState> &servers)
{
    std::set<ServerName> own;
    std::vector<Attendance> others;
    for (const ServerState &state : servers) {
        const Incarnation attendant = m_hooks.attendantOf(state.server);
        const auto server = std::find_if(
            m_context.settings.servers.begin(), m_context.settings.servers.end(),
            [&](const BackendServer &candidate) { return candidate.name == state.server; });
        if (server->domain == m_domain)
            own.insert(state.server);
        else if (!attendant.isEmpty())
            others.push_back({state.server, attendant});
    }
    std::set<Incarnation> daemons;
    for (const MemberRecord &member : m_hooks.daemons()) {
        if (member.state == MemberState::Alive && !m_silent.contains(member.incarnation))
            daemons.insert(member.incarnation);
    }
    m_attendances.fit(own, daemons);
    const auto fitted = m_attendances.attendances();
    others.insert(others.end(), fitted.begin(), fitted.end());
    std::sort(others.begin(), others.end(), [](const Attendance &first, const Attendance &second) {
        return first.server < second.server;
    });
    return others;
}

bool DomainSteward::isInReach(const BackendServer &server) const
{
    return server.domain == m_domain || server.domain == m_context.settings.domain;
}

void DomainSteward::noteSilence(Instant now)
{
    for (const Incarnation &daemon : m_book.silentSince(now - m_terms.length))
        noteLostAttendant(daemon);
    if (now >= m_recoveredAt + m_terms.length && !std::exchange(m_hasCheckedHeard, true))
        noteNeverHeard();
}

void DomainSteward::noteNeverHeard()
{
    // An attendant that died before this epoch never pulls in it, and holds nothing of it.
    const Assignment inForce = m_handover->assignment();
    for (const Attendance &attendance : inForce.attendances) {
        if (!attendance.attendant.isEmpty() && !m_heard.contains(attendance.attendant))
            noteLostAttendant(attendance.attendant);
    }
}

void DomainSteward::noteLostAttendant(const Incarnation &daemon)
{
    if (!m_silent.insert(daemon).second)
        return;
    handle(AttendantLost{daemon});
    m_plannedAt.reset();
}

void DomainSteward::noteLost(const LeaseRequest &request)
{
    m_lostBy[request.incarnation] = {request.lostServers.begin(), request.lostServers.end()};
    std::set<ServerName> lost;
    for (const auto &[daemon, servers] : m_lostBy)
        lost.insert(servers.begin(), servers.end());
    for (const ServerName &server : lost) {
        if (!m_lost.contains(server))
            handle(ServerLost{server});
    }
    for (const ServerName &server : m_lost) {
        if (!lost.contains(server))
            handle(ServerFound{server});
    }
    if (lost != m_lost)
        m_plannedAt.reset();
    m_lost = std::move(lost);
}

void DomainSteward::readPartition(const ServiceName &service)
{
    if (!m_partsAsked.insert(service).second)
        return;

    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.read({{partitionTable, service.value()}},
                            whileAlive([this, service](const io::RowsResult &result) {
                                m_partsAsked.erase(service);
                                if (result.error || result.rows.empty())
                                    return;
                                if (result.rows.front().value.isNull())
                                    createPartition(service);
                                else
                                    takePartition(service, result.rows.front().value);
                            }));
}

void DomainSteward::createPartition(const ServiceName &service)
{
    m_partsAsked.insert(service);
    const io::RowId id{partitionTable, service.value()};
    io::Transaction transaction;
    transaction.id =
        io::TransactionId{m_context.self.incarnation.value() + "/partition/" + service.value()};
    transaction.writer = m_context.self.incarnation;
    transaction.conditions = {{id, 0}};
    transaction.writes = {{id, evenPartition(m_context.settings, service)}};
    m_context.counters.add(Counter::PlatformWrites);
    // Whatever became of it, the next plan reads the row that is there.
    m_context.platform.transact(
        transaction,
        whileAlive([this, service](const io::TransactOutcome &) { m_partsAsked.erase(service); }));
}

void DomainSteward::takePartition(const ServiceName &service, const Json::Value &value)
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
    m_parts[service] = std::move(ranges);
    m_plannedAt.reset();
}

void DomainSteward::handle(const HandoverEvent &event)
{
    const Instant now = io::hostNow();
    if (!m_seat.isStewardAt(now))
        return;
    for (const HandoverAction &action : m_handover->handle(event, now))
        perform(action);
}

void DomainSteward::perform(const HandoverAction &action)
{
    std::visit([this](const auto &kind) { performAction(kind); }, action);
}

void DomainSteward::performAction(const ServerOrder &order)
{
    if (order.through == m_context.self.incarnation || order.through.isEmpty()) {
        m_servers.execute(
            {m_domain, m_epoch}, order,
            whileAlive([this, id = order.order](const OrderEnd &end) { orderEnded(id, end); }));
        return;
    }
    for (const MemberRecord &member : m_hooks.daemons()) {
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

void DomainSteward::performAction(const CommitAssignment &commit)
{
    const std::string object = objectName(m_domain, commit.next.version);
    m_context.counters.add(Counter::PlatformWrites);
    m_context.platform.putObject(object, io::toCompactJson(io::encodeAssignment(commit.next)),
                                 whileAlive([this, commit, object](std::error_code error) {
                                     if (error)
                                         commitEnded(commit, CommitOutcome::Unknown);
                                     else
                                         publishRow(commit, object);
                                 }));
}

void DomainSteward::publishRow(const CommitAssignment &commit, const std::string &object)
{
    if (commit.expected != m_published) {
        commitEnded(commit, CommitOutcome::Conflict);
        return;
    }

    const io::RowId id{assignmentTable, m_domain.value()};
    io::Transaction transaction;
    transaction.id = io::TransactionId{object};
    transaction.writer = m_context.self.incarnation;
    transaction.conditions = {{id, m_publishedRow}};
    transaction.writes = {{id, rowValue(commit.next.version, object)}};
    m_context.counters.add(Counter::PlatformWrites);
    m_context.platform.transact(
        transaction, whileAlive([this, commit](const io::TransactOutcome &outcome) {
            if (const auto *committed = std::get_if<io::Committed>(&outcome)) {
                m_published = commit.next.version;
                m_publishedRow = committed->versions.at(0);
            }
            commitEnded(commit,
                        std::visit([](const auto &kind) { return outcomeOf(kind); }, outcome));
        }));
}

void DomainSteward::commitEnded(const CommitAssignment &commit, CommitOutcome outcome)
{
    if (outcome == CommitOutcome::Committed)
        m_context.counters.add(Counter::AssignmentsPublished);
    if (outcome == CommitOutcome::Unknown)
        m_context.counters.add(Counter::PlatformUnknowns);
    handle(CommitEnded{commit.commit, outcome});
}

void DomainSteward::performAction(const ReadPublished & /*action*/)
{
    if (!m_isReading)
        readPublished();
}

void DomainSteward::performAction(const AssignmentInForce &action)
{
    m_hooks.inForce(action.assignment);
}

void DomainSteward::performAction(const PromptPull &action)
{
    Json::Value parameters{Json::objectValue};
    parameters["domain"] = m_domain.value();
    parameters["epoch"] = io::jsonOf(m_epoch);
    parameters["steward"] = m_context.self.address;
    for (const MemberRecord &member : m_hooks.daemons()) {
        if (member.incarnation == action.daemon)
            m_context.peers.call(member.address, "lease.prompt", parameters, peerCallTimeout,
                                 [](const io::RpcReply &) {});
    }
}

void DomainSteward::performAction(const StewardshipLost & /*action*/)
{
    io::logEvent(LogLevel::Warning, "stewardship-overtaken", {{"domain", m_domain.value()}});
}

} // namespace bulrush

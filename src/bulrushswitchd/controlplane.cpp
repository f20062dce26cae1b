#include "controlplane.h"

#include "connection/peerclient.h"
#include "domainleader.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/leasecodec.h"
#include "process/logging.h"
#include "process/looptimers.h"
#include "process/peermessagecodec.h"
#include "process/platformclient.h"
#include "process/stewardcodec.h"
#include "version/assignmentcodec.h"
#include "version/burnreport.h"
#include "version/contractreader.h"
#include "version/loadreportcodec.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace bulrush {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds{20};
constexpr Duration probeInterval = std::chrono::milliseconds{250};
constexpr Duration hostsInterval = std::chrono::seconds{1};
constexpr Duration loadInterval = std::chrono::seconds{2};
constexpr std::size_t contractLimit = 10000;
constexpr std::size_t departureLimit = 1000;

MembershipSettings membershipSettings(const ControlContext &context)
{
    MembershipSettings settings;
    for (const PeerSeed &seed : context.settings.seeds) {
        const std::string address = toString(seed.address);
        if (seed.host != context.settings.host && address != context.self.address)
            settings.seeds.push_back(address);
    }
    settings.randomSeed = context.self.generation;
    return settings;
}

DomainName domainIn(const Json::Value &parameters)
{
    io::JsonReader reader{parameters};
    DomainName domain{reader.text("domain")};
    if (!reader.isValid())
        throw std::invalid_argument("domain: a failure domain's name is missing");
    return domain;
}

std::string nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace

ControlPlane::ControlPlane(ControlContext &context, SharedState shared,
                           std::function<void()> onDeparture)
    : m_context(context)
    , m_shared(shared)
    , m_onDeparture(std::move(onDeparture))
    , m_versions(io::hostNow())
    , m_membership(membershipSettings(context), context.self, m_versions, io::hostNow())
    , m_servers(
          context, shared.serverStatuses,
          [this](const ServerName &server, bool isLost) {
              m_shared.gate.setServerLost(server, isLost);
          },
          [this](const ServerName &server, bool isDraining) {
              m_shared.serverQueues.at(server)->recordServerAnswer(isDraining, io::hostNow());
          })
    , m_leases(
          context, shared.gate,
          [this](const DomainName &domain, const Json::Value &request) {
              return handleLeasePull(domain, request);
          },
          [this](const DomainName &domain, Fence) { fetchAssignment(domain); })
    , m_shares(context, shared.limits,
               [this](const Json::Value &call) { return handleShareRenewal(call); })
{
    addProcedures();
    service(context.settings.domain);
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start()
{
    m_context.timers.every(tickInterval, [this](Instant) { tickServices(); });
    m_context.timers.every(probeInterval, [this](Instant) { probeServers(); });
    m_context.timers.every(hostsInterval, [this](Instant) { readHosts(); });
    m_context.timers.every(loadInterval, [this](Instant) { reportLoads(); });
    updateLivePeers();
}

void ControlPlane::addProcedures()
{
    m_dispatcher.add("members.message",
                     [this](const auto &call) { return handleMemberMessage(call); });
    m_dispatcher.add("steward.promise",
                     [this](const auto &call) { return handlePromiseRequest(call); });
    m_dispatcher.add("steward.release",
                     [this](const auto &call) { return handlePromiseRelease(call); });
    m_dispatcher.add("steward.announce",
                     [this](const auto &call) { return handleLeaderAnnouncement(call); });
    m_dispatcher.add("lease.prompt", [this](const auto &call) {
        Json::Value known = handleLeaderAnnouncement(call);
        m_leases.pull(domainIn(call));
        return known;
    });
    m_dispatcher.add("lease.pull",
                     [this](const auto &call) { return handleLeasePull(domainIn(call), call); });
    m_dispatcher.add("server.order", [this](const auto &call) { return handleServerOrder(call); });
    m_dispatcher.add("order.ended",
                     [this](const auto &call) { return handleServerOrderResult(call); });
    m_dispatcher.add("share.renew", [this](const auto &call) { return handleShareRenewal(call); });
    m_dispatcher.add("load.report", [this](const auto &call) { return handleLoadReport(call); });
    m_dispatcher.add("assignment.view",
                     [this](const auto &call) { return assignment(domainIn(call)); });
}

std::string ControlPlane::answerCall(const std::string &text)
{
    return m_dispatcher.dispatch(text);
}

void ControlPlane::leave()
{
    if (std::exchange(m_isLeaving, true))
        return;
    perform(m_membership.leave(io::hostNow()));
    for (auto &[domain, leadership] : m_leadershipServices)
        leadership->handleEvent(DepartureRequested{});
}

void ControlPlane::stop()
{
    perform(m_membership.stop(io::hostNow()));
}

bool ControlPlane::isDepartureComplete() const
{
    return std::all_of(
        m_leadershipServices.begin(), m_leadershipServices.end(),
        [](const auto &entry) { return entry.second->leadership().isDepartureComplete(); });
}

bool ControlPlane::isReady() const
{
    return !m_contracts.empty() && m_assignments.contains(m_context.settings.domain)
        && m_shares.hasValidShares(io::hostNow());
}

bool ControlPlane::isSuperseded() const
{
    return m_membership.isSuperseded();
}

void ControlPlane::tickServices()
{
    const Instant now = io::hostNow();
    tickMembership();
    for (auto &[domain, leadership] : m_leadershipServices) {
        leadership->tick(now);
        const auto &row = leadership->leadership().row();
        if (row)
            m_leases.setLeader(domain, {row->row.holderAddress, row->row.epoch});
    }
    for (auto &[domain, leader] : m_leaders)
        leader->tick(now, m_leadershipServices.at(domain)->holdsByPromisesOnly(now));
    m_leases.tick(now);
    m_shares.tick(now, m_leases.leader(m_context.settings.domain), m_contracts);
    if (m_isViewStale)
        rebuildView();
}

void ControlPlane::tickMembership()
{
    const Instant now = io::hostNow();
    if (now >= m_membership.nextDue())
        perform(m_membership.onTick(now));
    if (m_membership.self().state == MemberState::Leaving && !m_isLeaving)
        m_onDeparture();
}

void ControlPlane::readHosts()
{
    // One daemon per failure domain reads the list, since members relay it. Leaders read it too,
    // since they need the states of servers.
    if (m_membership.reader().host != m_context.settings.host && m_leaders.empty())
        return;

    readDepartures();
    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.hosts([this](const io::HostsResult &result) {
        if (result.error)
            return;
        std::vector<ListedHost> hosts;
        m_leavingServers.clear();
        for (const io::ListedHost &host : result.hosts) {
            const bool isLeaving = host.state == io::ListedHost::State::Leaving;
            if (host.kind == io::ListedHost::Kind::Entry)
                hosts.push_back({HostName{host.name}, host.address, isLeaving});
            else if (isLeaving)
                m_leavingServers.insert(ServerName{host.name});
        }
        addDepartures(hosts);
        perform(m_membership.onHostList(io::hostNow(), hosts));
    });
}

void ControlPlane::readDepartures()
{
    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.scan("departure", "", "", departureLimit,
                            [this](const io::RowsResult &result) {
                                if (result.error)
                                    return;
                                m_departures.clear();
                                for (const io::TableRow &row : result.rows)
                                    m_departures.insert(HostName{row.id.key});
                            });
}

void ControlPlane::addDepartures(std::vector<ListedHost> &hosts) const
{
    std::set<HostName> listed;
    for (ListedHost &host : hosts) {
        host.isLeaving = host.isLeaving || m_departures.contains(host.host);
        listed.insert(host.host);
    }
    for (const MemberRecord &member : m_membership.members()) {
        if (m_departures.contains(member.host) && !listed.contains(member.host))
            hosts.push_back({member.host, member.address, true});
    }
}

void ControlPlane::probeServers()
{
    std::set<ServerName> managed;
    for (const auto &[domain, assignment] : m_assignments) {
        for (const ManagedServer &managedServer : assignment.managedServers) {
            if (managedServer.manager == m_context.self.incarnation)
                managed.insert(managedServer.server);
        }
    }
    m_servers.probe(managed, io::hostNow());
}

void ControlPlane::updateLivePeers()
{
    std::vector<LeaderCandidate> peers;
    for (const MemberRecord &member : m_membership.members()) {
        if (member.state == MemberState::Alive)
            peers.push_back({member.incarnation, member.domain, member.address});
    }
    for (auto &[domain, leadership] : m_leadershipServices)
        leadership->handleEvent(LivePeersChanged{peers});
}

bool ControlPlane::managesServersIn(const Assignment &assignment) const
{
    return std::any_of(assignment.managedServers.begin(), assignment.managedServers.end(),
                       [this](const ManagedServer &managedServer) {
                           return managedServer.manager == m_context.self.incarnation;
                       });
}

void ControlPlane::reportLoads()
{
    for (const auto &[domain, assignment] : m_assignments) {
        const auto leader = m_leases.leader(domain);
        if (!leader || !managesServersIn(assignment))
            continue;
        Json::Value report{Json::objectValue};
        report["domain"] = domain.value();
        report["daemon"] = m_context.self.incarnation.value();
        report["services"] = io::encodeLoadReports(m_shared.loads.reports(domain, io::hostNow()));
        if (leader->address == m_context.self.address)
            handleLoadReport(report);
        else
            m_context.peers.call(leader->address, "load.report", report, peerCallTimeout,
                                 [](const io::RpcReply &) {});
    }
}

void ControlPlane::perform(const MembershipActions &actions)
{
    for (const MembershipAction &action : actions)
        std::visit([this](const auto &kind) { performAction(kind); }, action);
}

void ControlPlane::performAction(const OutgoingMessage &action)
{
    const Json::Value parameters = io::parseJson(io::encodePeerMessage(action.message));
    m_context.peers.call(action.to, "members.message", parameters, peerCallTimeout,
                         [](const io::RpcReply &) {});
}

void ControlPlane::performAction(const ReadPlatform & /*action*/)
{
    const Instant requestedAt = io::hostNow();
    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.scan(
        "contract", "", "", contractLimit, [this, requestedAt](const io::RowsResult &result) {
            if (result.error) {
                m_context.counters.add(Counter::PlatformErrors);
                m_membership.onPlatformFailure(io::hostNow());
                return;
            }
            PlatformListing listing;
            listing.requestedAt = requestedAt;
            for (const io::TableRow &row : result.rows) {
                listing.items.push_back(makeItem({ItemKind::Contract, row.id.key}, {0, row.version},
                                                 row.value["text"].asString()));
            }
            perform(m_membership.onPlatformListing(io::hostNow(), listing));
        });
}

void ControlPlane::performAction(const ApplyItem &action)
{
    if (action.item.header.key.kind == ItemKind::Contract)
        applyContract(action.item);
    else
        applyAssignment(action.item);
}

void ControlPlane::performAction(const MemberChanged &action)
{
    io::logEvent(LogLevel::Info, "member",
                 {{"host", action.member.host.value()},
                  {"incarnation", action.member.incarnation.value()},
                  {"state", nameOf(action.member.state)}});
    updateLivePeers();
    m_isViewStale = true;
}

void ControlPlane::performAction(const Superseded &action)
{
    io::logEvent(LogLevel::Error, "superseded", {{"by", action.successor.incarnation.value()}});
}

void ControlPlane::applyContract(const VersionedItem &item)
{
    io::ContractResult reading = io::readContract(*item.body, item.header.key.name);
    if (reading.error) {
        // Keeps the previous contract; the operators' client validates contracts before it writes.
        io::logEvent(LogLevel::Error, "contract-unusable",
                     {{"organisation", item.header.key.name},
                      {"problem", io::toString(reading.problems.front())}});
        return;
    }
    reading.contract.version = item.header.version.sequence;
    const OrganisationName organisation = reading.contract.organisation;
    m_shared.burnRecorder.setTargets(reading.contract);
    m_contracts[organisation] = std::make_shared<const Contract>(std::move(reading.contract));
    m_context.counters.add(Counter::ContractsAdopted);
    io::logEvent(LogLevel::Info, "contract-in-force",
                 {{"organisation", organisation.value()},
                  {"version", std::to_string(item.header.version.sequence)}});
    m_isViewStale = true;
}

void ControlPlane::applyAssignment(const VersionedItem &item)
{
    const auto assignment = io::decodeAssignment(io::parseJson(*item.body));
    if (assignment)
        adoptAssignment(*assignment);
}

void ControlPlane::adoptAssignment(const Assignment &assignment)
{
    Assignment &held = m_assignments[assignment.domain];
    if (assignment.version < held.version)
        return;

    held = assignment;
    m_shared.loads.setAssignment(assignment, io::hostNow());
    m_leases.setKnownVersion(assignment.domain, assignment.version);
    m_isViewStale = true;
}

void ControlPlane::fetchAssignment(const DomainName &domain)
{
    const auto leader = m_leases.leader(domain);
    if (!leader || leader->address == m_context.self.address)
        return;

    Json::Value parameters{Json::objectValue};
    parameters["domain"] = domain.value();
    m_context.peers.call(leader->address, "assignment.view", parameters, peerCallTimeout,
                         [this](const io::RpcReply &reply) {
                             const auto assignment =
                                 reply.error ? std::nullopt : io::decodeAssignment(reply.result);
                             if (assignment)
                                 adoptAssignment(*assignment);
                         });
}

Json::Value ControlPlane::handleMemberMessage(const Json::Value &parameters)
{
    PeerMessage message;
    const std::error_code error = io::decodePeerMessage(io::toCompactJson(parameters), message);
    if (error)
        throw std::invalid_argument(error.message());
    perform(m_membership.onMessage(io::hostNow(), message));
    return true;
}

Json::Value ControlPlane::handleLeasePull(const DomainName &domain, const Json::Value &request)
{
    const auto decoded = io::decodeLeaseRequest(request);
    if (!decoded)
        throw std::invalid_argument("lease request: a field is missing or of another type");

    const auto leader = m_leaders.find(domain);
    const auto reply = leader == m_leaders.end()
        ? std::nullopt
        : leader->second->answerPull(*decoded, io::hostNow());
    if (!reply)
        return {};
    m_context.counters.add(Counter::LeaseRequestsAnswered);
    return io::encodeLeaseReply(*reply);
}

Json::Value ControlPlane::handlePromiseRequest(const Json::Value &promiseRequest)
{
    return service(domainIn(promiseRequest)).answerPromiseRequest(promiseRequest);
}

Json::Value ControlPlane::handlePromiseRelease(const Json::Value &parameters)
{
    const auto release = io::decodePromiseRelease(parameters);
    if (!release)
        throw std::invalid_argument("release: a field is missing or of another type");
    if (parameters["to"].asString() != m_context.self.incarnation.value())
        return false;
    service(domainIn(parameters)).handleEvent(*release);
    return true;
}

Json::Value ControlPlane::handleLeaderAnnouncement(const Json::Value &parameters)
{
    io::JsonReader reader{parameters};
    const DomainName domain{reader.text("domain")};
    const KnownLeader leader{reader.text("steward"), reader.number("epoch")};
    if (!reader.isValid())
        throw std::invalid_argument("announcement: domain, steward or epoch is missing");
    m_leases.setLeader(domain, leader);
    m_leases.setShouldPull(domain, isInOwnDomain(leader.address));
    service(domain).handleEvent(LeaderAnnounced{leader.epoch});
    return true;
}

Json::Value ControlPlane::handleServerOrder(const Json::Value &parameters)
{
    const auto order = io::decodeServerOrder(parameters);
    io::JsonReader reader{parameters};
    const std::string leader = reader.text("steward");
    const std::uint64_t epoch = reader.number("epoch");
    const DomainName domain = domainIn(parameters);
    if (!order || !reader.isValid())
        throw std::invalid_argument("order: a field is missing or of another type");

    m_servers.execute({domain, epoch}, *order,
                      [this, leader, epoch, domain, id = order->order](const OrderResult &result) {
                          Json::Value answer{Json::objectValue};
                          answer["domain"] = domain.value();
                          answer["epoch"] = io::jsonOf(epoch);
                          answer["order"] = io::jsonOf(id);
                          answer["confirmed"] = result.isConfirmed;
                          answer["running"] = result.running;
                          if (result.highest)
                              answer["highest"] = io::encodeFence(*result.highest);
                          m_context.peers.call(leader, "order.ended", answer, peerCallTimeout,
                                               [](const io::RpcReply &) {});
                      });
    return true;
}

Json::Value ControlPlane::handleServerOrderResult(const Json::Value &parameters)
{
    io::JsonReader reader{parameters};
    OrderResult result;
    result.isConfirmed = reader.flag("confirmed");
    result.running = static_cast<std::uint32_t>(reader.number("running"));
    result.highest = io::decodeFence(parameters["highest"]);
    const std::uint64_t epoch = reader.number("epoch");
    const OrderId order = reader.number("order");
    const auto leader = m_leaders.find(domainIn(parameters));
    if (leader != m_leaders.end() && leader->second->epoch() == epoch && reader.isValid())
        leader->second->handleOrderResult(order, result);
    return true;
}

Json::Value ControlPlane::handleShareRenewal(const Json::Value &parameters)
{
    const Instant now = io::hostNow();
    const DomainName domain = domainIn(parameters);
    const auto leadership = m_leadershipServices.find(domain);
    if (leadership == m_leadershipServices.end()
        || !leadership->second->leadership().mayGrantAt(now))
        return {};
    return m_shares.answer(domain, parameters, m_contracts, now);
}

Json::Value ControlPlane::handleLoadReport(const Json::Value &parameters)
{
    io::JsonReader reader{parameters};
    const Incarnation daemon{reader.text("daemon")};
    auto reports = io::decodeLoadReports(reader.object("services"));
    const auto leader = m_leaders.find(domainIn(parameters));
    if (!reports || !reader.isValid())
        throw std::invalid_argument("load report: a field is missing, unsorted or too long");
    if (leader == m_leaders.end())
        return false;
    leader->second->recordLoads(daemon, *std::move(reports), io::hostNow());
    return true;
}

LeadershipService &ControlPlane::service(const DomainName &domain)
{
    const auto found = m_leadershipServices.find(domain);
    if (found != m_leadershipServices.end())
        return *found->second;

    LeadershipCallbacks callbacks;
    callbacks.onBegan = [this, domain](const LeadershipStarted &began) {
        this->handleLeadershipBegan(domain, began);
    };
    callbacks.onEnded = [this, domain](const LeadershipEnded &) {
        m_leaders.erase(domain);
    };
    callbacks.onLeaderChanged = [this, domain](const AnnounceLeader &announcement) {
        handleLeaderChange(domain, announcement);
    };
    return *m_leadershipServices
                .emplace(
                    domain,
                    std::make_unique<LeadershipService>(m_context, domain, std::move(callbacks)))
                .first->second;
}

void ControlPlane::handleLeadershipBegan(const DomainName &domain, const LeadershipStarted &began)
{
    m_shares.beginTerm(domain, began.epoch, io::hostNow());
    DomainLeaderCallbacks callbacks;
    callbacks.daemons = [this, domain] {
        return daemonsFor(domain);
    };
    callbacks.keyedServices = [this] {
        return keyedServices();
    };
    callbacks.managerOf = [this](const ServerName &server) {
        return m_shared.view.view()->managerOf(server);
    };
    callbacks.leavingServers = [this] {
        return m_leavingServers;
    };
    callbacks.onAssignmentInForce = [this](const Assignment &assignment) {
        adoptAssignment(assignment);
        perform(m_membership.publish(
            io::hostNow(),
            makeItem({ItemKind::Assignment, assignment.domain.value()}, assignment.version,
                     io::toCompactJson(io::encodeAssignment(assignment)))));
    };
    callbacks.localAssignment = [this, domain] {
        const auto found = m_assignments.find(domain);
        return found == m_assignments.end() ? Assignment{domain, {}, {}, {}} : found->second;
    };
    m_leaders[domain] = std::make_unique<DomainLeader>(
        m_context, m_servers, service(domain).leadership(), domain, began, std::move(callbacks));
}

void ControlPlane::handleLeaderChange(const DomainName &domain, const AnnounceLeader &announcement)
{
    m_leases.setLeader(domain, {announcement.address, announcement.epoch});
    m_leases.setShouldPull(domain, isInOwnDomain(announcement.address));
    if (announcement.holder != m_context.self.incarnation)
        return;

    std::set<std::string> addresses;
    for (const MemberRecord &member : daemonsFor(domain))
        addresses.insert(member.address);
    const auto &row = service(domain).leadership().row();
    if (row) {
        for (const LeaderCandidate &candidate : row->row.candidates)
            addresses.insert(candidate.address);
    }
    addresses.erase(m_context.self.address);
    Json::Value parameters{Json::objectValue};
    parameters["domain"] = domain.value();
    parameters["steward"] = announcement.address;
    parameters["epoch"] = io::jsonOf(announcement.epoch);
    for (const std::string &address : addresses)
        m_context.peers.call(address, "steward.announce", parameters, peerCallTimeout,
                             [](const io::RpcReply &) {});
}

bool ControlPlane::isInOwnDomain(const std::string &address) const
{
    const auto members = m_membership.members();
    return std::any_of(members.begin(), members.end(), [&](const MemberRecord &member) {
        return member.address == address && member.domain == m_context.settings.domain;
    });
}

std::vector<MemberRecord> ControlPlane::daemonsFor(const DomainName &domain) const
{
    std::vector<MemberRecord> daemons;
    for (const MemberRecord &member : m_membership.members()) {
        const bool isNear = member.domain == domain || member.domain == m_context.settings.domain;
        if (isNear && isPresent(member.state))
            daemons.push_back(member);
    }
    return daemons;
}

std::map<ServiceName, Preference> ControlPlane::keyedServices() const
{
    std::map<ServiceName, Preference> services;
    for (const auto &[organisation, contract] : m_contracts) {
        for (const ServiceTerms &terms : contract->services) {
            if (terms.isDividedByKey)
                services.emplace(terms.name, terms.preference);
        }
    }
    return services;
}

void ControlPlane::rebuildView()
{
    m_isViewStale = false;
    auto view = std::make_shared<RoutingView>(m_context.settings.servers);
    for (const auto &[domain, assignment] : m_assignments)
        view->setAssignment(assignment);
    for (const auto &[organisation, contract] : m_contracts)
        view->setContract(contract);
    std::map<Incarnation, PeerRoute> peers;
    for (const MemberRecord &member : m_membership.members()) {
        if (isPresent(member.state))
            peers[member.incarnation] = {member.host, member.domain, member.relayAddress};
    }
    view->setPeers(std::move(peers));
    m_shared.view.setView(std::move(view));
}

HolderState ControlPlane::holderState(const Incarnation &holder) const
{
    for (const MemberRecord &member : m_membership.members()) {
        if (member.incarnation == holder && member.state != MemberState::Gone)
            return HolderState::Alive;
    }
    return HolderState::Gone;
}

std::string ControlPlane::burnSnapshot() const
{
    return io::encodeBurnSnapshot(m_shared.burnRecorder.snapshot(
        io::hostNow(), m_context.settings.host, m_context.self.incarnation));
}

Json::Value ControlPlane::assignment(const DomainName &domain) const
{
    const auto found = m_assignments.find(domain);
    return found == m_assignments.end() ? Json::Value{} : io::encodeAssignment(found->second);
}

Json::Value ControlPlane::status() const
{
    const Instant now = io::hostNow();
    Json::Value json{Json::objectValue};
    json["host"] = m_context.settings.host.value();
    json["domain"] = m_context.settings.domain.value();
    json["incarnation"] = m_context.self.incarnation.value();
    json["leaving"] = m_isLeaving;
    json["ready"] = isReady();
    const auto currentAsOf = m_versions.currentAsOf();
    if (currentAsOf) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *currentAsOf);
        json["currentAsOfMs"] = Json::Int64{age.count()};
    } else {
        json["currentAsOfMs"] = Json::Value{};
    }
    json["contracts"] = Json::Value{Json::objectValue};
    // The contracts that traffic threads use; they lag behind the control thread by one tick.
    const auto view = m_shared.view.view();
    for (const auto &[organisation, contract] : view->contracts())
        json["contracts"][organisation.value()] = io::jsonOf(contract->version);
    json["shares"] = m_shared.limits.status(now);
    json["stewards"] = leaderStatus();
    json["assignments"] = assignmentStatus();
    json["servers"] = serverStatus();
    json["peers"] = peerStatus();
    json["counters"] = Json::Value{Json::objectValue};
    for (std::size_t i = 0; i < Counters::size; ++i) {
        const auto counter = static_cast<Counter>(i);
        json["counters"][std::string{counterName(counter)}] =
            io::jsonOf(m_context.counters.value(counter));
    }
    return json;
}

Json::Value ControlPlane::leaderStatus() const
{
    const Instant now = io::hostNow();
    Json::Value list{Json::arrayValue};
    for (const auto &[domain, leadership] : m_leadershipServices) {
        const auto &row = leadership->leadership().row();
        if (!row)
            continue;
        Json::Value entry{Json::objectValue};
        entry["domain"] = domain.value();
        entry["holder"] = row->row.holder.value();
        entry["epoch"] = io::jsonOf(row->row.epoch);
        entry["isSelf"] = leadership->leadership().isLeaderAt(now);
        entry["platformLease"] =
            leadership->leadership().isLeaderAt(now) && !leadership->holdsByPromisesOnly(now);
        const auto leader = m_leaders.find(domain);
        entry["moves"] =
            io::jsonOf(std::uint64_t{leader == m_leaders.end() ? 0 : leader->second->moveCount()});
        list.append(std::move(entry));
    }
    return list;
}

Json::Value ControlPlane::assignmentStatus() const
{
    Json::Value list{Json::arrayValue};
    for (const auto &[domain, assignment] : m_assignments) {
        Json::Value entry = io::encodeFence(assignment.version);
        entry["domain"] = domain.value();
        entry["slices"] = io::jsonOf(std::uint64_t{assignment.slices.size()});
        entry["servers"] = io::jsonOf(std::uint64_t{assignment.managedServers.size()});
        list.append(std::move(entry));
    }
    return list;
}

Json::Value ControlPlane::serverStatus() const
{
    const auto view = m_shared.view.view();
    Json::Value list{Json::arrayValue};
    for (const BackendServer &server : m_context.settings.servers) {
        const ServerStatus state = m_shared.serverStatuses.status(server.name);
        Json::Value entry{Json::objectValue};
        entry["name"] = server.name.value();
        entry["attendant"] = view->managerOf(server.name).value();
        entry["inFlight"] = state.reportedLoad;
        entry["lost"] = state.isLost;
        std::uint64_t slices = 0;
        for (const auto &[domain, assignment] : m_assignments) {
            slices += static_cast<std::uint64_t>(std::count_if(
                assignment.slices.begin(), assignment.slices.end(),
                [&](const SliceOwner &owner) { return owner.server == server.name; }));
        }
        entry["slices"] = io::jsonOf(slices);
        list.append(std::move(entry));
    }
    return list;
}

Json::Value ControlPlane::peerStatus() const
{
    Json::Value list{Json::arrayValue};
    for (const MemberRecord &member : m_membership.members()) {
        Json::Value entry{Json::objectValue};
        entry["host"] = member.host.value();
        entry["domain"] = member.domain.value();
        entry["incarnation"] = member.incarnation.value();
        entry["state"] = nameOf(member.state);
        list.append(std::move(entry));
    }
    return list;
}

} // namespace bulrush

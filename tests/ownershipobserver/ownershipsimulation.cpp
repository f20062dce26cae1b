#include "ownershipsimulation.h"

#include <cstdio>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Duration daemonTickInterval = 2ms;
constexpr Duration leaderTickInterval = 2ms;
constexpr Duration platformTimeout = 100ms;
constexpr Duration lateWriteDelay = 300ms;
constexpr Duration callerTimeout = 2s;
const ServiceName service("catalogue");

std::string text(Fence fence)
{
    return std::to_string(fence.epoch) + "." + std::to_string(fence.sequence);
}

/** \returns the index in \a name, which is a letter and a number from 1. */
std::size_t indexOf(const std::string &name)
{
    return std::stoul(name.substr(1)) - 1;
}

std::string_view text(ServerOrderKind kind)
{
    switch (kind) {
    case ServerOrderKind::Prepare:
        return "prepare";
    case ServerOrderKind::Revoke:
        return "revoke";
    case ServerOrderKind::Grant:
        return "grant";
    }
    return {};
}

} // namespace

OwnershipSimulation::OwnershipSimulation(const SimulationSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(1s)
{
    if (settings.fault == PlantedFault::NoDriftMargin)
        m_settings.terms.driftPpm = 0;
    for (int i = 0; i < settings.servers; ++i)
        m_servers.push_back(std::make_unique<Server>(
            Server{makeProcess("s" + std::to_string(i + 1)), {}, {}, {}, {}}));
    for (int i = 0; i < settings.daemons; ++i) {
        const std::string name = "d" + std::to_string(i + 1);
        m_daemons.push_back(std::make_unique<Daemon>(
            makeProcess(name), RoutingLeaseHolder(Incarnation(name), m_settings.terms)));
        Daemon &daemon = *m_daemons.back();
        after(1ms * i, [this, &daemon] { tickDaemon(daemon); });
    }
    for (int key = 0; key < settings.keys; ++key) {
        m_plannedServers.push_back(key % settings.servers);
        if (settings.requestedKeys.empty())
            after(settings.requestPeriod * key / settings.keys, [this, key] { request(key); });
    }
    for (const int key : settings.requestedKeys)
        after(1ms, [this, key] { request(key); });
    m_publishedAssignment.domain = DomainName("north");
    m_publishedEpoch = 0;
    startNewLeader();
}

void OwnershipSimulation::at(Duration time, std::function<void()> step)
{
    m_events.emplace(Instant(1s) + time, std::move(step));
}

void OwnershipSimulation::runUntil(Duration time)
{
    const Instant end = Instant(1s) + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

void OwnershipSimulation::killServer(int index)
{
    Server &server = *m_servers[index];
    note(server.process.name + " killed");
    server.process.isAlive = false;
    interruptRunningWork(server);
    server.running.clear();
}

void OwnershipSimulation::freezeServer(int index)
{
    Server &server = *m_servers[index];
    note(server.process.name + " freezes");
    server.process.isFrozen = true;
    m_interruptedWork += interruptRunningWork(server);
}

int OwnershipSimulation::interruptRunningWork(Server &server)
{
    int ended = 0;
    for (auto &[id, running] : server.running) {
        if (std::exchange(running.isInterrupted, true))
            continue;
        const Work &work = running.work;
        m_observer.record(
            {ServerName(server.process.name), work.key, work.fence, running.start, m_now});
        ++ended;
    }
    return ended;
}

void OwnershipSimulation::thawServer(int index)
{
    thaw(m_servers[index]->process);
}

void OwnershipSimulation::killDaemon(int index)
{
    note(m_daemons[index]->process.name + " killed");
    m_daemons[index]->process.isAlive = false;
}

void OwnershipSimulation::freezeDaemon(int index)
{
    note(m_daemons[index]->process.name + " freezes");
    m_daemons[index]->process.isFrozen = true;
}

void OwnershipSimulation::thawDaemon(int index)
{
    thaw(m_daemons[index]->process);
}

void OwnershipSimulation::isolate(int daemon, int server, bool isIsolated)
{
    const std::string names =
        m_daemons[daemon]->process.name + " and " + m_servers[server]->process.name;
    note(names + (isIsolated ? " cut from the rest" : " joined to the rest"));
    m_daemons[daemon]->process.isIsolated = isIsolated;
    m_servers[server]->process.isIsolated = isIsolated;
}

void OwnershipSimulation::scheduleDeparture(int index)
{
    note("host of " + m_daemons[index]->process.name + " is to leave");
    m_daemons[index]->isLeaving = true;
    plan(currentLeader());
}

void OwnershipSimulation::freezeLeader()
{
    note("steward " + std::to_string(currentLeader().epoch) + " freezes");
    currentLeader().process.isFrozen = true;
}

void OwnershipSimulation::thawLeaders()
{
    for (const auto &leader : m_leaders)
        thaw(leader->process);
}

void OwnershipSimulation::killLeader()
{
    note("steward " + std::to_string(currentLeader().epoch) + " killed");
    currentLeader().process.isAlive = false;
}

void OwnershipSimulation::startSuccessorAfterTerm()
{
    // Replaces the leader election: a successor waits until the term has expired on every clock.
    Leader &leader = currentLeader();
    const Duration left = std::max<Duration>(leader.termEnd - local(leader.process), 0ns);
    const Instant tenure = leader.termEnd;
    after(stretched(left, m_settings.terms.driftPpm) + 10ms, [this, tenure] {
        if (currentLeader().termEnd != tenure)
            return;
        if (m_platformFault == PlatformFault::None)
            startNewLeader();
        else
            startSuccessorAfterTerm();
    });
}

void OwnershipSimulation::moveSlice(int key, int server)
{
    Leader &leader = currentLeader();
    note("plan: slice " + std::to_string(key) + " to " + m_servers[server]->process.name);
    m_plannedServers[key] = server;
    if (key < static_cast<int>(leader.plannedServers.size()))
        leader.plannedServers[key] = server;
    plan(leader);
}

void OwnershipSimulation::setPlatformFault(PlatformFault fault)
{
    m_platformFault = fault;
    const bool isPlatformOut = fault == PlatformFault::Down;
    note(isPlatformOut ? "platform down"
                       : "platform fault " + std::to_string(static_cast<int>(fault)));
    after(200ms, [this, isPlatformOut] {
        Leader &leader = currentLeader();
        deliver(leader.process, [this, &leader, isPlatformOut] {
            if (isPlatformOut != (m_platformFault == PlatformFault::Down))
                return;
            leader.isPlatformOut = isPlatformOut;
            applyEvent(leader, PlatformOutageChanged{isPlatformOut});
        });
    });
}

void OwnershipSimulation::setViewsBlocked(int daemon, bool isBlocked)
{
    m_daemons[daemon]->isViewBlocked = isBlocked;
}

void OwnershipSimulation::startUpload(int key, Duration length)
{
    note("upload on slice " + std::to_string(key));
    const View &view = *m_daemons[0]->view;
    const std::optional<OwnedPiece> owner = view.map.covering({service, range(key)});
    if (!owner)
        return;
    Daemon *manager = daemonOf(owner->manager);
    dispatch(*manager,
             {service, keyHash(key), owner->server, local(manager->process) + length,
              view.assignment.version},
             length, true);
}

void OwnershipSimulation::note(const std::string &line)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%10.3f ms  ",
                  std::chrono::duration<double, std::milli>(m_now - Instant(1s)).count());
    m_session += stamp + line + "\n";
}

int OwnershipSimulation::refusals(DispatchRefusal reason) const
{
    const auto found = m_refusals.find(reason);
    return found == m_refusals.end() ? 0 : found->second;
}

Duration OwnershipSimulation::unavailable(int key, Duration from, Duration until) const
{
    const Instant start = Instant(1s);
    const Duration gap = m_observer.longestGap(keyHash(key), start + from, start + until);
    return std::max<Duration>(gap - m_settings.requestPeriod, 0ns);
}

bool OwnershipSimulation::hasLiveProcesses() const
{
    const auto isAlive = [](const auto &entry) {
        return entry->process.isAlive;
    };
    return std::any_of(m_servers.begin(), m_servers.end(), isAlive)
        && std::any_of(m_daemons.begin(), m_daemons.end(), isAlive);
}

Instant OwnershipSimulation::lastStartAt(int server) const
{
    return m_servers[server]->lastStart - Duration(1s);
}

const Handover *OwnershipSimulation::handover() const
{
    return m_leaders.back()->handover.get();
}

void OwnershipSimulation::after(Duration delay, std::function<void()> step)
{
    m_events.emplace(m_now + delay, std::move(step));
}

void OwnershipSimulation::send(const Process &from, Process &to, const std::function<void()> &step)
{
    if (from.isIsolated != to.isIsolated)
        return;
    const int copies = randomUnit() < m_settings.duplicateShare ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (randomUnit() >= m_settings.lossShare)
            after(delay(), [this, &to, step] { deliver(to, step); });
    }
}

void OwnershipSimulation::deliver(Process &to, const std::function<void()> &step)
{
    if (!to.isAlive)
        return;
    if (to.isFrozen)
        to.inbox.push_back(step);
    else
        step();
}

void OwnershipSimulation::thaw(Process &process)
{
    if (!process.isFrozen || !process.isAlive)
        return;
    note(process.name + " thaws with " + std::to_string(process.inbox.size() / 10 * 10)
         + "+ messages waiting");
    process.isFrozen = false;
    for (const auto &step : std::exchange(process.inbox, {}))
        step();
}

Instant OwnershipSimulation::local(const Process &process) const
{
    const Duration run = m_now.time_since_epoch();
    return Instant(run + run * process.ppm / 1'000'000 + process.offset);
}

Duration OwnershipSimulation::delay(double slowShare)
{
    const Duration most = randomUnit() < slowShare ? m_settings.slowDelay : m_settings.maxDelay;
    return m_settings.minDelay
        + Duration(static_cast<Duration::rep>(
            randomUnit() * static_cast<double>((most - m_settings.minDelay).count())));
}

double OwnershipSimulation::randomUnit()
{
    return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
}

OwnershipSimulation::Process OwnershipSimulation::makeProcess(std::string name)
{
    const double drawn = randomUnit() * 2 - 1;
    const double rate = m_settings.hasExtremeClocks ? (drawn < 0 ? -1 : 1) : drawn;
    const auto ppm = static_cast<std::int64_t>(rate * static_cast<double>(m_settings.clockPpm));
    const Duration offset(static_cast<Duration::rep>(randomUnit() * 1e12));
    return {std::move(name), offset, ppm, true, false, false, {}};
}

OwnershipSimulation::Daemon *OwnershipSimulation::daemonOf(const Incarnation &incarnation)
{
    return incarnation.isEmpty() ? nullptr : m_daemons.at(indexOf(incarnation.value())).get();
}

OwnershipSimulation::Server &OwnershipSimulation::serverOf(const ServerName &name)
{
    return *m_servers.at(indexOf(name.value()));
}

OwnershipSimulation::Leader &OwnershipSimulation::currentLeader()
{
    return *m_leaders.back();
}

SliceRange OwnershipSimulation::range(int key) const
{
    const KeyHash width = ~KeyHash{0} / static_cast<KeyHash>(m_settings.keys);
    const KeyHash begin = width * static_cast<KeyHash>(key);
    return {begin, key + 1 == m_settings.keys ? ~KeyHash{0} : begin + width - 1};
}

KeyHash OwnershipSimulation::keyHash(int key) const
{
    return range(key).begin + 1000;
}

void OwnershipSimulation::tickDaemon(Daemon &daemon)
{
    if (!daemon.process.isAlive)
        return;
    after(daemonTickInterval, [this, &daemon] { tickDaemon(daemon); });
    if (daemon.process.isFrozen)
        return;
    const Instant now = local(daemon.process);
    if (now >= daemon.nextPull || daemon.right.needsPull())
        pull(daemon);
    if (now >= daemon.nextPing)
        ping(daemon);
}

void OwnershipSimulation::pull(Daemon &daemon)
{
    const Instant now = local(daemon.process);
    daemon.nextPull = now + m_settings.terms.pullInterval;
    LeaseRequest request = daemon.right.makeRequest(daemon.view->assignment.version, now);
    if (m_settings.fault == PlantedFault::IdleReportedEarly) {
        for (StopReport &report : request.stopReports)
            report.idle = true;
    }
    daemon.sentAt[request.requestId] = now;
    const std::size_t index = daemon.leader;
    send(daemon.process, m_leaders[index]->process,
         [this, index, request] { answerPull(index, request); });
}

void OwnershipSimulation::ping(Daemon &daemon)
{
    const Instant now = local(daemon.process);
    daemon.nextPing = now + m_settings.serverSilenceTimeout / 5;
    for (const ManagedServer &managedServer : daemon.view->assignment.managedServers) {
        const bool attends = managedServer.manager.value() == daemon.process.name;
        if (!attends) {
            daemon.lastPong.erase(managedServer.server);
            daemon.right.setServerLost(managedServer.server, false);
            continue;
        }
        const Instant last = daemon.lastPong.try_emplace(managedServer.server, now).first->second;
        daemon.right.setServerLost(managedServer.server,
                                   now - last > m_settings.serverSilenceTimeout);
        Server &server = serverOf(managedServer.server);
        const ServerName name = managedServer.server;
        send(daemon.process, server.process, [this, &server, &daemon, name] {
            const Duration clock = local(server.process).time_since_epoch();
            send(server.process, daemon.process, [this, &daemon, name, clock] {
                daemon.clocks[name] = {clock, local(daemon.process)};
                daemon.lastPong[name] = local(daemon.process);
            });
        });
    }
}

void OwnershipSimulation::receiveReply(Daemon &daemon, LeaseReply reply)
{
    const Instant now = local(daemon.process);
    if (m_settings.fault == PlantedFault::LeaseCountedFromReceipt)
        reply.length += now - daemon.sentAt[reply.requestId];
    daemon.right.accept(reply, now);
}

void OwnershipSimulation::receiveView(Daemon &daemon, const ViewPointer &view)
{
    const bool isNewer = view->assignment.version > daemon.view->assignment.version;
    if (!daemon.isViewBlocked && isNewer)
        daemon.view = view;
}

void OwnershipSimulation::request(int key)
{
    after(m_settings.requestPeriod, [this, key] { request(key); });
    for (std::size_t tried = 0; tried < m_daemons.size(); ++tried) {
        Daemon &entry = *m_daemons[static_cast<std::size_t>(m_nextEntry++) % m_daemons.size()];
        if (!entry.process.isAlive || entry.process.isFrozen)
            continue;
        const std::optional<OwnedPiece> owner =
            entry.view->map.covering({service, {keyHash(key), keyHash(key)}});
        Daemon *manager = owner ? daemonOf(owner->manager) : nullptr;
        if (!manager)
            return;
        const Duration run = m_settings.minRun
            + Duration(static_cast<Duration::rep>(
                randomUnit()
                * static_cast<double>((m_settings.maxRun - m_settings.minRun).count())));
        const DispatchQuery query{
            service, keyHash(key), owner->server, {}, entry.view->assignment.version};
        const auto relay = [this, manager, query, run] {
            dispatch(*manager, query, run, false);
        };
        if (manager == &entry)
            relay();
        else
            send(entry.process, manager->process, relay);
        return;
    }
}

void OwnershipSimulation::dispatch(Daemon &daemon, DispatchQuery query, Duration run, bool isUpload)
{
    const Instant now = local(daemon.process);
    query.callerDeadline = now + callerTimeout;
    const auto reading = daemon.clocks.find(query.server);
    const DispatchDecision decision = daemon.right.checkDispatch(query, now);
    if (const auto *refusal = std::get_if<DispatchRefusal>(&decision)) {
        ++m_refusals[*refusal];
        return;
    }
    if (reading == daemon.clocks.end())
        return;
    const auto &allowed = std::get<DispatchAllowed>(decision);
    const FlightId flight = daemon.right.startFlight(query, allowed);
    const Duration deadline =
        serverDeadline(reading->second, allowed.latestDeadline, m_settings.terms.driftPpm);
    const int index =
        static_cast<int>(std::find_if(m_daemons.begin(), m_daemons.end(),
                                      [&](const auto &each) { return each.get() == &daemon; })
                         - m_daemons.begin());
    const Work work{query.key, allowed.fence, deadline, run, index, flight, isUpload};
    Server &server = serverOf(query.server);
    if (daemon.process.isIsolated != server.process.isIsolated)
        return;
    after(delay(), [this, &server, work] {
        deliver(server.process, [this, &server, work] { receiveWork(server, work); });
    });
    if (!isUpload)
        after(callerTimeout, [this, &daemon, flight] {
            deliver(daemon.process, [&daemon, flight] { daemon.right.abandonFlight(flight); });
        });
}

bool OwnershipSimulation::isFenceAccepted(const Server &server, const Work &work) const
{
    const auto coversWork = [&work](const SliceOwner &slice) {
        return contains(slice.range, work.key) && slice.fence >= work.fence;
    };
    const bool isRevoked = std::any_of(server.revoked.begin(), server.revoked.end(), coversWork);
    const bool isGranted =
        std::any_of(server.grants.begin(), server.grants.end(), [&](const SliceOwner &grant) {
            return coversWork(grant) && grant.fence == work.fence;
        });
    return isGranted && !isRevoked;
}

void OwnershipSimulation::receiveWork(Server &server, const Work &work)
{
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(work.daemon)];
    const bool isLate = local(server.process).time_since_epoch() > work.deadline;
    const bool isFenced = m_settings.checksFence && !isFenceAccepted(server, work);
    if (isLate || isFenced) {
        ++(isLate ? m_deadlineDrops : m_fenceDrops);
        send(server.process, daemon.process,
             [&daemon, flight = work.flight] { daemon.right.endFlight(flight); });
        return;
    }
    const std::uint64_t id = ++m_lastWork;
    server.running.emplace(id, RunningWork{work, m_now, false});
    server.lastStart = m_now;
    const Duration run = work.run - work.run * server.process.ppm / 1'000'000;
    after(run, [this, &server, id] {
        deliver(server.process, [this, &server, id] { completeWork(server, id); });
    });
}

void OwnershipSimulation::completeWork(Server &server, std::uint64_t id)
{
    const auto found = server.running.find(id);
    if (found == server.running.end())
        return;
    const auto [work, start, isInterrupted] = found->second;
    server.running.erase(found);
    if (!isInterrupted)
        m_observer.record({ServerName(server.process.name), work.key, work.fence, start, m_now});
    if (work.isUpload) {
        ++m_endedUploads;
        note("upload ends at " + server.process.name);
    }
    Daemon &daemon = *m_daemons[static_cast<std::size_t>(work.daemon)];
    send(server.process, daemon.process,
         [&daemon, flight = work.flight] { daemon.right.endFlight(flight); });
}

void OwnershipSimulation::receiveOrder(Server &server, const ServerOrder &order, std::size_t leader)
{
    std::uint32_t running = 0;
    for (const SliceOwner &slice : order.slices) {
        const bool isCovered =
            slice.fence <= m_publishedAssignment.version || m_coveredFences.contains(slice.fence);
        if (order.kind == ServerOrderKind::Grant && !isCovered)
            ++m_uncoveredGrants;
        if (order.kind == ServerOrderKind::Grant)
            server.grants.push_back(slice);
        if (order.kind == ServerOrderKind::Revoke)
            server.revoked.push_back(slice);
        running += static_cast<std::uint32_t>(
            std::count_if(server.running.begin(), server.running.end(), [&](const auto &entry) {
                return contains(slice.range, entry.second.work.key);
            }));
    }
    confirmOrder(order, leader, OrderConfirmed{order.order, running});
}

void OwnershipSimulation::confirmOrder(const ServerOrder &order, std::size_t index,
                                       const HandoverEvent &event)
{
    Daemon *through = daemonOf(order.through);
    const Duration clock = local(serverOf(order.server).process).time_since_epoch();
    send(serverOf(order.server).process, through->process,
         [this, through, name = order.server, clock, index, event] {
             through->clocks[name] = {clock, local(through->process)};
             send(through->process, m_leaders[index]->process,
                  [this, index, event] { applyEvent(*m_leaders[index], event); });
         });
}

void OwnershipSimulation::tickLeader(Leader &leader)
{
    if (!leader.process.isAlive)
        return;
    after(leaderTickInterval, [this, &leader] { tickLeader(leader); });
    if (leader.process.isFrozen)
        return;
    const Instant now = local(leader.process);
    // Replaces the renewal of the term: by the platform's row or, in an outage, by promises of all
    // candidates.
    if (m_publishedEpoch == leader.epoch && (leader.termEnd > now || leader.termEnd == Instant{}))
        leader.termEnd = now + m_settings.tenure;
    if (!leader.handover) {
        finishRecovery(leader);
        return;
    }
    for (const auto &[incarnation, last] : leader.lastPull) {
        if (last + m_settings.daemonSilenceTimeout >= now
            || !leader.lostDaemons.insert(incarnation).second)
            continue;
        note("steward takes " + incarnation.value() + " for lost");
        applyEvent(leader, ServerManagerLost{incarnation});
        plan(leader);
    }
    applyEvent(leader, LeadershipExtended{leader.termEnd});
}

void OwnershipSimulation::startNewLeader()
{
    const std::size_t index = m_leaders.size();
    m_publishedEpoch = index + 1;
    m_leaders.push_back(std::make_unique<Leader>());
    currentLeader().process = makeProcess("steward" + std::to_string(m_publishedEpoch));
    currentLeader().epoch = m_publishedEpoch;
    Leader &leader = currentLeader();
    note("steward " + std::to_string(m_publishedEpoch) + " takes the row");
    const Instant now = local(leader.process);
    const Duration wait =
        index == 0 ? 0ms : stretched(m_settings.terms.runCap, m_settings.terms.driftPpm);
    leader.recovery =
        std::make_unique<AssignmentRecovery>(m_publishedAssignment, now + wait, now + wait + 300ms);
    std::set<Incarnation> asked;
    std::set<ServerName> askedServers;
    for (const auto &daemon : m_daemons)
        asked.insert(Incarnation(daemon->process.name));
    for (const auto &server : m_servers)
        askedServers.insert(ServerName(server->process.name));
    leader.recovery->setAsked(asked, askedServers);
    for (const auto &owned : m_daemons) {
        Daemon &daemon = *owned;
        send(leader.process, daemon.process, [this, &daemon, &leader, index] {
            daemon.leader = std::max(daemon.leader, index);
            daemon.nextPull = local(daemon.process);
            send(daemon.process, leader.process,
                 [&leader, &daemon, view = daemon.view->assignment] {
                     leader.recovery->addView(Incarnation(daemon.process.name), view);
                 });
        });
    }
    for (const auto &owned : m_servers) {
        Server &server = *owned;
        send(leader.process, server.process, [this, &server, &leader] {
            send(server.process, leader.process, [&leader, &server, grants = server.grants] {
                leader.recovery->addGrants(ServerName(server.process.name), grants);
            });
        });
    }
    after(0ms, [this, &leader] { tickLeader(leader); });
}

void OwnershipSimulation::finishRecovery(Leader &leader)
{
    const std::optional<Assignment> start = leader.recovery->result(local(leader.process));
    if (!start)
        return;
    RoutingLeaseTimings terms = m_settings.terms;
    if (m_settings.fault == PlantedFault::NoWaitForRunningWork)
        terms.runCap = 0ms;
    leader.book = std::make_unique<RoutingLeaseTable>(terms, leader.epoch);
    leader.handover = std::make_unique<Handover>(m_settings.moves, leader.epoch, *start,
                                                 m_publishedAssignment.version, *leader.book);
    leader.managedServers = ServerManagerTable(start->managedServers);
    if (m_settings.checksFence) {
        std::set<ServerName> checking;
        for (const auto &server : m_servers)
            checking.insert(ServerName(server->process.name));
        leader.handover->setCheckingServers(checking);
    }
    note("steward " + std::to_string(leader.epoch) + " starts from " + text(start->version));
    leader.isPlatformOut = m_platformFault == PlatformFault::Down;
    for (const auto &daemon : m_daemons)
        leader.lastPull[Incarnation(daemon->process.name)] = local(leader.process);
    applyEvent(leader, LeadershipExtended{leader.termEnd});
    applyEvent(leader, PlatformOutageChanged{leader.isPlatformOut});
    leader.plannedServers = m_plannedServers;
    plan(leader);
}

void OwnershipSimulation::answerPull(std::size_t index, const LeaseRequest &request)
{
    Leader &leader = *m_leaders[index];
    if (!leader.handover)
        return;
    const Instant now = local(leader.process);
    leader.lastPull[request.incarnation] = now;
    if (leader.lostDaemons.erase(request.incarnation) > 0) {
        applyEvent(leader, ServerManagerRecovered{request.incarnation});
        plan(leader);
    }
    updateLostServers(leader, request);
    Daemon &daemon = *daemonOf(request.incarnation);
    const std::optional<LeaseReply> reply =
        leader.book->answer(request, leader.handover->version(), now, leader.termEnd);
    if (!reply)
        return;
    const bool isSlow = m_settings.slowReplyShare > 0 && randomUnit() < m_settings.slowReplyShare;
    const Duration extra = isSlow ? m_settings.slowDelay : Duration(0);
    send(leader.process, daemon.process, [this, &daemon, reply = *reply, extra] {
        after(extra, [this, &daemon, reply] {
            deliver(daemon.process, [this, &daemon, reply] { receiveReply(daemon, reply); });
        });
    });
    if (leader.view && request.knownVersion < leader.view->assignment.version)
        send(leader.process, daemon.process,
             [this, &daemon, view = leader.view] { receiveView(daemon, view); });
    applyEvent(leader, HandoverTick{});
}

void OwnershipSimulation::updateLostServers(Leader &leader, const LeaseRequest &request)
{
    std::erase_if(leader.lostServers, [&](const auto &entry) {
        const bool isFound = entry.second == request.incarnation
            && std::find(request.lostServers.begin(), request.lostServers.end(), entry.first)
                == request.lostServers.end();
        if (isFound) {
            applyEvent(leader, ServerRecovered{entry.first});
            after(0ms, [this, &leader] { plan(leader); });
        }
        return isFound;
    });
    for (const ServerName &server : request.lostServers) {
        const bool attends =
            findManager(leader.managedServers.managedServers(), server) == request.incarnation;
        if (!attends || !leader.lostServers.emplace(server, request.incarnation).second)
            continue;
        note("steward takes " + server.value() + " for lost");
        applyEvent(leader, ServerLost{server});
        plan(leader);
    }
}

void OwnershipSimulation::plan(Leader &leader)
{
    if (!leader.handover || leader.process.isFrozen)
        return;
    const auto isLost = [&](int index) {
        return leader.lostServers.contains(
            ServerName(m_servers[static_cast<std::size_t>(index)]->process.name));
    };
    Assignment wanted{m_publishedAssignment.domain, {}, {}, {}};
    for (int key = 0; key < m_settings.keys; ++key) {
        int &server = leader.plannedServers[static_cast<std::size_t>(key)];
        for (int tried = 0; isLost(server) && tried < m_settings.servers; ++tried)
            server = (server + 1) % m_settings.servers;
        wanted.slices.push_back(
            {service,
             range(key),
             ServerName(m_servers[static_cast<std::size_t>(server)]->process.name),
             {}});
    }
    std::set<ServerName> servers;
    for (const auto &server : m_servers)
        servers.insert(ServerName(server->process.name));
    std::set<Incarnation> daemons;
    for (const auto &[incarnation, last] : leader.lastPull) {
        if (!leader.lostDaemons.contains(incarnation) && !daemonOf(incarnation)->isLeaving)
            daemons.insert(incarnation);
    }
    leader.managedServers.fit(servers, daemons);
    wanted.managedServers.assign(leader.managedServers.managedServers().begin(),
                                 leader.managedServers.managedServers().end());
    applyEvent(leader, WantedAssignmentChanged{wanted});
}

void OwnershipSimulation::applyEvent(Leader &leader, const HandoverEvent &event)
{
    if (!leader.handover)
        return;
    for (const HandoverAction &action : leader.handover->handle(event, local(leader.process)))
        perform(leader.epoch - 1, action);
}

void OwnershipSimulation::perform(std::size_t index, const HandoverAction &action)
{
    Leader &leader = *m_leaders[index];
    if (const auto *order = std::get_if<ServerOrder>(&action)) {
        note(std::string(text(order->kind)) + " " + std::to_string(order->slices.size()) + " at "
             + order->server.value() + " through " + order->through.value() + ", fence "
             + text(order->slices.front().fence));
        Daemon *through = daemonOf(order->through);
        if (!through)
            return;
        Server &server = serverOf(order->server);
        send(leader.process, through->process, [this, &server, through, order = *order, index] {
            send(through->process, server.process,
                 [this, &server, order, index] { receiveOrder(server, order, index); });
        });
    } else if (const auto *inForce = std::get_if<AssignmentInForce>(&action)) {
        publishAssignment(leader, *inForce);
    } else if (const auto *write = std::get_if<CommitAssignment>(&action)) {
        note("commit " + text(write->next.version) + " over " + text(write->expected));
        commit(index, *write);
    } else if (std::holds_alternative<ReadPublishedVersion>(action)) {
        if (m_platformFault == PlatformFault::Down)
            return;
        note("read the row");
        after(delay(), [this, index] {
            const Fence seen{m_publishedAssignment.version};
            send(m_leaders[index]->process, m_leaders[index]->process, [this, index, seen] {
                applyEvent(*m_leaders[index], PublishedVersionRead{seen});
            });
        });
    } else if (const auto *prompt = std::get_if<PromptLeasePull>(&action)) {
        if (Daemon *daemon = daemonOf(prompt->daemon))
            send(leader.process, daemon->process, [this, daemon] { pull(*daemon); });
    } else {
        note("steward " + std::to_string(leader.epoch) + " has lost its row");
    }
}

void OwnershipSimulation::publishAssignment(Leader &leader, const AssignmentInForce &inForce)
{
    note("in force " + text(inForce.assignment.version)
         + (inForce.isUnpublished ? ", unpublished" : ""));
    if (inForce.isUnpublished)
        m_coveredFences.insert(inForce.assignment.version);
    leader.view = std::make_shared<View>(inForce.assignment);
    for (const auto &owned : m_daemons) {
        Daemon &daemon = *owned;
        send(leader.process, daemon.process,
             [this, &daemon, view = leader.view] { receiveView(daemon, view); });
    }
}

CommitOutcome OwnershipSimulation::write(std::uint64_t epoch, const CommitAssignment &action)
{
    if (epoch != m_publishedEpoch)
        return CommitOutcome::Refused;
    if (action.expected != m_publishedAssignment.version)
        return CommitOutcome::Conflict;
    m_publishedAssignment = action.next;
    return CommitOutcome::Committed;
}

void OwnershipSimulation::commit(std::size_t index, const CommitAssignment &action)
{
    const std::uint64_t epoch = m_leaders[index]->epoch;
    const auto answer = [this, index, action](CommitOutcome outcome) {
        if (m_settings.fault == PlantedFault::UnknownTreatedAsCommitted
            && outcome == CommitOutcome::Unknown)
            outcome = CommitOutcome::Committed;
        deliver(m_leaders[index]->process, [this, index, action, outcome] {
            note("commit " + text(action.next.version)
                 + " ends: " + std::to_string(static_cast<int>(outcome)));
            applyEvent(*m_leaders[index], CommitCompleted{action.commit, outcome});
        });
    };
    const PlatformFault fault = m_platformFault;
    if (fault == PlatformFault::AnswerLost)
        after(delay(), [this, epoch, action] { write(epoch, action); });
    if (fault == PlatformFault::WriteLate)
        after(lateWriteDelay, [this, epoch, action] { write(epoch, action); });
    if (fault != PlatformFault::None) {
        after(platformTimeout, [answer] { answer(CommitOutcome::Unknown); });
        return;
    }
    after(delay(), [this, epoch, action, answer] {
        const CommitOutcome outcome = write(epoch, action);
        after(delay(), [answer, outcome] { answer(outcome); });
    });
}

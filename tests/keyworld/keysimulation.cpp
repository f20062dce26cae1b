#include "keysimulation.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bulrush::test {

namespace {

using namespace std::chrono_literals;

const ServiceName service{"catalogue"};
constexpr std::size_t daemonCount = 4;
constexpr std::size_t serverCount = 5;
constexpr std::size_t domainCount = 2;
/** Number of sampled keys. */
constexpr std::size_t cells = 64;
constexpr Duration tickInterval = 50ms;
/** Longest wait of a call that follows the ownership rows, as in the daemon. */
constexpr Duration maxStoreWait = 1000ms;
/** Minimum interval between connection attempts to one server, as in the daemon. */
constexpr Duration connectInterval = 250ms;
/** A record expires after three missed heartbeats of its server. */
constexpr Duration recordLifetime = 2610ms;
/** Stopped servers start again as new runs after this delay. */
constexpr Duration serverRestartDelay = 3s;

HostName hostOf(std::size_t index)
{
    return HostName{"d" + std::to_string(index)};
}

DomainName domainOf(std::size_t index)
{
    return DomainName{std::string(1, static_cast<char>('a' + index % domainCount))};
}

/** \returns the part of \a name that is used on the wire, which is the same for all runs. */
std::string wireNameOf(const ServerName &name)
{
    return name.value().substr(0, name.value().find('@'));
}

ServerRecord recordOf(const ServerName &name, std::size_t index, std::uint16_t port)
{
    return {name,  service, {"10.0.0.1", port},          domainOf(index), 3,
            false, {},      ServerName{wireNameOf(name)}};
}

} // namespace

struct KeySimulation::Daemon
{
    std::unique_ptr<KeyCoordinator> coordinator;
    std::uint64_t incarnation = 0;
    bool isUp = false;
    Instant frozenUntil;
    Instant partitionedFromStoreUntil;
    Instant partitionedFromServersUntil;
    /** End of the partition from each server. */
    std::map<std::size_t, Instant> partitionedFromServerUntil;
    /** For each run with a connection: the start count of the process that it leads to. */
    std::map<ServerName, std::uint64_t> connectedRuns;
    /** Last connection attempt to each server without a connection. */
    std::map<ServerName, Instant> connectTriedAt;
    /** State of the directory when the store was last reachable. */
    ServerDirectory directory;
    /** Version of the store up to which the daemon has applied the rows. */
    StoreVersion appliedVersion;
    Instant partitionedFromPeersUntil;
};

struct KeySimulation::Server
{
    /** Name of this run; runs with the same wire name differ in the part after the '@'. */
    ServerName name;
    std::size_t index = 0;
    int run = 0;
    /** Number of starts. */
    std::uint64_t starts = 0;
    std::uint16_t port = 0;
    standins::LeaseTable leases{cells};
    bool isUp = true;
};

KeySimulation::KeySimulation(std::uint64_t seed, PlantedFault planted, bool hasRestores)
    : m_random(seed)
    , m_planted(planted)
    , m_now(Instant{1000s})
    , m_era(hasRestores ? 1 : 0)
    , m_hasRestores(hasRestores)
{
    m_store.assignment.service = service;
    for (std::size_t i = 0; i < serverCount; ++i) {
        auto server = std::make_unique<Server>();
        server->index = i;
        server->leases = standins::LeaseTable{cells, i % 2 == 0 ? 20'000 : 0};
        server->name = ServerName{"s" + std::to_string(i) + "-0"};
        server->port = static_cast<std::uint16_t>(i + 1);
        m_directory.applyRecord(recordOf(server->name, i, server->port), m_now - 10s, m_now - 10s);
        m_servers.push_back(std::move(server));
    }
    for (std::size_t i = 0; i < daemonCount; ++i) {
        m_daemons.push_back(std::make_unique<Daemon>());
        startDaemon(i);
    }
}

KeySimulation::~KeySimulation() = default;

SimulationResult KeySimulation::run()
{
    const Instant faultsEnd = m_now + 60s;
    if (m_hasRestores)
        keepCopies();
    after(2s, [this] { injectFault(); });
    runUntil(faultsEnd);
    m_hasFaults = false;
    runUntil(faultsEnd + 45s);
    int served = 0;
    for (std::size_t cell = 0; cell < cells; ++cell) {
        const OwnedRange *owned = m_store.assignment.find(m_servers.front()->leases.keyOf(cell));
        Server *server = owned ? serverOf(owned->owner) : nullptr;
        served += server && server->leases.holds(cell, m_now) ? 1 : 0;
    }
    m_result.servedAtEnd = static_cast<double>(served) / cells;
    return m_result;
}

void KeySimulation::after(Duration delay, Step step)
{
    m_steps.emplace(m_now + delay, std::move(step));
}

void KeySimulation::runUntil(Instant end)
{
    while (!m_steps.empty() && m_steps.begin()->first <= end && m_result.violation.empty()) {
        m_now = m_steps.begin()->first;
        const Step step = std::move(m_steps.begin()->second);
        m_steps.erase(m_steps.begin());
        step();
        check();
    }
    m_now = end;
}

std::string KeySimulation::runScript(Duration span)
{
    m_isScripted = true;
    m_hasFaults = false;
    m_start = m_now;
    m_tracedHolders.resize(cells);
    keepCopies();
    runUntil(m_start + span);
    addToTrace(m_result.violation.empty() ? "one owner throughout" : m_result.violation);
    return m_trace;
}

void KeySimulation::at(Duration since, std::function<void()> step)
{
    after(since, std::move(step));
}

std::size_t KeySimulation::planner() const
{
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (m_daemons[i]->isUp && m_daemons[i]->coordinator->isPlanning())
            return i;
    }
    return 0;
}

void KeySimulation::addToTrace(const std::string &what)
{
    if (!m_isScripted)
        return;
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_start);
    std::array<char, 16> time{};
    std::snprintf(time.data(), time.size(), "%7.2f", static_cast<double>(passed.count()) / 1000.0);
    m_trace += std::string{time.data()} + "  " + what + '\n';
}

/** Adds changes of the holders of cells to the trace, one line per group of adjacent cells. */
void KeySimulation::traceHolders()
{
    std::vector<ServerName> holders(cells);
    for (std::size_t cell = 0; cell < cells; ++cell) {
        for (const auto &server : m_servers) {
            if (server->isUp && server->leases.holds(cell, m_now))
                holders[cell] = server->name;
        }
    }
    const auto displayName = [](const ServerName &name) {
        return name.isEmpty() ? std::string{"nobody"} : name.value();
    };
    for (std::size_t first = 0; first < cells;) {
        std::size_t last = first;
        const auto isSameGroup = [&](std::size_t cell) {
            return holders[cell] == holders[first]
                && m_tracedHolders[cell] == m_tracedHolders[first];
        };
        while (last + 1 < cells && isSameGroup(last + 1))
            ++last;
        if (holders[first] != m_tracedHolders[first])
            addToTrace("cells " + std::to_string(first) + '-' + std::to_string(last) + ": "
                       + displayName(m_tracedHolders[first]) + " -> "
                       + displayName(holders[first]));
        first = last + 1;
    }
    m_tracedHolders = std::move(holders);
}

void KeySimulation::killDaemon(std::size_t index)
{
    addToTrace("d" + std::to_string(index) + " is killed");
    m_daemons[index]->isUp = false;
}

void KeySimulation::freezeDaemon(std::size_t index, Duration span)
{
    addToTrace("d" + std::to_string(index) + " freezes");
    m_daemons[index]->frozenUntil = m_now + span;
}

void KeySimulation::partitionFromStore(std::size_t index, Duration span)
{
    addToTrace("d" + std::to_string(index) + " is cut from the store");
    m_daemons[index]->partitionedFromStoreUntil = m_now + span;
}

void KeySimulation::partitionFromServers(std::size_t index, Duration span)
{
    addToTrace("d" + std::to_string(index) + " is cut from servers");
    m_daemons[index]->partitionedFromServersUntil = m_now + span;
}

void KeySimulation::partitionFromPeers(std::size_t index, Duration span)
{
    addToTrace("d" + std::to_string(index) + " is cut from daemons");
    m_daemons[index]->partitionedFromPeersUntil = m_now + span;
}

void KeySimulation::makeStoreUnavailable(Duration span)
{
    addToTrace("the store is away");
    m_storeUnavailableUntil = m_now + span;
}

void KeySimulation::stallFeeds()
{
    addToTrace("feeds hear nothing");
    m_feedsStalledUntil = m_now + KeyTimings{}.maxFeedLag;
}

void KeySimulation::delayCommits(int count, Duration delay)
{
    addToTrace("commits are carried out late, their answers lost");
    m_commitsToDelay = count;
    m_commitDelay = delay;
}

void KeySimulation::delayGrants(int count, Duration delay)
{
    addToTrace("grants are carried out late, unanswered");
    m_grantsToDelay = count;
    m_grantDelay = delay;
}

Duration KeySimulation::transit()
{
    if (m_isScripted)
        return 2ms;
    return std::chrono::microseconds{
        std::uniform_int_distribution<int>{300, happens(0.05) ? 150'000 : 8'000}(m_random)};
}

bool KeySimulation::happens(double probability)
{
    if (m_isScripted)
        return false;
    return std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < probability;
}

std::size_t KeySimulation::randomBelow(std::size_t count)
{
    if (m_isScripted)
        return 0;
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(m_random);
}

void KeySimulation::startDaemon(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t incarnation = ++daemon.incarnation;
    daemon.isUp = true;
    daemon.frozenUntil = {};
    daemon.directory = {};
    daemon.appliedVersion = {m_era, 0};
    daemon.connectedRuns.clear();
    const std::string name = "d" + std::to_string(index) + "/" + std::to_string(incarnation);
    daemon.coordinator =
        std::make_unique<KeyCoordinator>(DaemonIdentity{hostOf(index),
                                                        Incarnation{name},
                                                        domainOf(index),
                                                        {"10.0.1.1", 1},
                                                        100ms * static_cast<int>(index)},
                                         m_now);
    tick(index, incarnation);
    followRows(index, incarnation, m_now);
}

void KeySimulation::tick(std::size_t index, std::uint64_t incarnation)
{
    Daemon &daemon = *m_daemons[index];
    if (!daemon.isUp || daemon.incarnation != incarnation)
        return;
    if (m_now < daemon.frozenUntil) {
        after(daemon.frozenUntil - m_now, [this, index, incarnation] { tick(index, incarnation); });
        return;
    }
    if (canReachStore(daemon))
        daemon.directory = m_directory;
    connectServers(index);
    const std::vector<ServiceName> keyed{service};
    for (const KeyAction &action : daemon.coordinator->advance(daemon.directory, keyed, m_now))
        dispatch(index, action);
    after(tickInterval, [this, index, incarnation] { tick(index, incarnation); });
}

/** Connects to the servers that the coordinator requests, whichever run answers there. */
void KeySimulation::connectServers(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const std::vector<ServiceName> keyed{service};
    for (const ServerName &name : daemon.coordinator->serversToConnect(daemon.directory, keyed)) {
        if (daemon.connectedRuns.contains(name))
            continue;
        const auto [tried, isNew] = daemon.connectTriedAt.try_emplace(name, m_now);
        if (!isNew && m_now - tried->second < connectInterval)
            continue;
        tried->second = m_now;
        const std::uint16_t port = daemon.directory.find(name)->record.address.port;
        const Server *server = serverOf(name);
        const bool isReached = server && canReach(daemon, *server) && server->port == port;
        const std::uint64_t run = isReached ? server->starts : 0;
        after(transit(), [this, index, incarnation = daemon.incarnation, name, run, isReached] {
            runAtDaemon(index, incarnation, [this, index, name, run, isReached] {
                if (!isReached) {
                    recordConnectionLost(index, name);
                    return;
                }
                m_daemons[index]->connectedRuns[name] = run;
                m_daemons[index]->coordinator->recordConnection(name, m_now);
            });
        });
    }
}

void KeySimulation::recordConnectionLost(std::size_t index, const ServerName &name)
{
    if (m_planted == PlantedFault::RenewsOtherRun)
        return;
    m_daemons[index]->connectedRuns.erase(name);
    m_daemons[index]->coordinator->recordConnectionLost(name);
}

void KeySimulation::dispatch(std::size_t index, const KeyAction &action)
{
    std::visit([this, index](const auto &known) { execute(index, known); }, action);
}

/** Runs \a step at the daemon if it is still the same run; delayed until the end of a freeze. */
void KeySimulation::runAtDaemon(std::size_t index, std::uint64_t incarnation, Step step)
{
    Daemon &daemon = *m_daemons[index];
    if (!daemon.isUp || daemon.incarnation != incarnation)
        return;
    if (m_now < daemon.frozenUntil) {
        after(daemon.frozenUntil - m_now, [this, index, incarnation, step = std::move(step)] {
            runAtDaemon(index, incarnation, step);
        });
        return;
    }
    step();
}

bool KeySimulation::canReachStore(const Daemon &daemon) const
{
    return m_now >= m_storeUnavailableUntil && m_now >= daemon.partitionedFromStoreUntil;
}

bool KeySimulation::canReach(const Daemon &daemon, const Server &server) const
{
    const auto partition = daemon.partitionedFromServerUntil.find(server.index);
    return server.isUp && m_now >= daemon.partitionedFromServersUntil
        && (partition == daemon.partitionedFromServerUntil.end() || m_now >= partition->second);
}

/** A conditional write: \a apply returns the new version, or 0 if the condition does not hold. */
void KeySimulation::commit(std::size_t index, std::function<std::uint64_t()> apply,
                           CommitHandler onResult)
{
    Daemon &daemon = *m_daemons[index];
    const std::uint64_t incarnation = daemon.incarnation;
    const bool isLost = m_hasFaults && happens(0.05);
    const bool isDelayed = m_commitsToDelay > 0 && m_commitsToDelay-- > 0;
    const bool isLate = isDelayed || (m_hasFaults && happens(0.04));
    const Duration lateBy = isDelayed ? m_commitDelay : Duration{1s + 1ms * randomBelow(5000)};
    const auto answer = [this, index, incarnation, onResult](RowWriteResult end,
                                                             const StoreVersion &version) {
        runAtDaemon(index, incarnation, [onResult, end, version] { onResult(end, version); });
    };
    if (!canReachStore(daemon)) {
        after(1s, [answer] { answer(RowWriteResult::Unknown, {}); });
        return;
    }
    after(isLate ? lateBy : transit(), [=, this] {
        const StoreVersion version{m_era, apply()};
        if (isLost || isLate)
            return;
        after(transit(), [=] {
            answer(version.number > 0 ? RowWriteResult::Done : RowWriteResult::Refused, version);
        });
    });
    if (isLost || isLate)
        after(1500ms, [answer] { answer(RowWriteResult::Unknown, {}); });
}

void KeySimulation::execute(std::size_t index, const WritePlannerRow &action)
{
    const auto apply = [this, write = action.write]() -> std::uint64_t {
        if (m_store.plannerNumber != write.expectedVersion)
            return 0;
        if (m_store.planner.holder != write.row.holder)
            addToTrace(
                "planner is "
                + (write.row.holder.isEmpty() ? std::string{"nobody"} : write.row.holder.value()));
        m_store.planner = write.row;
        return m_store.plannerNumber = ++m_store.number;
    };
    commit(index, apply, [this, index](RowWriteResult end, const StoreVersion &version) {
        m_daemons[index]->coordinator->handlePlannerRowResult(end, version, m_now);
    });
}

void KeySimulation::execute(std::size_t index, const CommitKeyAssignment &action)
{
    KeyAssignment next = action.next;
    if (m_planted == PlantedFault::FenceNotRaised) {
        for (OwnedRange &owned : next.ranges)
            owned.fence = 1;
    }
    if (m_planted == PlantedFault::MoveWithoutWaiting) {
        for (OwnedRange &owned : next.ranges)
            owned.previous = {};
    }
    const auto apply = [this, action, next]() -> std::uint64_t {
        const bool isPlanner = m_store.plannerNumber == action.plannerVersion;
        if (!isPlanner || m_store.assignmentNumber != action.expectedVersion)
            return 0;
        m_store.assignment = next;
        ++m_result.moves;
        addToTrace("assignment " + std::to_string(next.sequence) + ", moving "
                   + std::to_string(std::ranges::count_if(next.ranges, &OwnedRange::isMoving)));
        return m_store.assignmentNumber = ++m_store.number;
    };
    commit(index, apply, [this, index, next](RowWriteResult end, const StoreVersion &version) {
        m_daemons[index]->coordinator->handleCommitResult(next, end, version, m_now);
    });
}

void KeySimulation::execute(std::size_t index, const SendGrant &action)
{
    const std::uint64_t incarnation = m_daemons[index]->incarnation;
    const Instant madeAt = m_now;
    // A call waits for the previous one to the same server; a freeze may happen in between.
    after(1ms * randomBelow(300), [this, index, incarnation, action, madeAt] {
        runAtDaemon(index, incarnation, [this, index, incarnation, action, madeAt] {
            Daemon &daemon = *m_daemons[index];
            const bool isChecked =
                m_planted != PlantedFault::NoCheckAfterFreeze || m_now - madeAt < 500ms;
            if (isChecked && !daemon.coordinator->isStillDue(action, daemon.directory, m_now))
                return;
            daemon.coordinator->recordGrantSent(action, m_now);
            sendGrant(index, incarnation, action);
        });
    });
}

/** Simulates the call of a grant, which is answered, or times out and resets its connection. */
void KeySimulation::sendGrant(std::size_t index, std::uint64_t incarnation, const SendGrant &action)
{
    const Duration longest = KeyTimings{}.grantCall;
    Server *server = serverOf(action.owned.owner);
    const bool isReached =
        server && canReach(*m_daemons[index], *server) && action.address.port == server->port;
    if (isReached && failOnOldConnection(index, incarnation, *server, action))
        return;
    // A partition delays bytes until it ends.
    const bool isHeldBack = m_hasFaults && happens(0.05);
    const Duration transitTime = isHeldBack ? Duration{1ms * randomBelow(6000)} : transit();
    const bool isDelayed = m_grantsToDelay > 0 && m_grantsToDelay-- > 0;
    const bool isLate = isDelayed || (m_hasFaults && happens(0.05));
    const bool arrives = isReached && !(m_hasFaults && happens(0.02))
        && (transitTime < longest || m_planted == PlantedFault::DelayedBytesArrive);
    // A call that finds no connection cannot have arrived; any other may have.
    const bool mayHaveArrived = isReached || happens(0.3);
    const Duration answered = transitTime + transit();
    const bool isAnswered = arrives && !isLate && answered < longest;
    after(isAnswered ? answered : longest,
          [this, index, incarnation, action, mayHaveArrived, isAnswered] {
              runAtDaemon(index, incarnation, [this, index, action, mayHaveArrived, isAnswered] {
                  KeyCoordinator &coordinator = *m_daemons[index]->coordinator;
                  coordinator.recordGrantResult(action, mayHaveArrived, m_now);
                  if (isAnswered)
                      coordinator.recordGranted(action, m_now);
                  // The call timed out and its connection is reset; the next connection attempt
                  // shows whether the server is up.
                  if (isAnswered || m_planted == PlantedFault::RenewsOtherRun)
                      return;
                  m_daemons[index]->connectedRuns.erase(action.owned.owner);
                  coordinator.recordConnectionLost(action.owned.owner);
              });
          });
    if (!arrives)
        return;
    const Duration randomDelay = isLate ? Duration{2s + 1ms * randomBelow(10'000)} : Duration{};
    const Duration late = isDelayed ? m_grantDelay : randomDelay;
    after(transitTime, [this, action, server, run = server->starts, late] {
        const Instant arrivedAt = m_now;
        after(late, [this, action, server, run, arrivedAt] {
            if (server->isUp && server->starts == run)
                server->leases.grant(action.owned.range, action.owned.fence, KeyTimings{}.hold,
                                     arrivedAt, m_now);
        });
    });
}

/**
 * Fails a call on a connection to an earlier run of \a server with a reset. \returns whether the
 * connection leads to an earlier run.
 */
bool KeySimulation::failOnOldConnection(std::size_t index, std::uint64_t incarnation,
                                        const Server &server, const SendGrant &action)
{
    Daemon &daemon = *m_daemons[index];
    const auto known = daemon.connectedRuns.find(action.owned.owner);
    const bool isEarlierRun = known != daemon.connectedRuns.end() && known->second != server.starts
        && m_planted != PlantedFault::RenewsOtherRun;
    if (!isEarlierRun)
        return false;
    daemon.connectedRuns.erase(action.owned.owner);
    after(transit(), [this, index, incarnation, action] {
        runAtDaemon(index, incarnation, [this, index, action] {
            m_daemons[index]->coordinator->recordGrantResult(action, true, m_now);
            recordConnectionLost(index, action.owned.owner);
        });
    });
    return true;
}

void KeySimulation::execute(std::size_t index, const SendRelease &action)
{
    const std::uint64_t incarnation = m_daemons[index]->incarnation;
    Server *server = serverOf(action.owned.previous);
    if (!server || !canReach(*m_daemons[index], *server) || action.address.port != server->port
        || (m_hasFaults && happens(0.1)))
        return;
    after(transit(), [this, index, incarnation, action, target = server] {
        const ServerName name = target->name;
        if (!target->isUp)
            return;
        std::uint64_t fence = action.owned.fence;
        if (m_planted == PlantedFault::ReleaseWithOldFence
            && target->leases.cellsOf(action.owned.range).first < cells)
            fence = target->leases.fenceOf(target->leases.cellsOf(action.owned.range).first);
        target->leases.release(action.owned.range, fence);
        addToTrace(name.value() + " gives up " + std::to_string(action.owned.range.first) + '-'
                   + std::to_string(action.owned.range.last) + " under " + std::to_string(fence));
        if (m_hasFaults && happens(0.1))
            return;
        after(transit() + 1ms * randomBelow(300), [this, index, incarnation, action] {
            runAtDaemon(index, incarnation, [this, index, action] {
                m_daemons[index]->coordinator->released(action, "warm", m_now);
            });
        });
    });
}

bool KeySimulation::canReachPeer(const Daemon &from, const Daemon &to) const
{
    return m_now >= from.partitionedFromPeersUntil && m_now >= to.partitionedFromPeersUntil;
}

void KeySimulation::execute(std::size_t index, const QueryRenewer &action)
{
    const std::uint64_t incarnation = m_daemons[index]->incarnation;
    const std::size_t peer = indexOf(action.renewer.host);
    if (!canReachPeer(*m_daemons[index], *m_daemons[peer]) || (m_hasFaults && happens(0.05)))
        return;
    const KeyAssignment assignment = *m_daemons[index]->coordinator->assignment(service);
    const StoreVersion version = m_daemons[index]->coordinator->assignmentVersion(service);
    after(transit(), [=, this] {
        runAtDaemon(peer, m_daemons[peer]->incarnation, [=, this] {
            KeyCoordinator &peerCoordinator = *m_daemons[peer]->coordinator;
            if (action.isBehind)
                peerCoordinator.applyAssignment(assignment, version, m_now);
            RenewerAnswer answer =
                peerCoordinator.makeRenewerAnswer(service, action.servers, m_now);
            if (m_planted == PlantedFault::ForgetsGrants) {
                for (auto &[server, ago] : answer.lastGrantAgo)
                    ago = 1h;
            }
            if (!canReachPeer(*m_daemons[index], *m_daemons[peer]))
                return;
            after(transit(), [=, this] {
                runAtDaemon(index, incarnation, [=, this] {
                    m_daemons[index]->coordinator->recordRenewerAnswer(answer, m_now);
                });
            });
        });
    });
}

void KeySimulation::execute(std::size_t index, const QueryAssignments &action)
{
    const std::uint64_t incarnation = m_daemons[index]->incarnation;
    const std::size_t peer = indexOf(action.renewer.host);
    if (!canReachPeer(*m_daemons[index], *m_daemons[peer]) || (m_hasFaults && happens(0.05)))
        return;
    after(transit(), [=, this] {
        runAtDaemon(peer, m_daemons[peer]->incarnation, [=, this] {
            RememberedAssignments answer =
                m_daemons[peer]->coordinator->remembered(action.known, m_now);
            if (m_planted == PlantedFault::ForgetsAssignments)
                answer.assignments.clear();
            if (!canReachPeer(*m_daemons[index], *m_daemons[peer]))
                return;
            after(transit(), [=, this] {
                runAtDaemon(index, incarnation, [=, this] {
                    m_daemons[index]->coordinator->recordRemembered(answer, m_now);
                });
            });
        });
    });
}

std::size_t KeySimulation::indexOf(const HostName &host) const
{
    std::size_t index = 0;
    while (hostOf(index) != host)
        ++index;
    return index;
}

void KeySimulation::execute(std::size_t index, const WriteDaemonRow &action)
{
    const HostName host = hostOf(index);
    const auto apply = [this, host, action]() -> std::uint64_t {
        if (daemonRowVersion(host) != action.expectedVersion)
            return 0;
        ++m_store.number;
        if (action.row)
            m_store.daemons[host] = {*action.row, m_store.number};
        else
            m_store.daemons.erase(host);
        return m_store.number;
    };
    commit(index, apply, [this, index](RowWriteResult end, const StoreVersion &version) {
        m_daemons[index]->coordinator->handleDaemonRowResult(end, version, m_now);
    });
}

void KeySimulation::execute(std::size_t index, const RemoveDaemonRows &action)
{
    const auto apply = [this, action]() -> std::uint64_t {
        const bool areUnchanged = std::ranges::all_of(action.rows, [this](const auto &row) {
            return daemonRowVersion(row.host) == row.version;
        });
        if (m_store.plannerNumber != action.plannerVersion || !areUnchanged)
            return 0;
        for (const DaemonRowVersion &row : action.rows)
            m_store.daemons.erase(row.host);
        return ++m_store.number;
    };
    commit(index, apply, [this, index](RowWriteResult end, const StoreVersion &) {
        m_daemons[index]->coordinator->handleRemovalResult(end, m_now);
    });
}

/** \returns the version of the row of \a host, or 0 if it has none. */
std::uint64_t KeySimulation::daemonRowVersion(const HostName &host) const
{
    const auto row = m_store.daemons.find(host);
    return row == m_store.daemons.end() ? 0 : row->second.second;
}

/** Follows the rows with consecutive long-polling calls, as the daemon does. */
void KeySimulation::followRows(std::size_t index, std::uint64_t incarnation, Instant sentAt)
{
    Daemon &daemon = *m_daemons[index];
    if (!daemon.isUp || daemon.incarnation != incarnation)
        return;
    const bool isStalled = m_now < m_feedsStalledUntil;
    const bool hasChanges =
        daemon.appliedVersion != StoreVersion{m_era, m_store.number} && !isStalled;
    const bool hasTimedOut = m_now - sentAt >= maxStoreWait;
    if (!canReachStore(daemon) || (!hasChanges && !hasTimedOut)) {
        const Instant next = canReachStore(daemon) ? sentAt : m_now + 20ms;
        after(20ms, [this, index, incarnation, next] { followRows(index, incarnation, next); });
        return;
    }
    const Duration transitTime =
        m_hasFaults && happens(0.03) ? Duration{1ms * randomBelow(2500)} : transit();
    const Instant givenAt = m_planted == PlantedFault::RenewalRightFromLater ? m_now + 4s : m_now;
    if (isStalled) {
        // The stalled feed has missed the changes, and reports that there were none.
        after(transitTime, [=, this] {
            runAtDaemon(index, incarnation, [=, this] {
                m_daemons[index]->coordinator->recordServerRecords(givenAt);
                m_daemons[index]->coordinator->recordStoreAnswer(givenAt);
                followRows(index, incarnation, m_now);
            });
        });
        return;
    }
    // The answer contains the current rows, and arrives later.
    StoreRows rows = m_store;
    if (m_planted == PlantedFault::TrustsCopy)
        rows.assignment.era = m_era;
    const StoreVersion version{m_era, rows.number};
    after(transitTime, [=, this] {
        runAtDaemon(index, incarnation, [=, this] {
            Daemon &target = *m_daemons[index];
            target.coordinator->applyPlannerRow({version.era, rows.plannerNumber}, rows.planner,
                                                m_now);
            if (rows.assignmentNumber > 0)
                target.coordinator->applyAssignment(rows.assignment,
                                                    {version.era, rows.assignmentNumber}, m_now);
            for (std::size_t i = 0; i < daemonCount; ++i) {
                const auto row = rows.daemons.find(hostOf(i));
                if (row != rows.daemons.end())
                    target.coordinator->applyDaemonRow(
                        row->first, {version.era, row->second.second}, row->second.first, m_now);
                else
                    target.coordinator->applyDaemonRow(hostOf(i), version, std::nullopt, m_now);
            }
            target.coordinator->markRowsApplied(version, m_now);
            target.coordinator->recordServerRecords(givenAt);
            target.coordinator->recordStoreAnswer(givenAt);
            target.appliedVersion = version;
            followRows(index, incarnation, m_now);
        });
    });
}

void KeySimulation::injectFault()
{
    if (!m_hasFaults)
        return;
    switch (randomBelow(6)) {
    case 0:
    case 1:
        injectDaemonFault();
        break;
    case 4:
        injectViewFault();
        break;
    case 2:
    case 3:
        injectServerFault();
        break;
    default:
        injectStoreFault();
    }
    after(200ms + 1ms * randomBelow(2500), [this] { injectFault(); });
}

void KeySimulation::injectDaemonFault()
{
    std::size_t index = randomBelow(daemonCount);
    // Prefers the planner.
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (m_daemons[i]->isUp && m_daemons[i]->coordinator->isPlanning() && happens(0.6))
            index = i;
    }
    Daemon &daemon = *m_daemons[index];
    const Duration span = 500ms + 1ms * randomBelow(9000);
    switch (randomBelow(5)) {
    case 4:
        daemon.partitionedFromPeersUntil = m_now + span;
        break;
    case 0:
        if (!daemon.isUp)
            break;
        daemon.isUp = false;
        after(500ms + 1ms * randomBelow(3000), [this, index] { startDaemon(index); });
        break;
    case 1:
        daemon.frozenUntil = m_now + span;
        break;
    case 2:
        daemon.partitionedFromStoreUntil = m_now + span;
        break;
    default:
        daemon.partitionedFromServersUntil = m_now + span;
    }
}

void KeySimulation::injectServerFault()
{
    Server &server = *m_servers[randomBelow(serverCount)];
    const KnownServer *known = m_directory.find(server.name);
    if (!server.isUp || !known || !known->isReady())
        return;
    switch (randomBelow(5)) {
    case 0:
        crashServer(server.index);
        break;
    case 1:
        drainServer(server.index);
        break;
    case 2:
    case 3: {
        const Duration pause =
            happens(0.5) ? 20ms + 1ms * randomBelow(400) : 20ms + 1ms * randomBelow(4000);
        const Duration lag = 1ms * randomBelow(900);
        restartServer(server.index, pause, lag, happens(0.3));
        if (happens(0.3))
            after(pause + 1ms * randomBelow(600), [this, index = server.index] {
                restartServer(index, 20ms + 1ms * randomBelow(300), 1ms * randomBelow(900));
            });
        break;
    }
    default:
        removeServerRecord(server.index);
        after(12s, [this, &server] { replaceServer(server); });
    }
}

void KeySimulation::crashServer(std::size_t index)
{
    Server &server = *m_servers[index];
    addToTrace(server.name.value() + " crashes");
    after(recordLifetime,
          [this, name = ServerName{wireNameOf(server.name)}] { m_directory.remove(name, m_now); });
    replaceServer(server);
}

void KeySimulation::evacuateDomain(const DomainName &domain)
{
    addToTrace("domain " + domain.value() + " is evacuated");
    m_directory.applyEvacuation(domain, m_now, m_now);
}

void KeySimulation::endEvacuation(const DomainName &domain)
{
    addToTrace("domain " + domain.value() + " is back");
    m_directory.applyReturn(domain, m_now);
}

void KeySimulation::setColdStart(const ColdStart &coldStart)
{
    m_directory.setColdStarts({{service, coldStart}});
}

void KeySimulation::drainServer(std::size_t index)
{
    Server &server = *m_servers[index];
    addToTrace(server.name.value() + " drains");
    ServerRecord record = m_directory.find(server.name)->record;
    record.isDraining = true;
    m_directory.applyRecord(record, m_now, m_now);
    after(4s, [this, &server, id = record.id] {
        m_directory.remove(ServerName{wireNameOf(id)}, m_now);
        replaceServer(server);
    });
}

void KeySimulation::removeServerRecord(std::size_t index)
{
    addToTrace(m_servers[index]->name.value() + " has no record any more");
    m_directory.remove(ServerName{wireNameOf(m_servers[index]->name)}, m_now);
}

/** Stops \a server; another run starts, and registers, after serverRestartDelay. */
void KeySimulation::replaceServer(Server &server)
{
    server.isUp = false;
    // Whichever fault ended the run, nobody writes its record any more.
    after(recordLifetime,
          [this, name = ServerName{wireNameOf(server.name)}] { m_directory.remove(name, m_now); });
    after(serverRestartDelay, [this, &server] {
        server.isUp = true;
        server.leases = standins::LeaseTable{cells};
        server.name =
            ServerName{"s" + std::to_string(server.index) + "-" + std::to_string(++server.run)};
        ++server.starts;
        m_directory.applyRecord(recordOf(server.name, server.index, server.port), m_now, m_now);
    });
}

void KeySimulation::restartServer(std::size_t index, Duration pause, Duration lag, bool isMoved)
{
    Server &server = *m_servers[index];
    addToTrace(server.name.value() + " ends");
    server.isUp = false;
    const std::uint64_t run = ++server.starts;
    closeConnections(server);
    // The record expires unless the new run has replaced it by then.
    after(recordLifetime, [this, name = server.name] {
        const KnownServer *known = m_directory.find(name);
        if (known && !known->laterRun)
            m_directory.remove(ServerName{wireNameOf(name)}, m_now);
    });
    after(pause, [this, &server, run, lag, isMoved] {
        if (server.starts != run)
            return;
        server.isUp = true;
        server.leases = standins::LeaseTable{cells};
        server.name = ServerName{wireNameOf(server.name) + '@' + std::to_string(run)};
        server.port = static_cast<std::uint16_t>(server.port + (isMoved ? serverCount : 0));
        addToTrace(server.name.value() + " starts");
        after(lag, [this, &server, run] { writeRecord(server, run); });
    });
}

/** Writes the record of a run as soon as the store is available. */
void KeySimulation::writeRecord(Server &server, std::uint64_t run)
{
    if (server.starts != run || !server.isUp)
        return;
    if (m_now < m_storeUnavailableUntil) {
        after(m_storeUnavailableUntil - m_now + 1ms,
              [this, &server, run] { writeRecord(server, run); });
        return;
    }
    m_directory.applyRecord(recordOf(server.name, server.index, server.port), m_now, m_now);
}

/** Closes the connections of daemons to \a server, unless a partition hides that from them. */
void KeySimulation::closeConnections(const Server &server)
{
    if (m_planted == PlantedFault::RenewsOtherRun)
        return;
    for (std::size_t i = 0; i < daemonCount; ++i) {
        Daemon &daemon = *m_daemons[i];
        const auto partition = daemon.partitionedFromServerUntil.find(server.index);
        const bool isPartitioned = m_now < daemon.partitionedFromServersUntil
            || (partition != daemon.partitionedFromServerUntil.end() && m_now < partition->second);
        if (isPartitioned)
            continue;
        // Whichever run a daemon addresses, its connection leads to the one that stops.
        for (const auto &[name, starts] : daemon.connectedRuns) {
            if (wireNameOf(name) != wireNameOf(server.name))
                continue;
            after(transit(), [this, i, incarnation = daemon.incarnation, name = name] {
                runAtDaemon(i, incarnation, [this, i, name] { recordConnectionLost(i, name); });
            });
        }
    }
}

void KeySimulation::injectStoreFault()
{
    if (m_hasRestores && happens(0.5)) {
        restoreStore(100ms + 1ms * randomBelow(4000), 1ms * randomBelow(7000));
        return;
    }
    if (happens(0.3))
        m_feedsStalledUntil = m_now + KeyTimings{}.maxFeedLag;
    else
        m_storeUnavailableUntil = m_now + 500ms + 1ms * randomBelow(6000);
}

void KeySimulation::restoreStore(Duration span, Duration age)
{
    makeStoreUnavailable(span);
    auto copy = m_copies.upper_bound(m_now - age);
    if (copy == m_copies.begin())
        return;
    after(span, [this, rows = std::prev(copy)->second] {
        m_store = rows;
        ++m_era;
        m_copies.clear();
        m_copies[m_now] = m_store;
        addToTrace("store restored, era " + std::to_string(m_era));
    });
}

/** Keeps copies of the store's rows, for restores. */
void KeySimulation::keepCopies()
{
    if (m_now >= m_storeUnavailableUntil)
        m_copies[m_now] = m_store;
    while (!m_copies.empty() && m_copies.begin()->first < m_now - 8s)
        m_copies.erase(m_copies.begin());
    after(200ms, [this] { keepCopies(); });
}

/**
 * Removes the record of a running server that only one daemon of its failure domain can reach. That
 * daemon does not receive the removal, because it is partitioned from the store, or frozen with its
 * calls queued.
 */
void KeySimulation::injectViewFault()
{
    Server &server = *m_servers[randomBelow(serverCount)];
    const KnownServer *known = m_directory.find(server.name);
    if (!server.isUp || !known || !known->isReady())
        return;
    const std::size_t reachingDaemon = server.index % domainCount + domainCount * randomBelow(2);
    const Instant until = m_now + 11s + 1ms * randomBelow(5000);
    for (std::size_t i = 0; i < daemonCount; ++i) {
        if (i != reachingDaemon)
            m_daemons[i]->partitionedFromServerUntil[server.index] = until;
    }
    if (happens(0.3))
        m_daemons[reachingDaemon]->partitionedFromPeersUntil = until;
    if (happens(0.5))
        m_daemons[reachingDaemon]->partitionedFromStoreUntil = until;
    else
        m_daemons[reachingDaemon]->frozenUntil = m_now + 9s + 1ms * randomBelow(4000);
    m_directory.remove(ServerName{wireNameOf(server.name)}, m_now);
    after(17s, [this, &server] { replaceServer(server); });
}

void KeySimulation::check()
{
    for (std::size_t cell = 0; cell < cells; ++cell) {
        const Server *holder = nullptr;
        for (const auto &server : m_servers) {
            if (!server->isUp || !server->leases.holds(cell, m_now))
                continue;
            if (holder) {
                m_result.violation = holder->name.value() + " and " + server->name.value()
                    + " hold cell " + std::to_string(cell);
                return;
            }
            holder = server.get();
        }
        if (!holder)
            continue;
        auto &[name, fence] = m_lastHolder[cell];
        const std::uint64_t current = holder->leases.fenceOf(cell);
        if (!name.isEmpty() && name != holder->name && current <= fence) {
            m_result.violation =
                holder->name.value() + " has a fence that is not above " + name.value() + "'s";
            return;
        }
        name = holder->name;
        fence = current;
    }
    if (m_isScripted)
        traceHolders();
}

KeySimulation::Server *KeySimulation::serverOf(const ServerName &name)
{
    const auto found = std::ranges::find_if(m_servers, [&](const auto &server) {
        return wireNameOf(server->name) == wireNameOf(name);
    });
    return found == m_servers.end() ? nullptr : found->get();
}

} // namespace bulrush::test

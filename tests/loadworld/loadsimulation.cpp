#include "loadsimulation.h"

#include <algorithm>
#include <cmath>

namespace bulrush::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 5ms;
constexpr Duration planInterval = 500ms;
constexpr Duration shareInterval = 600ms;
/** Time for running requests of a range to end, and for all daemons to receive the move. */
constexpr Duration moveDuration = 400ms;
constexpr std::size_t queueLimit = 12;
/** Busy keys are adjacent: the request rate falls with the key position by this exponent. */
constexpr double rateExponent = -0.66;
/** Retries that a daemon may send, as a fraction of its own requests. */
constexpr double retryRatio = 0.15;
constexpr int maxAttempts = 6;
constexpr double lateAnswerValue = 0.3;

const ServiceName service{"s"};

std::discrete_distribution<KeyPosition> keyDistribution()
{
    std::vector<double> rates(keyPositionCount);
    for (KeyPosition place = 0; place < keyPositionCount; ++place)
        rates[place] = std::pow(1.0 + place, rateExponent);
    return {rates.begin(), rates.end()};
}

} // namespace

double LoadResult::onTimeShare(std::size_t from, std::size_t until) const
{
    int requestCount = 0;
    int onTimeCount = 0;
    for (std::size_t second = from; second < until; ++second) {
        requestCount += requestsOfSecond.at(second);
        onTimeCount += onTimeOfSecond.at(second);
    }
    return static_cast<double>(onTimeCount) / std::max(1, requestCount);
}

double LoadResult::relativeValue() const
{
    return (onTime + lateAnswerValue * late) / std::max(1, requests);
}

struct LoadSimulation::Daemon
{
    ServerGauges gauges;
    SlowStart slowStart;
    ServerLimits limits;
    ServerNotices notices;
    ServerReach reach;
    ServerPicker picker{{gauges, slowStart, limits, notices, reach}, DomainName{"a"}};
    RequestQueue queue{picker};
    KeyGate gate;
    std::map<std::uint64_t, Request> open;
    LoadSample sample{service, {}, {}, {}, {}};
    std::uint64_t nextTicket = 1;
    double retries = 3.0;
    /** When it receives the evacuation. */
    Instant evacuationKnownAt = Instant::max();
};

LoadSimulation::LoadSimulation(const LoadScenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_keys(keyDistribution())
    , m_assignment{service, 0, {}}
    , m_load(m_start)
    , m_plannedServers(scenario.initialServers == 0 ? scenario.servers : scenario.initialServers)
{
    for (std::size_t i = 0; i < scenario.servers; ++i) {
        const ServerName name{"i-" + std::to_string(i)};
        m_names.push_back(name);
        m_servers[name].isLimited = i < scenario.limitedServers;
        m_servers[name].slowness = std::uniform_real_distribution{0.75, 1.35}(m_random);
        KnownServer known;
        known.record = {name,  service, {"10.0.0.1", 80}, DomainName{"a"}, scenario.slots,
                        false, {}};
        m_state.servers[service].push_back(known);
        if (isEvacuated(i) && !scenario.ignoresEvacuationAge)
            known.evacuatedAfter = m_start + *scenario.evacuatedAt;
        m_evacuatedState.servers[service].push_back(known);
    }
    for (std::size_t i = 0; i < scenario.daemons; ++i) {
        m_daemons.push_back(std::make_unique<Daemon>());
        if (!scenario.ignoresDaemonCount)
            m_daemons.back()->gauges.setDaemonCount(scenario.daemons);
        if (!scenario.evacuatedAt)
            continue;
        const std::chrono::milliseconds delay{std::uniform_int_distribution{
            0, static_cast<int>(scenario.maxNoticeDelay / 1ms)}(m_random)};
        m_daemons.back()->evacuationKnownAt = m_start + *scenario.evacuatedAt + delay;
    }
    plan();
}

LoadSimulation::~LoadSimulation() = default;

LoadResult LoadSimulation::run()
{
    Instant plannedAt = m_now;
    Instant sharesSentAt = m_now;
    while (m_now < m_start + m_scenario.length) {
        m_now += step;
        advanceServers();
        arrive();
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            dispatch(*m_daemons[i], i);
        if (m_now - sharesSentAt >= shareInterval) {
            sharesSentAt = m_now;
            sendShares();
        }
        if (m_now - plannedAt >= planInterval || m_now >= m_moveEndsAt) {
            plannedAt = m_now;
            plan();
        }
    }
    findBusiestServer();
    return m_result;
}

std::size_t LoadSimulation::secondOf(Instant time) const
{
    return static_cast<std::size_t>((time - m_start) / 1s);
}

bool LoadSimulation::isEvacuated(std::size_t server) const
{
    return m_scenario.evacuatedAt && server % m_scenario.domains == 0;
}

const RoutingState &LoadSimulation::stateAt(const Daemon &daemon) const
{
    return m_now >= daemon.evacuationKnownAt ? m_evacuatedState : m_state;
}

/** Compares the servers in use from five seconds after the middle of the run on. */
void LoadSimulation::findBusiestServer()
{
    const std::size_t from = secondOf(m_start + m_scenario.length / 2 + 5s);
    const std::size_t until = secondOf(m_start + m_scenario.length);
    double sum = 0.0;
    double most = 0.0;
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_names.size(); ++i) {
        if (isEvacuated(i))
            continue;
        std::vector<int> &arrivals = m_servers.at(m_names[i]).arrivalsOfSecond;
        arrivals.resize(until + 1);
        for (std::size_t second = from; second < until; ++second) {
            sum += arrivals[second];
            most = std::max(most, static_cast<double>(arrivals[second]));
            ++count;
        }
    }
    m_result.busiestServer = sum > 0.0 ? most * static_cast<double>(count) / sum : 0.0;
}

void LoadSimulation::arrive()
{
    const double mean = m_scenario.requestsPerSecond * std::chrono::duration<double>(step).count();
    const int newRequests = std::poisson_distribution<int>{mean}(m_random);
    for (int i = 0; i < newRequests; ++i) {
        ++m_result.requests;
        m_result.requestsOfSecond.resize(secondOf(m_now) + 1);
        m_result.onTimeOfSecond.resize(secondOf(m_now) + 1);
        ++m_result.requestsOfSecond.back();
        add(drawKey(), m_now, m_now + m_scenario.deadline, false);
    }
    std::vector<Retry> due;
    std::erase_if(m_callerRetries, [&](const Retry &entry) {
        if (entry.at > m_now)
            return false;
        due.push_back(entry);
        return true;
    });
    for (const Retry &entry : due)
        add(entry.key, entry.startedAt, entry.answerBy, true);
}

void LoadSimulation::add(KeyPosition key, Instant startedAt, Instant answerBy, bool isRetry)
{
    Daemon &daemon = *m_daemons[m_random() % m_daemons.size()];
    daemon.sample.keys.push_back(key);
    const std::uint64_t ticket = daemon.nextTicket++;
    daemon.open[ticket] = {key, startedAt, answerBy, 0, isRetry};
    daemon.retries = std::min(5.0, daemon.retries + retryRatio);
    if (m_scenario.hasShares && !daemon.gate.admits(service, key, m_random(), m_now)) {
        refuse(daemon, ticket);
        return;
    }
    enqueue(daemon, ticket, m_now);
}

void LoadSimulation::enqueue(Daemon &daemon, std::uint64_t ticket, Instant notBefore)
{
    const Request &request = daemon.open.at(ticket);
    WaitingRequest waiting;
    waiting.ticket = ticket;
    waiting.service = service;
    waiting.key = request.key;
    waiting.priority = 2;
    waiting.arrivedAt = request.startedAt;
    waiting.onTimeUntil = request.startedAt + m_scenario.targetLatency;
    waiting.answerBy = request.answerBy;
    waiting.notBefore = notBefore;
    waiting.permitted = request.permitted;
    daemon.queue.add(std::move(waiting));
}

KeyPosition LoadSimulation::drawKey()
{
    double chance = std::uniform_real_distribution{}(m_random);
    const Duration passed = m_now - m_start;
    constexpr KeyPosition between = 9'973;
    KeyPosition place = between;
    for (const HotPeriod &period : m_scenario.hotPeriods) {
        place = (place + between) % (keyPositionCount / 2);
        if (passed < period.from || passed >= period.until)
            continue;
        if (chance < period.share)
            return place + static_cast<KeyPosition>(m_random() % period.keys);
        chance -= period.share;
    }
    return m_keys(m_random);
}

void LoadSimulation::dispatch(Daemon &daemon, std::size_t index)
{
    if (daemon.queue.size() == 0)
        return;
    std::vector<PermitWait> waits;
    const auto givenUp = daemon.queue.dispatch(
        stateAt(daemon), m_now, [&](std::uint64_t ticket, const ServerRecord &server) {
            if (daemon.limits.find(server.id) && daemon.open.at(ticket).permitted != server.id) {
                waits.push_back({ticket, server.id});
                return;
            }
            daemon.gauges.attemptStarted(server.id, m_now);
            send(index, ticket, server.id);
        });
    for (const GivenUp &request : givenUp) {
        m_result.refusedByLimit += request.reason == GiveUpReason::Limited ? 1 : 0;
        refuse(daemon, request.ticket);
    }
    for (const PermitWait &wait : waits)
        queryPermit(daemon, wait);
}

void LoadSimulation::queryPermit(Daemon &daemon, const PermitWait &wait)
{
    Request &request = daemon.open.at(wait.ticket);
    const KnownLimit &limit = *daemon.limits.find(wait.server);
    const Duration maxWait =
        std::max(Duration::zero(),
                 request.startedAt + m_scenario.targetLatency - m_now
                     - 2
                         * daemon.gauges.expectedLatency(
                             m_state.server(service, wait.server)->record, m_now));
    const PermitAnswer answer = m_issuer.answer(
        {wait.server, DomainName{"a"}, limit.perSecond, m_now - limit.namedAt, maxWait},
        IssuerRole::Primary, m_now);
    if (answer.outcome == PermitOutcome::LimitEnded)
        daemon.limits.applyEnd(wait.server, limit.namedAt);
    if (answer.outcome != PermitOutcome::Refused) {
        request.permitted = wait.server;
        enqueue(daemon, wait.ticket, m_now + answer.wait);
        return;
    }
    daemon.limits.close(wait.server, m_now + answer.wait - maxWait);
    ++m_result.refusedByLimit;
    refuse(daemon, wait.ticket);
}

bool LoadSimulation::namesLimit(const Server &server) const
{
    const Duration passed = m_now - m_start;
    return server.isLimited && passed >= m_scenario.limitedFrom && passed < m_scenario.limitedUntil;
}

void LoadSimulation::countArrival(Server &server)
{
    if (!namesLimit(server) || m_now - m_start < m_scenario.limitedFrom + 3s)
        return;
    server.arrivals.push_back(m_now);
    while (server.arrivals.front() < m_now - 4s)
        server.arrivals.pop_front();
    m_result.mostInLimitedWindow = std::max(m_result.mostInLimitedWindow, server.arrivals.size());
}

void LoadSimulation::send(std::size_t daemon, std::uint64_t ticket, const ServerName &name)
{
    Server &server = m_servers.at(name);
    ++m_result.arrivals;
    countArrival(server);
    server.arrivalsOfSecond.resize(secondOf(m_now) + 1);
    ++server.arrivalsOfSecond.back();
    const auto place = std::ranges::find(m_names, name) - m_names.begin();
    if (isEvacuated(static_cast<std::size_t>(place)))
        m_result.lastSendToEvacuated = m_now - m_start - *m_scenario.evacuatedAt;
    ++m_daemons[daemon]->open.at(ticket).attempts;
    Work work{daemon, ticket, m_now, {}};
    // A full server rejects the request one step later; its entry counts as running until then.
    if (server.running.size() < m_scenario.slots)
        work.until = m_now + drawWork(server);
    else if (server.waiting.size() >= queueLimit)
        work.until = Instant::min();
    if (work.until == Instant{})
        server.waiting.push_back(work);
    else
        server.running.push_back(work);
}

void LoadSimulation::refuse(Daemon &daemon, std::uint64_t ticket)
{
    const Request request = daemon.open.at(ticket);
    daemon.open.erase(ticket);
    const Duration pause =
        250ms + std::chrono::milliseconds{std::uniform_int_distribution{0, 500}(m_random)};
    if (!request.isRetry && m_now + pause < request.answerBy)
        m_callerRetries.push_back(
            {m_now + pause, request.key, request.answerBy, request.startedAt});
}

void LoadSimulation::advanceServers()
{
    for (auto &[name, server] : m_servers) {
        std::vector<Work> done;
        std::erase_if(server.running, [&](const Work &work) {
            if (work.until > m_now)
                return false;
            done.push_back(work);
            return true;
        });
        for (const Work &work : done) {
            if (server.running.size() < m_scenario.slots && !server.waiting.empty()) {
                server.running.push_back(server.waiting.front());
                server.running.back().until = m_now + drawWork(server);
                server.waiting.pop_front();
            }
            finish(name, work);
        }
    }
}

void LoadSimulation::finish(const ServerName &name, const Work &work)
{
    Daemon &daemon = *m_daemons[work.daemon];
    const ServerLoad load = loadOf(m_servers.at(name));
    const bool isRejected = work.until == Instant::min();
    const LimitStatement statement = namesLimit(m_servers.at(name))
        ? LimitStatement{RateLimit{m_scenario.limit}}
        : LimitStatement{NoLimit{}};
    daemon.limits.recordAnswer(name, statement, !isRejected, work.sentAt, m_now);
    daemon.gauges.attemptEnded(name, isRejected ? AttemptOutcome::NotRun : AttemptOutcome::Served,
                               m_now - work.sentAt, load, m_now);
    const auto place = daemon.open.find(work.ticket);
    if (place == daemon.open.end())
        return;
    const Request request = place->second;
    if (!isRejected) {
        const bool isOnTime = m_now <= request.startedAt + m_scenario.targetLatency;
        m_result.onTime += isOnTime ? 1 : 0;
        m_result.onTimeOfSecond.at(secondOf(request.startedAt)) += isOnTime ? 1 : 0;
        m_result.late += !isOnTime && m_now <= request.answerBy ? 1 : 0;
        daemon.open.erase(place);
        return;
    }
    ++m_result.rejectedByServers;
    if (request.attempts >= maxAttempts || daemon.retries < 1.0) {
        refuse(daemon, work.ticket);
        return;
    }
    daemon.retries -= 1.0;
    place->second.permitted = {};
    enqueue(daemon, work.ticket, m_now + 20ms);
}

ServerLoad LoadSimulation::loadOf(const Server &server) const
{
    return {
        static_cast<std::uint32_t>(std::min<std::size_t>(m_scenario.slots, server.running.size())),
        static_cast<std::uint32_t>(server.waiting.size()), m_scenario.slots};
}

Duration LoadSimulation::drawWork(const Server &server)
{
    const double factor = server.slowness * std::uniform_real_distribution{0.4, 1.6}(m_random);
    return Duration{
        static_cast<std::int64_t>(static_cast<double>(m_scenario.workTime.count()) * factor)};
}

std::vector<KeyServer> LoadSimulation::planned() const
{
    std::vector<KeyServer> servers;
    const bool isEvacuationKnown =
        m_now >= m_daemons.front()->evacuationKnownAt + m_scenario.plannerLostFor;
    for (std::size_t i = 0; i < std::min(m_plannedServers, m_names.size()); ++i) {
        if (isEvacuationKnown && isEvacuated(i))
            continue;
        const Duration time = m_load.workTime(m_names[i]);
        servers.push_back({m_names[i],
                           m_scenario.slots / std::chrono::duration<double>(time).count(),
                           m_load.limitOf(m_names[i], m_now)});
    }
    return servers;
}

/** Runs one round of the planner. The moves of a round end before the next one. */
void LoadSimulation::plan()
{
    if (m_now >= m_moveEndsAt) {
        m_moveEndsAt = Instant::max();
        ++m_assignment.sequence;
        for (OwnedRange &owned : m_assignment.ranges) {
            owned.previous = {};
            owned.moveSequence = 0;
        }
    } else if (const auto next = KeyPlanner::plan(m_assignment, planned(), m_load.traffic(m_now))) {
        for (const OwnedRange &owned : next->ranges) {
            if (owned.fence == next->sequence && m_assignment.sequence > 0)
                m_result.movedKeys += static_cast<double>(owned.range.size()) / keyPositionCount;
        }
        m_assignment = *next;
        m_moveEndsAt = m_now + moveDuration;
        m_plannedServers += m_scenario.serversPerRound;
    }
    m_state.assignments[service] = std::make_shared<const KeyAssignment>(m_assignment);
    m_evacuatedState.assignments = m_state.assignments;
}

void LoadSimulation::sendShares()
{
    for (const auto &daemon : m_daemons) {
        daemon->sample.work = daemon->gauges.takeWork();
        daemon->sample.limits = daemon->limits.takeReports(m_now);
        m_load.add(daemon->sample, m_now);
        daemon->sample.keys.clear();
    }
    if (!m_scenario.hasShares)
        return;
    const KeyShares shares = KeyAdmission::shares(m_assignment, planned(), m_load.traffic(m_now));
    for (const auto &daemon : m_daemons)
        daemon->gate.set({&shares, 1}, m_now);
}

} // namespace bulrush::test

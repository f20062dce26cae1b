#include "process/servergauges.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace bulrush {

namespace {

/** Weight of one attempt in the failure rate, which thus covers about ten attempts. */
constexpr double failureWeight = 0.1;
/** A server with a higher failure rate is avoided if another server is available. */
constexpr double failureRateLimit = 0.3;
/** Number of consecutive unanswered attempts after which a server is considered unreachable. */
constexpr int unreachableThreshold = 2;
/** Number of measurements after which the measured service time of a server is used. */
constexpr int minMeasurements = 3;
/** Factor by which a server is slower while it reports that it is cold. */
constexpr double coldFactor = 2.0;
/** Half-life of the completion count. */
constexpr Duration rateHalfLife = std::chrono::milliseconds{1000};
/** Increment of a window below one at each report of few waiting requests. */
constexpr double pacedWindowGrowth = 0.2;
/** Number of requests waiting at a server that the windows aim for. */
constexpr double targetWaiting = 3.0;
/** Lower bound of the shrink factor at one report, as many daemons react to the same load. */
constexpr double minShrinkFactor = 0.3;
/** Factor for a window after a reset by a full server. */
constexpr double fullShrinkFactor = 0.5;
/** Keeps rates finite. Servers need at least some milliseconds for the shortest request. */
constexpr Duration minWorkTime = std::chrono::milliseconds{5};
constexpr Duration idleRetention = std::chrono::minutes{1};

/** \returns the factor for a window that reduces the waiting requests to the target. */
double shrinkFactor(const ServerLoad &load)
{
    const double target = static_cast<double>(load.slots) + targetWaiting;
    const double present = static_cast<double>(load.running) + static_cast<double>(load.waiting);
    return std::clamp(target / std::max(1.0, present), minShrinkFactor, 1.0);
}

double decayed(double count, Duration age)
{
    return count
        * std::exp2(-static_cast<double>(age.count()) / static_cast<double>(rateHalfLife.count()));
}

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

/** \returns the time that work which took \a latency takes usually, by the figure in \a load. */
Duration usualTime(Duration latency, const std::optional<ServerLoad> &load)
{
    return load && load->slowness ? scaled(latency, 1.0 / *load->slowness) : latency;
}

PaceSign paceSignOf(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Served || outcome == AttemptOutcome::Failed)
        return PaceSign::Answered;
    if (outcome == AttemptOutcome::Unreached)
        return PaceSign::Unreached;
    if (outcome == AttemptOutcome::Silent)
        return PaceSign::Missing;
    return outcome == AttemptOutcome::Abandoned ? PaceSign::Withdrawn : PaceSign::Refused;
}

double ratio(Duration part, Duration total)
{
    return static_cast<double>(part.count()) / static_cast<double>(total.count());
}

} // namespace

void ServerGauges::setDaemonCount(std::size_t count)
{
    m_daemonCount = count;
    m_initialWindow = count == 0
        ? initialWindow
        : std::clamp(initialTotalWindow / static_cast<double>(count), minWindow, initialWindow);
}

ServerGauges::Gauge &ServerGauges::gaugeOf(const ServerName &server)
{
    const auto [found, isNew] = m_gauges.try_emplace(server);
    if (isNew) {
        found->second.window = m_initialWindow;
        found->second.usesServerPace = m_paceScope == PaceScope::All;
    }
    return found->second;
}

void ServerGauges::attemptStarted(const ServerName &server, Instant now)
{
    Gauge &gauge = gaugeOf(server);
    gauge.sentAt.insert(now);
    gauge.lastUsed = now;
}

void ServerGauges::attemptEnded(const ServerName &server, AttemptOutcome sign, Duration latency,
                                const std::optional<ServerLoad> &load, Instant now)
{
    Gauge &gauge = gaugeOf(server);
    const Duration measured = measuredTime(gauge);
    recordOutcome(gauge, sign, latency, load, now);
    applyPace(server, gauge, {paceSignOf(sign), latency, load, gauge.inFlight()}, measured, now);
}

/** Applies the outcome of an attempt to everything except the pace. */
void ServerGauges::recordOutcome(Gauge &gauge, AttemptOutcome sign, Duration latency,
                                 const std::optional<ServerLoad> &load, Instant now)
{
    if (!gauge.sentAt.empty()) {
        const auto sent = gauge.sentAt.lower_bound(now - latency);
        gauge.sentAt.erase(sent == gauge.sentAt.end() ? gauge.sentAt.begin() : sent);
    }
    gauge.lastUsed = now;
    gauge.endedAt = now;
    gauge.lastLatency = latency;
    if (load)
        applyLoad(gauge, *load, now);
    recordSendPace(gauge, sign, load, now);
    if (sign == AttemptOutcome::NotRun)
        gauge.isUnconnectable = false;
    if (sign == AttemptOutcome::Full) {
        recordFull(gauge);
        return;
    }
    if (sign == AttemptOutcome::Abandoned || sign == AttemptOutcome::NotRun)
        return;
    gauge.isUnconnectable = sign == AttemptOutcome::Unreached;
    gauge.completions = decayed(gauge.completions, now - gauge.completedAt) + 1.0;
    gauge.completedAt = now;
    const bool isFailure = sign != AttemptOutcome::Served;
    gauge.failureRate += failureWeight * ((isFailure ? 1.0 : 0.0) - gauge.failureRate);
    if (sign == AttemptOutcome::Unreached || sign == AttemptOutcome::Silent) {
        gauge.window = std::min(gauge.window, 1.0);
        recordUnanswered(gauge, now);
        return;
    }
    gauge.consecutiveUnanswered = 0;
    gauge.avoidedUntil = {};
    // If no requests wait at the server, the latency is its service time.
    const bool wasIdle = load ? load->waiting == 0 : gauge.inFlight() == 0;
    if (sign == AttemptOutcome::Served && wasIdle) {
        // The mean is of the usual time; work done is of the real one, as the planner needs it.
        gauge.serviceTime.record(usualTime(latency, load));
        ++gauge.measurementCount;
        gauge.workTime += latency;
        ++gauge.workCount;
    }
}

void ServerGauges::recordRouteTime(const ServiceName &service, const ServerName &server,
                                   std::string_view route, Duration latency, const ServerLoad &load,
                                   Instant now)
{
    if (usesServerPace(service, now))
        gaugeOf(server).usesServerPace = true;
    if (load.waiting == 0)
        m_routeTimes.record(service, server, route, usualTime(latency, load), now);
}

void ServerGauges::recordBackoff(const ServerName &server)
{
    Gauge &gauge = gaugeOf(server);
    if (!gauge.usesServerPace) {
        gauge.window = std::min(gauge.window, m_initialWindow);
        return;
    }
    // The answer that asks for the pause was the last use.
    recover(server, gauge, PaceCause::Pause, gauge.lastUsed);
}

void ServerGauges::beginPace(const ServerName &server, const PaceTerms &terms, Instant now)
{
    const bool isNew = !find(server);
    Gauge &gauge = gaugeOf(server);
    if (isNew)
        gauge.lastUsed = now;
    gauge.usesServerPace = true;
    if (!gauge.pace.begin(terms, now))
        return;
    gauge.window = terms.window;
    notePace(server, gauge, now);
}

std::vector<PaceChange> ServerGauges::takePaceChanges()
{
    return std::exchange(m_paceChanges, {});
}

/** Passes the outcome of an attempt to the pace, which determines the window in slow start. */
void ServerGauges::applyPace(const ServerName &server, Gauge &gauge, const PaceSample &sample,
                             Duration measured, Instant now)
{
    if (!gauge.usesServerPace)
        return;
    const bool wasActive = gauge.pace.isActive();
    if (const auto trouble = gauge.pace.recordOutcome(sample, measured, now)) {
        recover(server, gauge, *trouble, now);
        return;
    }
    if (!wasActive)
        return;
    gauge.window = gauge.pace.window();
    if (!gauge.pace.isActive())
        notePace(server, gauge, now);
}

/** Begins the slow start of a server whose trouble has ended. */
void ServerGauges::recover(const ServerName &server, Gauge &gauge, PaceCause cause, Instant now)
{
    // A slow server has got requests all the time, so that its window nearly fits its load.
    gauge.window = cause == PaceCause::Slowdown ? gauge.window * ServerPace::stepFactor
                                                : std::min(gauge.window, m_initialWindow);
    // A server may ask for the same pause in many answers.
    const bool isRepeated = gauge.pace.isActive() && gauge.pace.cause() == cause;
    const double floor = std::min(minWindow, gauge.window);
    gauge.pace.begin({cause, gauge.window, floor, gauge.pace.usualTime(), {}, {}}, now);
    if (!isRepeated)
        notePace(server, gauge, now);
}

void ServerGauges::notePace(const ServerName &server, const Gauge &gauge, Instant now)
{
    if (m_paceChanges.size() < maxPaceChanges)
        m_paceChanges.push_back({server, gauge.pace.cause(), gauge.pace.isActive(), gauge.window,
                                 now - gauge.pace.begunAt(), gauge.pace.stepCount()});
}

/** \returns the measured service time at \a gauge, or zero if it is not known. */
Duration ServerGauges::measuredTime(const Gauge &gauge)
{
    return gauge.measurementCount < minMeasurements ? Duration::zero() : gauge.serviceTime.mean();
}

/** Paces a server that is full. A reset is faster than any work, so that it is no latency. */
void ServerGauges::recordFull(Gauge &gauge)
{
    gauge.isUnconnectable = false;
    gauge.window = std::max(minWindow, gauge.window * fullShrinkFactor);
    gauge.lastLatency = std::max(gauge.lastLatency, gauge.serviceTime.mean());
}

void ServerGauges::recordSendPace(Gauge &gauge, AttemptOutcome sign,
                                  const std::optional<ServerLoad> &load, Instant now) const
{
    const double slowness = load ? load->slowness.value_or(1.0) : gauge.expectedSlowness(now);
    const SendPace::Sharing sharing{scaled(gauge.serviceTime.mean(), slowness), m_daemonCount,
                                    m_spreadSeed};
    // Servers refuse requests for other reasons, too.
    const bool isRefusal = sign == AttemptOutcome::NotRun && load && SendPace::isLongQueue(*load);
    if (sign == AttemptOutcome::Full || isRefusal)
        gauge.sendPace.recordFull(sharing, now);
    else if (load)
        gauge.sendPace.recordReport(*load, sharing, now);
}

void ServerGauges::recordFullServer(const ServiceName &service, Instant now)
{
    m_fullServers[service] = now;
}

/** \returns whether SendPace decides when \a server gets another request. */
bool ServerGauges::usesSendPace(const ServerRecord &server, Instant now) const
{
    const Gauge *gauge = find(server.id);
    if (!SendPace::isNeeded(m_daemonCount, server.slots) || (gauge && gauge->pace.isActive()))
        return false;
    return m_sendPaceServices.contains(server.service) || hasRefusedLately(server.service, now);
}

bool ServerGauges::usesServerPace(const ServiceName &service, Instant now) const
{
    return m_paceScope == PaceScope::All || hasRefusedLately(service, now);
}

/** \returns whether a full server of \a service has refused or reset a request lately. */
bool ServerGauges::hasRefusedLately(const ServiceName &service, Instant now) const
{
    const auto seen = m_fullServers.find(service);
    return seen != m_fullServers.end() && now - seen->second <= fullServerRetention;
}

/** \returns how many requests may be in flight at a server that SendPace paces. */
int ServerGauges::sendPaceLimit(const Gauge &gauge)
{
    return std::max(1, static_cast<int>(gauge.window));
}

void ServerGauges::recordUnanswered(Gauge &gauge, Instant now)
{
    constexpr int maxDoublings = 3;
    const int doublings = std::min(gauge.consecutiveUnanswered++, maxDoublings);
    gauge.avoidedUntil = now + std::min(maxAvoidance, initialAvoidance * (1 << doublings));
}

void ServerGauges::applyLoad(Gauge &gauge, const ServerLoad &load, Instant now)
{
    // The answered request is no longer counted; with it, the window had no room for another.
    const bool wasFull = gauge.inFlight() + 2.0 > gauge.window;
    const double reported = static_cast<double>(load.running) + static_cast<double>(load.waiting);
    gauge.foreignLoad = std::max(0.0, reported - static_cast<double>(gauge.inFlight()));
    gauge.reportedAt = now;
    if (load.slowness) {
        gauge.slowness = *load.slowness;
        gauge.slownessAt = now;
    }
    if (load.waiting >= windowShrinkThreshold)
        gauge.window = std::max(minWindow, gauge.window * shrinkFactor(load));
    else if (load.waiting < windowGrowthLimit && wasFull)
        gauge.window += gauge.window < 1.0 ? pacedWindowGrowth : 1.0 / gauge.window;
    const double most = static_cast<double>(std::max(1U, load.slots)) + windowShrinkThreshold;
    gauge.window = std::min(gauge.window, most);
}

double ServerGauges::Gauge::expectedSlowness(Instant now) const
{
    return 1.0 + (slowness - 1.0) * std::exp(-ratio(now - slownessAt, slownessDecayTime));
}

double ServerGauges::outstanding(const ServerName &server, Instant now) const
{
    const Gauge *gauge = find(server);
    if (!gauge)
        return 0.0;
    const double age = ratio(now - gauge->reportedAt, reportDecayTime);
    return static_cast<double>(gauge->inFlight()) + gauge->foreignLoad * std::exp(-age);
}

bool ServerGauges::hasRoom(const ServerRecord &server, Instant now) const
{
    const Gauge *gauge = find(server.id);
    if (!gauge)
        return true;
    if (!gauge->pace.maySendAt(now))
        return false;
    if (usesSendPace(server, now))
        return gauge->inFlight() < sendPaceLimit(*gauge) && now >= gauge->sendPace.freeAt();
    if (gauge->window >= 1.0)
        return static_cast<double>(gauge->inFlight()) + 1.0 <= gauge->window;
    // One request at a time, with pauses such that the mean number in flight equals the window.
    const double pause = static_cast<double>(gauge->pace.pauseBase(gauge->lastLatency).count())
        * (1.0 / gauge->window - 1.0);
    return gauge->inFlight() == 0
        && now - gauge->endedAt >= Duration{static_cast<std::int64_t>(pause)};
}

bool ServerGauges::isUnreachable(const ServerName &server, Instant now) const
{
    const Gauge *gauge = find(server);
    return gauge && gauge->consecutiveUnanswered >= unreachableThreshold
        && (gauge->isUnconnectable || now < gauge->avoidedUntil);
}

std::vector<ServerName> ServerGauges::unreachableServers(Instant now) const
{
    std::vector<ServerName> servers;
    for (const auto &[server, gauge] : m_gauges) {
        if (isUnreachable(server, now))
            servers.push_back(server);
    }
    return servers;
}

std::vector<ServerName> ServerGauges::takeDueProbes(std::size_t most, Instant now)
{
    std::vector<ServerName> due;
    for (auto &[server, gauge] : m_gauges) {
        if (due.size() >= most)
            break;
        if (!gauge.isUnconnectable || now < gauge.avoidedUntil)
            continue;
        gauge.avoidedUntil = now + initialAvoidance;
        due.push_back(server);
    }
    return due;
}

void ServerGauges::recordProbe(const ServerName &server, bool isConnected, Instant now)
{
    const auto found = m_gauges.find(server);
    if (found == m_gauges.end() || !found->second.isUnconnectable)
        return;
    Gauge &gauge = found->second;
    if (!isConnected) {
        recordUnanswered(gauge, now);
        return;
    }
    gauge.isUnconnectable = false;
    gauge.consecutiveUnanswered = 0;
    gauge.avoidedUntil = {};
    const auto trouble = gauge.usesServerPace ? gauge.pace.recordConnected() : std::nullopt;
    if (trouble)
        recover(server, gauge, *trouble, now);
}

void ServerGauges::recordPathsLost(std::span<const ServerName> servers, Instant now)
{
    for (const ServerName &server : servers) {
        Gauge &gauge = gaugeOf(server);
        gauge.isUnconnectable = true;
        gauge.consecutiveUnanswered = std::max(gauge.consecutiveUnanswered, unreachableThreshold);
        gauge.avoidedUntil = std::max(gauge.avoidedUntil, now + initialAvoidance);
        gauge.lastUsed = now;
    }
}

void ServerGauges::recordPathsRestored(std::span<const ServerName> servers)
{
    for (const ServerName &server : servers) {
        const auto found = m_gauges.find(server);
        if (found == m_gauges.end())
            continue;
        Gauge &gauge = found->second;
        gauge.isUnconnectable = false;
        gauge.consecutiveUnanswered = 0;
        gauge.avoidedUntil = {};
        gauge.failureRate = 0.0;
    }
}

void ServerGauges::expireAvoidance(Instant now)
{
    for (auto &[server, gauge] : m_gauges) {
        if (gauge.isUnconnectable)
            gauge.avoidedUntil = std::min(gauge.avoidedUntil, now);
    }
}

bool ServerGauges::isAvoided(const ServerName &server, Instant now) const
{
    const Gauge *gauge = find(server);
    return gauge && (now < gauge->avoidedUntil || gauge->failureRate > failureRateLimit);
}

Duration ServerGauges::expectedLatency(const ServerRecord &server, Instant now) const
{
    return latencyOf(workAt(server.id), server, now);
}

Duration ServerGauges::expectedLatency(const ServerRecord &server, std::string_view route,
                                       Instant now) const
{
    const std::optional<Duration> time = m_routeTimes.time(server.service, server.id, route);
    return latencyOf(time ? static_cast<double>(time->count()) : workAt(server.id), server, now);
}

/** \returns the expected latency of a request that takes \a ownWork nanoseconds usually. */
Duration ServerGauges::latencyOf(double ownWork, const ServerRecord &server, Instant now) const
{
    const Gauge *gauge = find(server.id);
    const double slots = static_cast<double>(std::max(1U, server.slots));
    const double ahead = std::max(0.0, outstanding(server.id, now) + 1.0 - slots);
    const double cold = server.coldRemaining > Duration::zero() ? coldFactor : 1.0;
    // Occupied slots slow a server down even before requests have to wait.
    const double busy = 1.0 + 0.2 * std::min(1.0, outstanding(server.id, now) / slots);
    const double slowness = gauge ? gauge->expectedSlowness(now) : 1.0;
    const double work = ownWork + workAt(server.id) * ahead / slots;
    return Duration{static_cast<std::int64_t>(work * cold * busy * slowness)};
}

/** \returns the usual service time of \a server in nanoseconds. */
double ServerGauges::workAt(const ServerName &server) const
{
    return static_cast<double>(serviceTime(server).value_or(defaultServiceTime).count());
}

Duration ServerGauges::slotTime(const ServerRecord &server) const
{
    const std::int64_t slots = std::max(1U, server.slots);
    return serviceTime(server.id).value_or(defaultServiceTime) / slots;
}

std::optional<Duration> ServerGauges::serviceTime(const ServerName &server) const
{
    const Gauge *gauge = find(server);
    if (!gauge || gauge->measurementCount < minMeasurements)
        return std::nullopt;
    return gauge->serviceTime.mean();
}

double ServerGauges::completionRate(const ServerName &server, Instant now) const
{
    const Gauge *gauge = find(server);
    if (!gauge)
        return 0.0;
    const double seconds = std::chrono::duration<double>(rateHalfLife).count() / std::numbers::ln2;
    const double done = decayed(gauge->completions, now - gauge->completedAt) / seconds;
    // A server that was full may never answer, so the oldest pending request is considered too.
    const Duration oldest = gauge->sentAt.empty() ? Duration{} : now - *gauge->sentAt.begin();
    const Duration requestTime = std::max({gauge->lastLatency, oldest, minWorkTime});
    const double allowed = gauge->window / std::chrono::duration<double>(requestTime).count();
    return std::max(done, allowed);
}

double ServerGauges::completionRate(const ServerRecord &server, Instant now) const
{
    const Gauge *gauge = find(server.id);
    if (!gauge || !usesSendPace(server, now))
        return completionRate(server.id, now);
    const Duration wait = std::max(Duration::zero(), gauge->sendPace.freeAt() - gauge->endedAt);
    const Duration cycle = std::max(minWorkTime, expectedLatency(server, now) + wait);
    return sendPaceLimit(*gauge) / std::chrono::duration<double>(cycle).count();
}

std::optional<Duration> ServerGauges::roomIn(const ServerRecord &server, Instant now) const
{
    if (!usesSendPace(server, now))
        return std::nullopt;
    const Gauge *gauge = find(server.id);
    if (!gauge)
        return Duration::zero();
    const Duration wait = std::max(Duration::zero(), gauge->sendPace.freeAt() - now);
    if (gauge->inFlight() < sendPaceLimit(*gauge))
        return wait;
    // A request that takes longer than expected may be one of the few that take several times as
    // long, so that it is expected to take half as long again.
    const Duration elapsed = now - *gauge->sentAt.begin();
    const Duration expected = expectedLatency(server, now);
    return std::max(wait, elapsed < expected ? expected - elapsed : elapsed / 2);
}

std::vector<ServerWork> ServerGauges::takeWork()
{
    std::vector<ServerWork> work;
    for (auto &[server, gauge] : m_gauges) {
        if (gauge.workCount == 0)
            continue;
        work.push_back({server, gauge.workTime / gauge.workCount, gauge.workCount});
        gauge.workTime = {};
        gauge.workCount = 0;
    }
    return work;
}

int ServerGauges::inFlight(const ServerName &server) const
{
    const Gauge *gauge = find(server);
    return gauge ? gauge->inFlight() : 0;
}

void ServerGauges::removeIdle(Instant now)
{
    m_routeTimes.removeIdle(now);
    std::erase_if(m_gauges, [now](const auto &entry) {
        return entry.second.inFlight() == 0 && now - entry.second.lastUsed > idleRetention;
    });
}

const ServerGauges::Gauge *ServerGauges::find(const ServerName &server) const
{
    const auto found = m_gauges.find(server);
    return found == m_gauges.end() ? nullptr : &found->second;
}

} // namespace bulrush

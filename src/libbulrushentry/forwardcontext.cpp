#include "forwardcontext.h"

#include "connection/transporterror.h"
#include "forwardexchange.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Interval at which queued requests are dispatched, unless another event does so earlier. */
constexpr Duration dispatchInterval = std::chrono::milliseconds{15};
/** Interval of the probes that find out whether any server can be reached again. */
constexpr Duration reachProbeInterval = std::chrono::milliseconds{250};
/** An answer through another daemon shows for this long that others reach servers. */
constexpr Duration relayEvidencePeriod = std::chrono::seconds{2};
/** Servers probed at a time, as many daemons may regain their paths at once. */
constexpr std::size_t maxProbes = 4;
/** Reports of leaving servers to the planner are this far apart, at least. */
constexpr Duration minReportInterval = std::chrono::milliseconds{200};
/** Maximum number of unknown fields that are logged, as servers may send any number. */
constexpr std::size_t maxLoggedFields = 20;
/** Slow starts logged at a time, as those of all servers may begin at once; all are counted. */
constexpr std::size_t maxPaceLines = 16;
/** Maximum length of a field's value in a log line. */
constexpr std::size_t maxLoggedValueLength = 40;
constexpr int firstServerError = 500;
constexpr int serviceUnavailable = 503;

std::string_view eventName(LimitChange change)
{
    switch (change) {
    case LimitChange::Named:
        return "server-limit-named";
    case LimitChange::Changed:
        return "server-limit-changed";
    case LimitChange::Unreadable:
        return "server-limit-unreadable";
    case LimitChange::Ended:
    case LimitChange::None:
        break;
    }
    return "server-limit-ended";
}

std::size_t serverCount(const RoutingState &state)
{
    std::size_t count = 0;
    for (const auto &[service, servers] : state.servers)
        count += servers.size();
    return count;
}

std::string textOf(const LimitStatement &statement)
{
    if (const auto *limit = std::get_if<RateLimit>(&statement))
        return std::to_string(limit->perSecond);
    if (const auto *unreadable = std::get_if<UnreadableLimit>(&statement))
        return unreadable->text.substr(0, maxLoggedValueLength);
    return "none";
}

std::string_view causeText(PaceCause cause)
{
    switch (cause) {
    case PaceCause::Start:
        return "start";
    case PaceCause::Slowdown:
        return "slowdown";
    case PaceCause::Freeze:
        return "freeze";
    case PaceCause::Cut:
        return "cut";
    case PaceCause::Pause:
        return "pause";
    }
    return "unknown";
}

} // namespace

ForwardContext::ForwardContext(asio::io_context &ownLoop, const EntrySettings &settings,
                               EntryCounters &ownCounters)
    : loop(ownLoop)
    , memory(std::make_shared<MemoryAccount>(settings.memoryBytes))
    , servers(ownLoop, settings.outgoing.address, memory)
    , timers(ownLoop)
    , counters(ownCounters)
    , self(settings.host)
    , host(settings.processors, ownCounters)
    , coldStarts(settings.host)
    , picker({gauges, slowStart, limits, notices, reach}, settings.domain,
             {DrainBudget{settings.serverDrain}, EvacuationBudget{settings.evacuation}})
    , queue(picker)
    , relays(settings.domain)
    , retries(settings.retries)
    , callerShares(io::hostNow())
    , answeredRequests(io::hostNow())
    , m_configBudget(settings.configInForce)
{
    gauges.setPaceScope(PaceScope::ServersThatRefuse);
    gauges.setSpreadSeed(XXH3_64bits(self.value().data(), self.value().size()));
    servers.setConnectionEventHandler(
        [this](const std::string &run, io::ServerClient::ConnectionEvent event) {
            handleConnectionEvent(run, event);
        });
}

void ForwardContext::setState(std::shared_ptr<const RoutingState> published)
{
    if (state && published->routes && state->routes != published->routes)
        logRoutes(*published);
    if (published->routes && (!state || state->routes != published->routes))
        host.setRoutes(published->routes->config());
    state = std::move(published);
    reach.setServerCount(serverCount(*state));
    retries.setDaemonCount(state->daemonCount);
    gauges.setDaemonCount(state->daemonCount);
    std::set<ServiceName> keyed;
    for (const auto &[service, assignment] : state->assignments)
        keyed.insert(service);
    gauges.setSendPaceServices(std::move(keyed));
    coldStarts.begin(*state, gauges, io::hostNow());
    relays.setDaemons(state->relays);
    queue.recordMoves(*state, io::hostNow());
    removeStaleNotices();
    handleRemovedServers();
    scheduleDispatch();
}

/** Logs that new routes are in force, and the maximum time for which the old ones were outdated. */
void ForwardContext::logRoutes(const RoutingState &published)
{
    const Instant now = io::hostNow();
    // The first routes of a daemon may have been in force elsewhere long before it started, so
    // their delay is not measured.
    const bool isFirst = !state->routes;
    const Duration delay = now - published.routesUnchangedUntil;
    if (!isFirst)
        counters.recordConfigDelay(delay);
    io::logEvent(LogLevel::Info, "config-in-force",
                 {{"version", std::to_string(published.routes->config().version)},
                  {"handed-ms", io::millisecondsText(now - published.routesAppliedAt)},
                  {"late-ms-at-most", isFirst ? "unknown" : io::millisecondsText(delay)}});
}

void ForwardContext::setQuarantine(std::shared_ptr<const Quarantine> published)
{
    quarantine = std::move(published);
    std::vector<std::shared_ptr<ForwardExchange>> waiting;
    for (const auto &[ticket, exchange] : openRequests)
        waiting.push_back(exchange);
    for (const auto &exchange : waiting)
        exchange->handleQuarantineChange();
}

RequestAdmission ForwardContext::admission(const RequestFingerprint &request) const
{
    return admissionOf(request, *quarantine, answeredRequests, io::hostNow());
}

CallerAdmission ForwardContext::admitCaller(const ServiceName &service, std::string_view caller,
                                            std::uint64_t hash, Instant now)
{
    const CallerAdmission admission = callerShares.admit(service, caller, hash, now);
    logShortage(service, admission.change);
    if (!admission.isAdmitted)
        counters.add(EntryCounter::RefusedOverShare);
    return admission;
}

void ForwardContext::recordLackOfCapacity(const ServiceName &service, Instant now)
{
    logShortage(service, callerShares.recordRefusal(service, now));
}

void ForwardContext::logShortage(const ServiceName &service, ShortageChange change)
{
    if (change != ShortageChange::None)
        io::logEvent(LogLevel::Info,
                     change == ShortageChange::Begins ? "shortage-began" : "shortage-ended",
                     {{"service", service.value()}});
}

void ForwardContext::recordServerStopped(const ServerName &server, std::string_view sign)
{
    std::vector<CrashReport> reports = crashes.serverEnded(server, io::hostNow());
    if (reports.empty())
        return;
    std::string requests;
    for (const CrashReport &report : reports)
        requests += (requests.empty() ? "" : ",") + report.request.toString();
    io::logEvent(LogLevel::Info, "server-ended",
                 {{"server", server.value()},
                  {"sign", std::string{sign}},
                  {"requests", std::move(requests)}});
    crashHandlers.reported(std::move(reports));
}

/**
 * Connects to a server whose connection was lost during requests: if the connection is refused, the
 * server has stopped.
 */
void ForwardContext::handleConnectionEvent(const std::string &run,
                                           io::ServerClient::ConnectionEvent event)
{
    if (run.empty())
        return; // the connection is to another daemon
    const ServerName server{run};
    if (event == io::ServerClient::ConnectionEvent::Connected)
        recordServerReached(server);
    if (event == io::ServerClient::ConnectionEvent::Refused) {
        recordServerFailure(server);
        if (crashes.hasRequestsAt(server))
            confirmStopped(server);
    }
    // A server may just have closed an idle connection, so that a loss says nothing about paths.
    if (event != io::ServerClient::ConnectionEvent::Lost)
        return;
    const ServerRecord *record = findServer(server);
    if (!record || !crashes.startLivenessCheck(server, io::hostNow()))
        return;
    io::ServerCall connectCall;
    connectCall.server = record->address;
    connectCall.run = run;
    servers.ensureConnected(connectCall);
}

/**
 * Concludes that \a server, whose address refuses connections, has stopped if another server can be
 * connected to. Otherwise this daemon may have lost its paths; then the removal of the server's
 * record decides.
 */
void ForwardContext::confirmStopped(const ServerName &server)
{
    if (reach.isOutOfReach())
        return;
    const ServerRecord *witness = findServer(reach.witnessFor(server));
    if (!witness) {
        recordServerStopped(server, "refused");
        return;
    }
    probe(*witness, [this, server](bool isConnected) {
        if (isConnected)
            recordServerStopped(server, "refused");
    });
}

const ServerRecord *ForwardContext::findServer(const ServerName &server) const
{
    if (!state)
        return nullptr;
    for (const auto &[service, known] : state->servers) {
        const KnownServer *found = state->server(service, server);
        if (found)
            return &found->record;
    }
    return nullptr;
}

/** Removes the limits and notices of servers that have left. */
void ForwardContext::removeStaleNotices()
{
    std::vector<ServerName> gone;
    for (const auto &[server, limit] : limits.limits()) {
        if (!findServer(server))
            gone.push_back(server);
    }
    for (const ServerName &server : gone)
        limits.remove(server);
    notices.removeUnlisted([this](const ServerName &server) { return findServer(server); },
                           io::hostNow());
}

/** Treats suspect servers whose records were removed as stopped. */
void ForwardContext::handleRemovedServers()
{
    for (const ServerName &server : crashes.suspectedServers()) {
        if (!findServer(server))
            recordServerStopped(server, "record-gone");
    }
}

LimitChange ForwardContext::recordStatement(const Answer &answer, const ServerStatement &statement)
{
    recordLoad(answer, statement);
    recordBackoff(answer, statement.backoff);
    // Another server at the address says nothing about the one that was meant.
    if (statement.isLeaving && !statement.isReplaced)
        recordLeaving(answer.server, answer.request);
    return recordLimit(answer, statement);
}

/** Records what \a answer states about the load of its server, and that it does so when full. */
void ForwardContext::recordLoad(const Answer &answer, const ServerStatement &statement)
{
    if (statement.isReplaced)
        return;
    const Instant now = io::hostNow();
    fullServers.recordAnswer(answer.server, statement.load, now);
    if (statement.load && !statement.isNotRun && answer.status < firstServerError)
        gauges.recordRouteTime(answer.service, answer.server, answer.route, now - answer.sentAt,
                               *statement.load, now);
    const bool isFull = statement.isNotRun && answer.status == serviceUnavailable && statement.load
        && SendPace::isLongQueue(*statement.load);
    // A request without a key has other servers to go to; there the windows of all daemons spread
    // the requests.
    if (isFull && state && state->assignments.contains(answer.service))
        gauges.recordFullServer(answer.service, now);
}

LimitChange ForwardContext::recordLimit(const Answer &answer, const ServerStatement &statement)
{
    const Instant now = io::hostNow();
    const bool wasRun = !statement.isNotRun && answer.status < firstServerError;
    const LimitChange change =
        limits.recordAnswer(answer.server, statement.limit, wasRun, answer.sentAt, now);
    if (change == LimitChange::None)
        return change;
    const bool isUnreadable = change == LimitChange::Unreadable;
    io::logEvent(isUnreadable ? LogLevel::Warning : LogLevel::Info, eventName(change),
                 {{"server", answer.server.value()},
                  {"per-second", textOf(statement.limit)},
                  {"request-ms", io::millisecondsText(now - answer.sentAt)}});
    return change;
}

void ForwardContext::recordBackoff(const Answer &answer, const BackoffStatement &statement)
{
    if (const auto *unreadable = std::get_if<UnreadableBackoff>(&statement)) {
        io::logEvent(LogLevel::Warning, "server-backoff-unreadable",
                     {{"server", answer.server.value()},
                      {"request", answer.request},
                      {"retry-after", unreadable->text.substr(0, maxLoggedValueLength)}});
        return;
    }
    const auto *backoff = std::get_if<Backoff>(&statement);
    if (!backoff || backoff->duration == Duration::zero())
        return;
    const Instant now = io::hostNow();
    const Duration delay =
        returnDelay(self, answer.server, backoff->duration, timeForAllDaemons(answer.server));
    notices.recordBackoff(answer.server, backoff->duration + delay, now);
    gauges.recordBackoff(answer.server);
    counters.add(EntryCounter::ServerBackoffs);
    const ServerNotice &notice = *notices.find(answer.server);
    io::logEvent(LogLevel::Info, "server-backoff-asked",
                 {{"server", answer.server.value()},
                  {"request", answer.request},
                  {"status", std::to_string(answer.status)},
                  {"asked-ms", io::millisecondsText(backoff->duration)},
                  {"left-ms", io::millisecondsText(notice.backoffUntil - now)},
                  {"count", std::to_string(notice.backoffCount)},
                  {"request-ms", io::millisecondsText(now - answer.sentAt)}});
}

/** \returns the time in which \a server handles one request of each daemon; zero if unknown. */
Duration ForwardContext::timeForAllDaemons(const ServerName &server) const
{
    const ServerRecord *record = findServer(server);
    if (!record)
        return Duration::zero();
    const Duration time = gauges.serviceTime(server).value_or(ServerGauges::defaultServiceTime);
    return time * static_cast<std::int64_t>(state->daemonCount) / std::max(1U, record->slots);
}

void ForwardContext::recordLeaving(const ServerName &server, const std::string &request)
{
    if (!notices.recordLeaving(server, io::hostNow()))
        return;
    counters.add(EntryCounter::ServersLeaving);
    io::logEvent(LogLevel::Info, "server-leaving",
                 {{"server", server.value()}, {"source", "answer"}, {"request", request}});
    reportLeavingEarly(server);
}

/** Makes this daemon report \a server to the planner at once if its keys do not move already. */
void ForwardContext::reportLeavingEarly(const ServerName &server)
{
    const Instant now = io::hostNow();
    const bool isListedAsReady =
        state && std::ranges::any_of(state->assignments, [&](const auto &entry) {
            const KnownServer *known = state->server(entry.first, server);
            return known && known->isReady();
        });
    if (!leavingHandler || !isListedAsReady || now - m_leavingReportedAt < minReportInterval)
        return;
    m_leavingReportedAt = now;
    leavingHandler();
}

void ForwardContext::recordServerReached(const ServerName &server)
{
    const Instant now = io::hostNow();
    if (reach.isOutOfReach()) {
        io::logEvent(LogLevel::Warning, "servers-reached",
                     {{"after-ms", io::millisecondsText(now - reach.lastReached())}});
        gauges.expireAvoidance(now);
    }
    reach.recordReached(server, now);
    fullServers.recordConnected(server, now);
    crashes.serverReached(server);
    const ServerRecord *record = domains.hasFailures() ? findServer(server) : nullptr;
    if (record && domains.recordReached(record->domain))
        handleDomainReached(record->domain);
}

/** Uses all servers of \a domain again, as one of them was reached. */
void ForwardContext::handleDomainReached(const DomainName &domain)
{
    const std::vector<ServerName> known = serversIn(domain);
    gauges.recordPathsRestored(known);
    io::logEvent(LogLevel::Warning, "domain-reached",
                 {{"domain", domain.value()}, {"servers", std::to_string(known.size())}});
    scheduleDispatch();
}

/** Stops using the servers of \a domain, as several of them failed and none was reached. */
void ForwardContext::handleDomainOutOfReach(const DomainName &domain)
{
    const std::vector<ServerName> known = serversIn(domain);
    gauges.recordPathsLost(known, io::hostNow());
    counters.add(EntryCounter::DomainsOutOfReach);
    io::logEvent(LogLevel::Warning, "domain-out-of-reach",
                 {{"domain", domain.value()}, {"servers", std::to_string(known.size())}});
    scheduleDispatch();
}

std::vector<ServerName> ForwardContext::serversIn(const DomainName &domain) const
{
    std::vector<ServerName> names;
    for (const auto &[service, known] : state->servers) {
        for (const KnownServer &server : known) {
            if (server.record.domain == domain)
                names.push_back(server.record.id);
        }
    }
    return names;
}

bool ForwardContext::isCutOff(Instant now) const
{
    return reach.isOutOfReach() && now - relayAnsweredAt < relayEvidencePeriod;
}

std::string ForwardContext::pathsText(Instant now) const
{
    std::string text = std::string{"servers: "}
        + (reach.isOutOfReach() ? "out-of-reach" : "reached")
        + " reached-ms-ago=" + io::millisecondsText(now - reach.lastReached())
        + " failed=" + std::to_string(reach.failedCount()) + '\n';
    for (const DomainName &domain : domains.outOfReach())
        text += "domain-out-of-reach: " + domain.value() + '\n';
    for (const ServerName &server : gauges.unreachableServers(now))
        text += "unreachable: " + server.value() + '\n';
    for (const RelayChooser::Use &use : relays.uses(now))
        text += "relay: " + use.host.value() + " in-flight=" + std::to_string(use.inFlight)
            + " sent=" + std::to_string(use.sent) + " answered=" + std::to_string(use.answered)
            + " refused=" + std::to_string(use.refused)
            + " avoided-ms=" + io::millisecondsText(use.avoidedFor) + '\n';
    for (const DomainBackoffs::Entry &entry : relays.domainBackoffs(now))
        text += "relay-domain: " + entry.domain.value()
            + " servers=" + (entry.targetDomain.isEmpty() ? "all" : entry.targetDomain.value())
            + " avoided-ms=" + io::millisecondsText(entry.left) + '\n';
    return text;
}

std::string ForwardContext::noticesText(Instant now) const
{
    std::string text;
    for (const auto &[server, notice] : notices.notices()) {
        if (notice.backoffCount > 0)
            text += "backoff: " + server.value()
                + " left-ms=" + io::millisecondsText(notices.backoffLeft(server, now))
                + " asked-ms=" + io::millisecondsText(notice.backoffAsked)
                + " asked-ms-ago=" + io::millisecondsText(now - notice.backoffAskedAt)
                + " count=" + std::to_string(notice.backoffCount) + '\n';
        if (notice.leavingSince)
            text += "leaving: " + server.value()
                + " since-ms=" + io::millisecondsText(now - *notice.leavingSince) + '\n';
    }
    return text;
}

std::string ForwardContext::admissionText(Instant now) const
{
    std::string text = keyGate.text(now);
    for (const auto &[owner, load] : ownerPressure.loads(now))
        text += "owner-load: " + owner.first.value() + ' ' + owner.second.value()
            + " of-capacity=" + std::to_string(load) + '\n';
    return text;
}

bool ForwardContext::endBackoff(const ServerName &server)
{
    if (!notices.endBackoff(server, io::hostNow()))
        return false;
    io::logEvent(LogLevel::Warning, "server-backoff-ended",
                 {{"server", server.value()}, {"source", "operator"}});
    scheduleDispatch();
    return true;
}

void ForwardContext::probeServers(Instant now)
{
    relays.removeExpired(now);
    relays.setReachingServers(!reach.isOutOfReach());
    for (const ServerName &server : gauges.takeDueProbes(maxProbes, now)) {
        const ServerRecord *record = findServer(server);
        if (record && !domains.isOutOfReach(record->domain))
            probe(*record);
    }
    for (const DomainName &domain : domains.takeDueProbes(now))
        probeNextServerIn(domain);
    if (reach.isOutOfReach() && now - m_probedAt >= reachProbeInterval)
        probeNextServer(now);
}

/** Connects to \a server without a request, and passes the result to \a handler. */
void ForwardContext::probe(const ServerRecord &server,
                           std::function<void(bool isConnected)> handler)
{
    io::ServerCall connectCall;
    connectCall.server = server.address;
    connectCall.run = server.id.value();
    servers.probe(connectCall,
                  [this, id = server.id, handler = std::move(handler)](bool isConnected) {
                      gauges.recordProbe(id, isConnected, io::hostNow());
                      if (isConnected)
                          recordServerReached(id);
                      else
                          recordServerFailure(id);
                      if (handler)
                          handler(isConnected);
                      scheduleDispatch();
                  });
}

/** Probes the servers of \a domain in turn while none of them can be reached. */
void ForwardContext::probeNextServerIn(const DomainName &domain)
{
    std::vector<ServerName> names = serversIn(domain);
    if (names.empty())
        return;
    std::ranges::sort(names);
    ServerName &last = m_probedIn[domain];
    const auto next = std::ranges::upper_bound(names, last);
    last = next == names.end() ? names.front() : *next;
    if (const ServerRecord *record = findServer(last))
        probe(*record);
}

/** Probes the servers in turn while none can be reached. */
void ForwardContext::probeNextServer(Instant now)
{
    m_probedAt = now;
    const ServerRecord *first = nullptr;
    const ServerRecord *next = nullptr;
    for (const auto &[service, known] : state->servers) {
        for (const KnownServer &server : known) {
            if (!first || server.record.id < first->id)
                first = &server.record;
            if (m_probedServer < server.record.id && (!next || server.record.id < next->id))
                next = &server.record;
        }
    }
    if (!next)
        next = first;
    if (!next)
        return;
    m_probedServer = next->id;
    probe(*next);
}

void ForwardContext::recordServerFailure(const ServerName &server)
{
    const ServerRecord *record = findServer(server);
    if (record && domains.recordFailure(record->domain, server, io::hostNow()))
        handleDomainOutOfReach(record->domain);
    const bool wasOutOfReach = reach.isOutOfReach();
    reach.recordFailure(server);
    if (wasOutOfReach || !reach.isOutOfReach())
        return;
    counters.add(EntryCounter::ServersOutOfReach);
    io::logEvent(LogLevel::Warning, "servers-out-of-reach",
                 {{"failed", std::to_string(reach.failedCount())},
                  {"server", server.value()},
                  {"reached-ms-ago", io::millisecondsText(io::hostNow() - reach.lastReached())}});
}

AttemptOutcome ForwardContext::outcomeOfBroken(const ServiceName &service, const ServerName &server,
                                               Instant sentAt, const io::HttpResult &result)
{
    const Instant now = io::hostNow();
    if (result.stage == io::TransferStage::NotConnected)
        return AttemptOutcome::Unreached;
    if (result.error != io::TransportError::ConnectionLost)
        return AttemptOutcome::Silent;
    const Duration time = gauges.serviceTime(server).value_or(ServerGauges::defaultServiceTime);
    const ResetCause cause =
        fullServers.classify({server, sentAt, gauges.inFlight(server), time}, now);
    if (cause == ResetCause::Lost)
        return AttemptOutcome::Silent;
    counters.add(EntryCounter::AttemptsAtFull);
    if (state->assignments.contains(service))
        gauges.recordFullServer(service, now);
    return AttemptOutcome::Full;
}

void ForwardContext::reportPaceChanges()
{
    std::size_t lines = 0;
    for (const PaceChange &change : gauges.takePaceChanges()) {
        counters.add(change.isBegin ? EntryCounter::SlowStartsBegun
                                    : EntryCounter::SlowStartsEnded);
        if (!change.isBegin)
            counters.add(EntryCounter::SlowStartStepsBack, change.stepCount);
        if (++lines > maxPaceLines)
            continue;
        io::logEvent(LogLevel::Info, change.isBegin ? "slow-start-begun" : "slow-start-ended",
                     {{"server", change.server.value()},
                      {"cause", std::string{causeText(change.cause)}},
                      {"window", std::to_string(change.window)},
                      {"after-ms", io::millisecondsText(change.elapsed)},
                      {"steps-back", std::to_string(change.stepCount)}});
    }
}

void ForwardContext::reportMemory()
{
    const std::uint64_t requests = memory->refusals(MemoryUse::Request);
    const std::uint64_t answers = memory->refusals(MemoryUse::Answer);
    const std::uint64_t newRequests =
        requests - std::exchange(m_reportedRequestsWithoutRoom, requests);
    const std::uint64_t newAnswers = answers - std::exchange(m_reportedAnswersWithoutRoom, answers);
    const std::uint64_t evictions = memory->evictionCount();
    const std::uint64_t newEvictions = evictions - std::exchange(m_reportedEvictions, evictions);
    if (newRequests + newAnswers + newEvictions == 0)
        return;
    counters.add(EntryCounter::RequestsWithoutRoom, newRequests);
    counters.add(EntryCounter::AnswersWithoutRoom, newAnswers);
    counters.add(EntryCounter::TransfersEvicted, newEvictions);
    io::logEvent(LogLevel::Warning, "memory-full",
                 {{"requests-refused", std::to_string(newRequests)},
                  {"answers-dropped", std::to_string(newAnswers)},
                  {"transfers-ended", std::to_string(newEvictions)},
                  {"held-bytes", std::to_string(memory->held())},
                  {"capacity-bytes", std::to_string(memory->capacity())}});
}

void ForwardContext::logUnknownFields(const ServerName &server,
                                      std::span<const std::string_view> names)
{
    for (const std::string_view name : names) {
        if (m_loggedFields.size() >= maxLoggedFields || m_loggedFields.contains(name))
            continue;
        m_loggedFields.emplace(name);
        io::logEvent(LogLevel::Info, "answer-field-unknown",
                     {{"server", server.value()},
                      {"name", std::string{name.substr(0, maxLoggedValueLength)}}});
    }
}

void ForwardContext::setFreshness(const RoutingDataFreshness &freshness)
{
    m_configConfirmedAt = freshness.operatorRows.asOf;
    picker.setServerFreshness(freshness.servers);
    picker.setEvacuationFreshness(freshness.operatorRows);
    if (queue.size() > 0)
        scheduleDispatch();
}

bool ForwardContext::mayConfigBeOutdated(Instant now) const
{
    return now - m_configConfirmedAt > m_configBudget.maxReliableAge();
}

void ForwardContext::dispatch(Instant now)
{
    if (!state || queue.size() == 0)
        return;
    const std::vector<GivenUp> givenUp =
        queue.dispatch(*state, now, [this](std::uint64_t ticket, const ServerRecord &server) {
            if (const auto exchange = openRequests.find(ticket); exchange != openRequests.end())
                exchange->second->sendTo(server);
        });
    for (const GivenUp &request : givenUp) {
        const auto place = openRequests.find(request.ticket);
        if (place == openRequests.end())
            continue;
        // The refusal removes the exchange from openRequests.
        const std::shared_ptr<ForwardExchange> exchange = place->second;
        exchange->giveUp(request.reason, request.availableIn);
    }
    if (queue.size() > 0 && !std::exchange(m_isDispatchTimerSet, true))
        timers.after(dispatchInterval, [this](Instant later) {
            m_isDispatchTimerSet = false;
            dispatch(later);
        });
}

void ForwardContext::scheduleDispatch()
{
    if (std::exchange(m_isDispatchScheduled, true))
        return;
    m_dispatchScheduledAt = io::hostNow();
    asio::post(loop, [this] {
        const Instant now = io::hostNow();
        host.recordDelay(m_dispatchScheduledAt, now);
        m_isDispatchScheduled = false;
        dispatch(now);
    });
}

} // namespace bulrush

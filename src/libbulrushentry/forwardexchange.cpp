#include "forwardexchange.h"

#include "calleranswer.h"
#include "connection/httpfield.h"
#include "connection/httpstatus.h"
#include "connection/transporterror.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "refusal.h"

#include <asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int misdirected = 421;
constexpr int firstServerError = 500;

/** For requests that state no deadline. */
constexpr Duration defaultDeadline = std::chrono::seconds{10};
/** Before a request is sent again to an owner that did not hold its key yet. */
constexpr Duration misdirectedDelay = std::chrono::milliseconds{60};
/** Before a refused request is sent again, to the same server or another one. */
constexpr Duration refusedDelay = std::chrono::milliseconds{20};
/** Attempts after which a request is not sent again, even if none of them ran. */
constexpr int maxTotalAttempts = 6;
/** Subtracted from the time left for backend servers, so that their answers arrive in time. */
constexpr Duration answerTransitTime = std::chrono::milliseconds{4};
/** Maximum length of a request's path and query in a log line. */
constexpr std::size_t maxLoggedPathLength = 80;
/** Divides the pause after a refused permit if all servers of the service name limits. */
constexpr int allLimitedPauseDivisor = 4;
/** A request that has waited for longer is not prepared for a server if its caller has closed. */
constexpr Duration lateDispatch = std::chrono::milliseconds{50};

/** \returns whether a call that failed with \a error received nothing from its server. */
bool isUnanswered(std::error_code error)
{
    return error == io::TransportError::ConnectionFailed
        || error == io::TransportError::ConnectionLost || error == io::TransportError::TimedOut;
}

/** \returns whether another daemon's \a refusal lets the caller retry. */
RetryAdvice adviceOf(const io::HttpResponse &refusal)
{
    return io::findField(refusal.headers, "Retry-After") ? RetryAdvice::Later : RetryAdvice::Never;
}

} // namespace

ForwardExchange::ForwardExchange(ForwardContext &context,
                                 std::shared_ptr<io::IncomingRequest> request,
                                 std::shared_ptr<io::ResponseWriter> writer,
                                 std::optional<RelayTerms> relayed)
    : m_context(context)
    , m_request(std::move(request))
    , m_writer(std::move(writer))
    , m_suspect(context)
    , m_startedAt(io::hostNow())
    , m_relayed(std::move(relayed))
{ }

void ForwardExchange::start()
{
    m_context.counters.add(m_relayed ? EntryCounter::RelaysTaken : EntryCounter::RequestsTaken);
    m_context.openRelayCount += m_relayed ? 1 : 0;
    m_terms = platform::requestMetadata(m_request->head().headers);
    m_ticket = m_context.nextTicket++;
    m_context.openRequests.emplace(m_ticket, shared_from_this());
    m_request->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handleDisconnect();
    });
    if (!resolveRoute())
        return;
    m_timeout = m_context.timers.after(timeLeft(), [weak = weak_from_this()](Instant) {
        if (const auto self = weak.lock())
            self->handleTimeout();
    });
    if (!m_request->isBodyBuffered() && refuseIfQueueTooLong())
        return;
    readBody();
}

/** Finds the route, service and deadline. \returns false if the request was answered instead. */
bool ForwardExchange::resolveRoute()
{
    m_routes = m_context.state ? m_context.state->routes : nullptr;
    if (!m_routes || m_context.isRefusing) {
        refuse(m_routes ? refusal::shuttingDown : refusal::noConfig);
        return false;
    }
    const auto relayRefusal = m_relayed
        ? m_context.host.relayRefusal(m_context.openRelayCount, m_context.reach.isOutOfReach(),
                                      m_startedAt)
        : std::nullopt;
    if (relayRefusal) {
        refuse(*relayRefusal);
        return false;
    }
    // The daemon that relays a request may know a later configuration.
    if (m_relayed && m_relayed->configVersion > m_routes->config().version) {
        refuse(refusal::outdatedConfig);
        return false;
    }
    if (m_terms.id.empty()) {
        reject(badRequest, "no-request-id");
        return false;
    }
    const io::HttpHeader *host = io::findField(m_request->head().headers, "Host");
    m_route = m_routes->find(host ? host->value : std::string{}, m_request->head().target);
    if (!m_route) {
        // A newer configuration may have added the route, so the request is not rejected for good.
        if (m_context.mayConfigBeOutdated(m_startedAt))
            refuse("configuration-in-doubt");
        else
            reject(notFound, "no-route");
        return false;
    }
    if (!m_relayed && !m_context.host.admits(*m_route, hash(), m_startedAt)) {
        refuse(refusal::hostOverloaded);
        return false;
    }
    m_service = serviceOf(*m_route, hash());
    const RoutedService *service = m_routes->service(m_service);
    m_isDividedByKey = service && service->isDividedByKey;
    if (m_isDividedByKey && !m_terms.key) {
        reject(badRequest, "no-key");
        return false;
    }
    Duration wait = m_terms.deadline.value_or(defaultDeadline);
    if (m_route->timeout)
        wait = std::min(wait, *m_route->timeout);
    m_answerBy = m_startedAt + wait;
    // The daemon that relays a request has counted and admitted it.
    if (m_relayed)
        return true;
    m_context.retries.recordFirstAttempt(m_service);
    if (m_isDividedByKey)
        m_context.requestedKeys[m_service].add(*m_terms.key, m_route->priority);
    return admitCaller() && (!m_isDividedByKey || admitKey());
}

/** \returns false if the request was refused because its caller exceeds its fair share. */
bool ForwardExchange::admitCaller()
{
    const CallerAdmission admission =
        m_context.admitCaller(m_service, caller(), hash(), m_startedAt);
    if (admission.isAdmitted)
        return true;
    m_availableIn = admission.availableIn;
    refuse(refusal::callerOverShare);
    return false;
}

/**
 * \returns false if the request was refused because more is requested of its key, or of the owner
 * of the key, than the owner can serve.
 */
bool ForwardExchange::admitKey()
{
    const KeyAssignment *assignment = currentAssignment();
    const OwnedRange *owned = assignment ? assignment->find(*m_terms.key) : nullptr;
    const KeyDecision decision = m_context.keyGate.decide(
        {m_service, *m_terms.key, owned ? owned->owner : ServerName{}, m_route->priority, hash()},
        m_startedAt);
    // The planner's rates are seconds old, and its estimate of a capacity may be too low.
    if (decision == KeyDecision::Admitted || (decision == KeyDecision::BusyOwner && hasOwnerRoom()))
        return true;
    m_context.counters.add(refusedByShare(m_route->priority));
    refuse(decision == KeyDecision::HotKey ? refusal::keyTooHot : refusal::ownerTooBusy);
    return false;
}

void ForwardExchange::readBody()
{
    if (m_isFinished)
        return;
    if (m_request->isBodyBuffered()) {
        *m_body = m_request->takeBody();
        computeFingerprint();
        enqueue(m_startedAt);
        return;
    }
    m_body->reserve(m_request->bodyLength());
    m_request->readBody(
        [self = shared_from_this()](std::error_code error, const std::string &bytes) {
            if (self->m_isFinished)
                return;
            if (error) {
                self->handleDisconnect();
                return;
            }
            if (!bytes.empty()) {
                self->m_body->append(bytes);
                self->readBody();
                return;
            }
            self->computeFingerprint();
            self->enqueue(io::hostNow());
        });
}

void ForwardExchange::computeFingerprint()
{
    const io::RequestHead &head = m_request->head();
    const io::HttpHeader *host = io::findField(head.headers, "Host");
    m_suspect.setFingerprint(RequestFingerprint{
        {head.method, host ? std::string_view{host->value} : "", head.target, *m_body}});
}

/**
 * Refuses the request if it is blocked because it crashes servers, or if other daemons probe
 * whether it does. \returns whether it was refused.
 */
bool ForwardExchange::refuseIfQuarantined()
{
    const RequestAdmission admission = m_suspect.admission();
    if (admission != RequestAdmission::Blocked && admission != RequestAdmission::ProbedElsewhere)
        return false;
    m_context.counters.add(EntryCounter::RefusedCrashing);
    if (admission == RequestAdmission::Blocked)
        refuse("crashes-servers", RetryAdvice::Never);
    else
        refuse(refusal::mayCrash);
    return true;
}

void ForwardExchange::handleQuarantineChange()
{
    // Whoever has a copy decides by its own quarantine, and its answer is still to come.
    if (!m_isFinished && !m_copies->isAtHolder())
        refuseIfQuarantined();
}

void ForwardExchange::enqueue(Instant notBefore)
{
    if (m_context.isRefusing) {
        refuse(refusal::shuttingDown);
        return;
    }
    if (refuseIfQuarantined())
        return;
    m_context.queue.add(waitingRequest(notBefore));
    m_context.scheduleDispatch();
}

/** Refuses the request if this is foreseeable before its body is read. \returns whether it did. */
bool ForwardExchange::refuseIfQueueTooLong()
{
    const std::optional<GivenUp> refusal =
        m_context.queue.foreseenRefusal(*m_context.state, waitingRequest(m_startedAt), m_startedAt);
    if (refusal)
        giveUp(refusal->reason, refusal->availableIn);
    return refusal.has_value();
}

WaitingRequest ForwardExchange::waitingRequest(Instant notBefore) const
{
    WaitingRequest waiting;
    waiting.ticket = m_ticket;
    waiting.service = m_service;
    if (m_isDividedByKey)
        waiting.key = m_terms.key;
    waiting.kind = m_route->kind;
    waiting.tried = m_tried;
    waiting.priority = m_route->priority;
    waiting.arrivedAt = m_startedAt;
    waiting.onTimeUntil = m_startedAt + m_route->targetLatency;
    waiting.answerBy = m_answerBy;
    waiting.notBefore = notBefore;
    waiting.permitted = m_permit.server();
    waiting.route = m_route->name;
    return waiting;
}

void ForwardExchange::sendTo(const ServerRecord &server)
{
    if (io::hostNow() - m_startedAt >= lateDispatch && m_request->hasCallerClosed()) {
        // The queue must not change while it passes requests on.
        asio::post(m_context.loop, [self = shared_from_this()] { self->handleDisconnect(); });
        return;
    }
    if (!hasPermit(server.id, io::hostNow())) {
        queryPermit(server);
        return;
    }
    if (!m_suspect.beginProbe()) {
        m_context.counters.add(EntryCounter::RefusedCrashing);
        asio::post(m_context.loop,
                   [self = shared_from_this()] { self->refuse(refusal::mayCrash); });
        return;
    }
    m_sentAt = io::hostNow();
    m_server = server.id;
    ++m_attempts;
    m_suspect.beginAttempt(m_server);
    m_context.counters.add(EntryCounter::AttemptsSent);
    if (m_context.limits.recordSend(m_server))
        m_context.counters.add(EntryCounter::AttemptsToLimited);
    if (m_context.notices.isBackingOff(m_server, m_sentAt))
        m_context.counters.add(EntryCounter::AttemptsDuringBackoff);
    if (m_attempts > 1)
        m_context.counters.add(EntryCounter::AttemptsRepeated);
    m_context.gauges.attemptStarted(server.id, m_sentAt);
    const KnownServer *known = m_context.state->server(m_service, m_server);
    if (known)
        m_context.slowStart.recordSend(*known, m_sentAt);
    m_trace.begin(m_context.picker, known, m_sentAt);
    m_context.counters.recordRoutingDataAge(m_trace.routingDataAge());

    io::ServerCall call;
    call.server = server.address;
    call.run = server.id.value();
    call.method = m_request->head().method;
    call.target = m_request->head().target;
    call.headers = platform::forwardedFields(m_request->head().headers, server.id,
                                             timeLeft() - answerTransitTime);
    removeRelayFields(call.headers);
    call.body = m_body;
    call.timeout = timeLeft() + std::chrono::seconds{1};
    call.sendDeadline = std::min(m_answerBy - RequestQueue::minServiceTime, sendDeadline());
    if (const auto validUntil = m_permit.validUntil(server.id))
        call.sendDeadline = std::min(call.sendDeadline, *validUntil);
    m_permit.reset();
    m_copy = m_copies->add(server.id.value());
    call.confirmSend = [&picker = m_context.picker, server = m_server, copies = m_copies,
                        copy = m_copy, caller = openCallerCheck()] {
        const Instant now = io::hostNow();
        return picker.isStillWanted(server, now) && caller() && copies->release(copy, now);
    };
    call.echoedField = platform::requestIdField;
    call.avoidedConnections = m_usedConnections;
    m_call =
        m_context.servers.send(std::move(call), [self = shared_from_this()](io::HttpResult result) {
            self->handleAttemptResult(std::move(result));
        });
}

/** \returns whether \a server names no limit, or the request may be sent to it all the same. */
bool ForwardExchange::hasPermit(const ServerName &server, Instant now) const
{
    return !m_context.limits.find(server) || m_permit.allows(server, now);
}

/** \returns the longest time that the request should wait for a permit of \a server. */
Duration ForwardExchange::maxPermitWait(const ServerRecord &server, Instant now) const
{
    // Servers without a limit can take the request at once.
    if (!m_isDividedByKey && !haveAllServersLimits())
        return Duration::zero();
    const Instant onTimeUntil = std::min(m_startedAt + m_route->targetLatency, m_answerBy);
    // Half of all requests take longer than the mean.
    const Duration latency = 2 * m_context.gauges.expectedLatency(server, now);
    return std::max(Duration::zero(), onTimeUntil - now - latency);
}

/** \returns whether all servers of the service that may get requests name limits. */
bool ForwardExchange::haveAllServersLimits() const
{
    const auto &servers = m_context.state->serversOf(m_service);
    return std::ranges::all_of(servers, [this](const KnownServer &server) {
        return !server.isReady() || m_context.limits.find(server.record.id);
    });
}

/** Queries a permit to send the request to \a server, which names a limit. */
void ForwardExchange::queryPermit(const ServerRecord &server)
{
    const Instant now = io::hostNow();
    const KnownLimit &limit = *m_context.limits.find(server.id);
    m_permit.reset();
    m_server = server.id;
    if (!m_isDividedByKey && !haveAllServersLimits())
        m_context.limits.close(server.id, now + permitPause(limit, 1));
    m_context.counters.add(EntryCounter::PermitsQueried);
    const PermitQuery query{server.id, server.domain, limit.perSecond, now - limit.namedAt,
                            maxPermitWait(server, now)};
    m_context.permits(query,
                      [self = shared_from_this(), namedAt = limit.namedAt,
                       maxWait = query.maxWait](const PermitAnswer &answer) {
                          self->handlePermit(answer, namedAt, maxWait);
                      });
}

/** Handles the answer to a query that stated the limit which the server named at \a namedAt. */
void ForwardExchange::handlePermit(const PermitAnswer &answer, Instant namedAt, Duration maxWait)
{
    if (m_isFinished)
        return;
    const Instant now = io::hostNow();
    if (answer.outcome == PermitOutcome::Granted) {
        m_permit.grant(m_server, now + answer.wait);
        enqueue(now + answer.wait);
        return;
    }
    if (answer.outcome == PermitOutcome::LimitEnded) {
        m_context.limits.applyEnd(m_server, namedAt);
        io::logEvent(LogLevel::Info, "server-limit-ended",
                     {{"server", m_server.value()}, {"source", "issuer"}});
        enqueue(now);
        return;
    }
    m_context.counters.add(EntryCounter::PermitsRefused);
    m_availableIn = answer.wait;
    if (m_isDividedByKey) {
        m_context.limits.close(m_server, now + std::max(Duration::zero(), answer.wait - maxWait));
        refuse(refusal::limited);
        return;
    }
    if (const KnownLimit *limit = m_context.limits.find(m_server)) {
        Duration pause = permitPause(*limit, m_context.state->daemonCount);
        if (haveAllServersLimits())
            pause /= allLimitedPauseDivisor;
        m_context.limits.close(m_server, now + std::max(answer.wait - maxWait, pause));
    }
    m_tried.push_back(m_server);
    enqueue(now);
}

/** \returns the instant until which the request may be sent to the chosen server. */
Instant ForwardExchange::sendDeadline() const
{
    const KnownServer *server = m_context.state->server(m_service, m_server);
    return server ? m_context.picker.sendDeadline(*server) : Instant::max();
}

void ForwardExchange::handleAttemptResult(io::HttpResult result)
{
    m_call.reset();
    if (result.stage != io::TransferStage::NotConnected)
        m_usedConnections.push_back(result.connection);
    m_suspect.endProbe();
    m_trace.log(m_terms.id, m_server, result.times);
    if (m_isFinished)
        return;
    m_context.scheduleDispatch();
    if (result.error)
        handleBrokenAttempt(result);
    else
        handleAnswer(std::move(result));
}

void ForwardExchange::handleAnswer(io::HttpResult result)
{
    const Instant now = io::hostNow();
    const io::HttpResponse &response = result.response;
    m_context.recordServerReached(m_server);
    const ServerStatement statement =
        platform::serverStatement(response.status, response.headers, {m_server, m_terms.id});
    if (statement.isNotRun)
        m_copies->recordDenial(m_copy);
    else
        m_copies->recordMayHaveRun(m_copy);
    const bool isFailure = response.status >= firstServerError && !statement.isNotRun;
    const AttemptOutcome sign = statement.isNotRun ? AttemptOutcome::NotRun
        : isFailure                                ? AttemptOutcome::Failed
                                                   : AttemptOutcome::Served;
    m_context.gauges.attemptEnded(m_server, sign, now - m_sentAt, statement.load, now);
    if (m_context.recordStatement(
            {m_server, response.status, m_terms.id, m_sentAt, m_service, m_route->name}, statement)
        == LimitChange::Ended)
        reportLimitEnd();
    m_context.logUnknownFields(m_server, platform::unknownFields(response.headers));

    if (statement.isNotRun) {
        logRefusedAttempt(result);
        handleRefusal(statement, response.status);
        return;
    }
    m_suspect.recordAnswer(response.status);
    // No encoding was requested, so an encoded body can't be the intended answer.
    const bool isEncoded = io::findField(response.headers, "Content-Encoding") != nullptr;
    if (isEncoded || isFailure) {
        if (!isEncoded && !isNotRunStatus(response.status))
            m_failedAnswer = FailedAnswer{m_server, response};
        if (retryOnOtherServer())
            return;
    }
    if (isEncoded)
        finishUnknown(UnknownStatus::BadGateway, "answer-encoded");
    else
        returnAnswer(std::move(result.response));
}

/** Logs what shows that the server did not run the request. */
void ForwardExchange::logRefusedAttempt(const io::HttpResult &result) const
{
    const Instant now = io::hostNow();
    const io::HttpResponse &response = result.response;
    const platform::RefusalSigns signs = platform::refusalSigns(response.headers, m_terms.id);
    io::logEvent(LogLevel::Info, "attempt-refused",
                 {{"request", m_terms.id},
                  {"server", m_server.value()},
                  {"attempt", std::to_string(m_attempts)},
                  {"connection", std::to_string(result.connection)},
                  {"status", std::to_string(response.status)},
                  {"stated", signs.isStated ? "yes" : "no"},
                  {"by", signs.server.value_or("")},
                  {"id", signs.hasRequestId ? "echoed" : "missing"},
                  {"after-ms", io::millisecondsText(now - m_sentAt)}});
}

/** Handles that the server did not run the request: sends it again where that may help. */
void ForwardExchange::handleRefusal(const ServerStatement &statement, int status)
{
    m_context.counters.add(EntryCounter::AttemptsNotRun);
    if (statement.isReplaced) {
        m_context.stoppedServers[m_service].insert(m_server);
        m_context.recordServerStopped(m_server, "replaced");
    }
    const bool isKeyMissing = status == misdirected;
    Duration delay = isKeyMissing ? misdirectedDelay : refusedDelay;
    if (!m_isDividedByKey) {
        m_tried.push_back(m_server);
    } else if (const Duration left = m_context.notices.backoffLeft(m_server, io::hostNow());
               left > Duration::zero()) {
        // Only this server has the key.
        if (!isOnTimeAfter(left)) {
            refuseForBackoff(m_server, left);
            return;
        }
        delay = std::max(delay, left);
    }
    if (!scheduleRetry(delay))
        refuse(isKeyMissing ? "server-has-not-the-key" : refusal::serverRefused);
}

/** \returns whether an answer can be on time if the request is sent to its owner after \a wait. */
bool ForwardExchange::isOnTimeAfter(Duration wait) const
{
    const Instant now = io::hostNow();
    const ServerRecord *server = owner();
    return server
        && now + wait + m_context.gauges.expectedLatency(*server, now)
        <= m_startedAt + m_route->targetLatency;
}

/** Reports that the server has no limit any more to the issuer of its permits. */
void ForwardExchange::reportLimitEnd()
{
    const KnownServer *server = m_context.state->server(m_service, m_server);
    if (!server)
        return;
    // The other daemons learn it from the issuer.
    m_context.permits({m_server, server->record.domain, std::nullopt, Duration::zero(), {}},
                      [](const PermitAnswer &) {});
}

void ForwardExchange::handleBrokenAttempt(const io::HttpResult &result)
{
    const Instant now = io::hostNow();
    if (result.error == io::TransportError::CallWithdrawn) {
        handleWithdrawnAttempt();
        return;
    }
    const AttemptOutcome sign = m_context.outcomeOfBroken(m_service, m_server, m_sentAt, result);
    const bool isUnsent = sign == AttemptOutcome::Unreached;
    const bool isFull = sign == AttemptOutcome::Full;
    if (!isUnanswered(result.error))
        m_context.recordServerReached(m_server);
    else if (!isFull)
        m_context.recordServerFailure(m_server);
    m_context.gauges.attemptEnded(m_server, sign, now - m_sentAt, std::nullopt, now);
    io::logEvent(LogLevel::Info, "attempt-broke",
                 {{"request", m_terms.id},
                  {"fingerprint", m_suspect.fingerprintText()},
                  {"path", m_request->head().target.substr(0, maxLoggedPathLength)},
                  {"server", m_server.value()},
                  {"sent", isUnsent ? "no" : "yes"},
                  {"full", isFull ? "yes" : "no"},
                  {"after-ms", io::millisecondsText(now - m_sentAt)},
                  {"error", result.error.message()}});
    if (isUnsent) {
        handleUnreachedServer();
        return;
    }
    m_copies->recordMayHaveRun(m_copy);
    m_suspect.recordLoss(isFull ? CrashWatch::Loss::Full : CrashWatch::Loss::Broke);
    const ServerRecord *owner = isFull ? this->owner() : nullptr;
    if (!retryOnOtherServer(owner ? m_context.gauges.slotTime(*owner) : Duration::zero()))
        finishUnknown(UnknownStatus::BadGateway, "answer-lost");
}

/**
 * Queues the request, which its server has not received, again as the server does not want it any
 * more, or ends it as its caller has closed.
 */
void ForwardExchange::handleWithdrawnAttempt()
{
    const Instant now = io::hostNow();
    m_context.counters.add(EntryCounter::AttemptsWithdrawn);
    io::logEvent(LogLevel::Info, "attempt-withdrawn",
                 {{"request", m_terms.id},
                  {"server", m_server.value()},
                  {"after-ms", io::millisecondsText(now - m_sentAt)}});
    m_context.gauges.attemptEnded(m_server, AttemptOutcome::Abandoned, now - m_sentAt, std::nullopt,
                                  now);
    --m_attempts;
    if (m_request->hasCallerClosed())
        handleDisconnect();
    else
        enqueue(now);
}

/** Handles that no connection to the chosen server could be established. */
void ForwardExchange::handleUnreachedServer()
{
    if (!m_isDividedByKey) {
        m_tried.push_back(m_server);
        if (!m_context.reach.isOutOfReach() && scheduleRetry(refusedDelay))
            return;
    }
    if (!relay())
        refuse(refusal::unreachable);
}

/**
 * Sends the request through another daemon, as this one does not reach its server. \returns false
 * if that is not possible: a relayed request is not relayed again, and one that may have run is not
 * sent again.
 */
bool ForwardExchange::relay()
{
    if (m_relayed || m_copies->mayHaveRun() || m_relay)
        return false;
    const ServerRecord *owner = this->owner();
    RelayRequest request;
    request.id = m_terms.id;
    request.method = m_request->head().method;
    request.target = m_request->head().target;
    request.headers = m_request->head().headers;
    removeRelayFields(request.headers);
    request.body = m_body;
    request.server = owner ? owner->id.value() : m_service.value();
    request.serverDomain = owner ? owner->domain : DomainName{};
    request.configVersion = m_routes->config().version;
    request.salt = hash();
    request.answerBy = m_answerBy;
    request.askAnotherUntil = askAnotherUntil(owner);
    request.hasOpenCaller = openCallerCheck();
    m_relay = std::make_shared<PeerRelay>(m_context, std::move(request), m_copies,
                                          [self = shared_from_this()](const RelayResult &result) {
                                              self->handleRelayResult(result);
                                          });
    if (m_relay->start())
        return true;
    m_relay.reset();
    return false;
}

/** \returns the instant from which on an answer of \a owner, if known, would hardly be on time. */
Instant ForwardExchange::askAnotherUntil(const ServerRecord *owner) const
{
    const Duration work = (owner ? m_context.gauges.serviceTime(owner->id) : std::nullopt)
                              .value_or(RequestQueue::minServiceTime);
    return m_startedAt + m_route->targetLatency - std::min(work, m_route->targetLatency / 2);
}

void ForwardExchange::handleRelayResult(const RelayResult &result)
{
    if (m_isFinished)
        return;
    if (result.isWithdrawn) {
        handleDisconnect();
        return;
    }
    const std::string &reason = result.statement.reason;
    switch (result.statement.outcome) {
    case RelayOutcome::Answered:
        recordRelayedStatement(result);
        returnAnswer(result.response);
        return;
    case RelayOutcome::NotRun:
        recordRelayedBackoff(result.response);
        refuse(reason, adviceOf(result.response));
        return;
    case RelayOutcome::Denied:
    case RelayOutcome::CutOff:
    case RelayOutcome::Unavailable:
        refuse(reason);
        return;
    case RelayOutcome::Rejected:
        reject(result.response.status, reason);
        return;
    case RelayOutcome::Unknown:
        finishUnknown(UnknownStatus::BadGateway, reason);
        return;
    }
}

/** Records what an answer that this daemon passes on states about its server. */
void ForwardExchange::recordRelayedStatement(const RelayResult &result)
{
    const ServerName &server = result.statement.server;
    const io::HttpResponse &response = result.response;
    if (!server.isEmpty()
        && platform::serverStatement(response.status, response.headers, {server, m_terms.id})
               .isLeaving)
        m_context.recordLeaving(server, m_terms.id);
}

/** Records when the daemon that refused the relayed request lets its caller return. */
void ForwardExchange::recordRelayedBackoff(const io::HttpResponse &response)
{
    const BackoffStatement statement = platform::backoffStatement(response.headers);
    if (const auto *backoff = std::get_if<Backoff>(&statement))
        m_availableIn = backoff->duration;
}

/** Queues the request, which may have run, again after \a delay. \returns false if it must not be
 * repeated. */
bool ForwardExchange::retryOnOtherServer(Duration delay)
{
    m_context.counters.add(EntryCounter::AttemptsFailed);
    const bool mayRepeat = m_route->kind == RequestKind::Idempotent
        && static_cast<std::uint32_t>(m_attempts) < m_route->maxAttempts;
    if (!mayRepeat)
        return false;
    // Another server crashed during the request before, so this daemon does not send it to a third
    // one.
    if (m_suspect.hasCrashedServers())
        return false;
    m_tried.push_back(m_server);
    return scheduleRetry(delay);
}

/** Queues the request again. \returns false if no attempt, time or retry budget is left. */
bool ForwardExchange::scheduleRetry(Duration delay)
{
    const Instant now = io::hostNow();
    if (m_attempts >= maxTotalAttempts || now + delay + RequestQueue::minServiceTime >= m_answerBy)
        return false;
    const RequestClass requestClass =
        m_route->priority == 0 ? RequestClass::Priority : RequestClass::Ordinary;
    if (!m_context.retries.takeRetry(m_service, requestClass))
        return false;
    enqueue(now + delay);
    return true;
}

void ForwardExchange::returnAnswer(io::HttpResponse response)
{
    const int status = response.status;
    const std::optional<CallerAnswer> answer = CallerAnswer::ofServer(std::move(response));
    if (!answer) {
        finishUnknown(UnknownStatus::BadGateway, "status-without-statement");
        return;
    }
    m_context.counters.add(EntryCounter::AnswersReturned);
    m_context.counters.recordLatency(elapsed());
    log("answered", status, "server");
    send(*answer, RelayOutcome::Answered, "server");
    finish();
}

void ForwardExchange::giveUp(GiveUpReason reason, Duration availableIn)
{
    if (m_isFinished || (reason == GiveUpReason::Unreachable && relay()))
        return;
    const ServerRecord *server = reason == GiveUpReason::BackingOff ? owner() : nullptr;
    if (server) {
        refuseForBackoff(server->id, availableIn);
        return;
    }
    m_availableIn = availableIn;
    refuse(nameOf(reason));
}

/** Refuses the request because \a server, which has its key, asked for a pause. */
void ForwardExchange::refuseForBackoff(const ServerName &server, Duration left)
{
    ++m_context.refusedForBackoff[server];
    m_availableIn = left;
    refuse(refusal::backingOff);
}

void ForwardExchange::refuse(std::string_view reason, RetryAdvice advice)
{
    if (m_isFinished)
        return;
    if (const std::optional<NotRunProof> proof = m_copies->proveNotRun()) {
        finishNotRun(*proof, reason, advice);
        return;
    }
    m_context.counters.add(EntryCounter::RefusalsWithoutProof);
    finishUnknown(UnknownStatus::GatewayTimeout, reason);
}

void ForwardExchange::refuseUnlessPassedOn()
{
    if (!m_call && !m_relay)
        refuse(refusal::shuttingDown);
}

void ForwardExchange::finishNotRun(const NotRunProof &proof, std::string_view reason,
                                   RetryAdvice advice)
{
    m_context.counters.add(EntryCounter::RefusedNotRun);
    m_context.counters.add(proof.kind() == NotRunProof::Kind::NeverSent
                               ? EntryCounter::RefusedNeverSent
                               : EntryCounter::RefusedDenied);
    m_context.counters.add(EntryCounter::RelaysNotRun, m_relayed ? 1 : 0);
    if (!m_relayed && isForLackOfCapacity(reason))
        m_context.recordLackOfCapacity(m_service, io::hostNow());
    // Nobody knows when paths are back; they are expected to be lost for as long again.
    const ServerRecord *server = m_context.state ? owner() : nullptr;
    if (server && m_availableIn == Duration::zero())
        m_availableIn = m_context.domains.outOfReachFor(server->domain, io::hostNow());
    const RefusedRequest refused =
        refusedRequest(reason,
                       {m_routes.get(), m_route, m_service, m_terms.deadline, elapsed(),
                        m_availableIn, hash(), hasOwnerRoom()});
    const CallerAnswer answer = CallerAnswer::notRun(
        proof,
        advice == RetryAdvice::Later ? std::optional{retryAfterText(refused)} : std::nullopt);
    log("not-run", answer.response().status, reason);
    send(answer, relayOutcomeOfRefusal(reason, m_context.reach.isOutOfReach()), reason);
    finish();
}

void ForwardExchange::finishUnknown(UnknownStatus status, std::string_view reason)
{
    // The answer of a server that failed is more useful to the caller than an unknown outcome.
    if (auto failed = std::exchange(m_failedAnswer, std::nullopt)) {
        m_server = failed->server;
        returnAnswer(std::move(failed->response));
        return;
    }
    m_context.counters.add(EntryCounter::EndedUnknown);
    log("unknown", static_cast<int>(status), reason);
    send(CallerAnswer::unknown(status), RelayOutcome::Unknown, reason);
    finish();
}

void ForwardExchange::reject(int status, std::string_view reason)
{
    m_context.counters.add(EntryCounter::Rejected);
    log("rejected", status, reason);
    send(CallerAnswer::rejected(status), RelayOutcome::Rejected, reason);
    finish();
}

/** Sends the final answer; a daemon that relays the request is also told \a outcome and \a reason.
 */
void ForwardExchange::send(const CallerAnswer &answer, RelayOutcome outcome,
                           std::string_view reason)
{
    if (!m_relayed) {
        m_writer->send(answer.response());
        return;
    }
    io::HttpResponse response = answer.response();
    removeRelayFields(response.headers);
    addRelayStatement(response.headers,
                      {outcome, std::string{reason},
                       outcome == RelayOutcome::Answered ? m_server : ServerName{}, m_terms.id});
    m_writer->send(response);
}

void ForwardExchange::handleDisconnect()
{
    if (m_isFinished)
        return;
    m_context.counters.add(EntryCounter::CallersGone);
    log("caller-gone", 0, m_call ? "at-server" : "waiting");
    finish();
}

void ForwardExchange::logUnfinished() const
{
    log("unfinished", 0, "process-stopped");
}

void ForwardExchange::handleTimeout()
{
    m_timeout.reset();
    if (m_isFinished)
        return;
    if (m_call && m_context.servers.isSent(*m_call))
        m_context.recordServerFailure(m_server);
    refuse("time-is-up");
}

void ForwardExchange::finish()
{
    if (std::exchange(m_isFinished, true))
        return;
    if (m_timeout)
        m_context.timers.cancel(*m_timeout);
    if (m_call) {
        const Instant now = io::hostNow();
        m_trace.log(m_terms.id, m_server, m_context.servers.times(*m_call));
        if (m_context.servers.isSent(*m_call))
            m_suspect.recordLoss(CrashWatch::Loss::Abandoned);
        m_context.servers.cancel(*m_call);
        m_context.gauges.attemptEnded(m_server, AttemptOutcome::Abandoned, now - m_sentAt,
                                      std::nullopt, now);
        m_call.reset();
        m_context.scheduleDispatch();
    }
    if (m_relay)
        m_relay->cancel();
    m_context.openRelayCount -= m_relayed ? 1 : 0;
    m_suspect.endProbe();
    m_context.queue.remove(m_ticket);
    m_writer.reset();
    // The entry in openRequests may be the last reference, so this one keeps the object alive until
    // the caller has returned.
    asio::post(m_context.loop, [self = shared_from_this()] {});
    m_context.openRequests.erase(m_ticket);
}

void ForwardExchange::log(std::string_view outcome, int status, std::string_view reason) const
{
    const std::uint64_t version = m_routes ? m_routes->config().version : 0;
    const KnownLimit *limit = m_context.limits.find(m_server);
    const KeyAssignment *assignment = currentAssignment();
    const OwnedRange *owned = assignment ? assignment->find(*m_terms.key) : nullptr;
    const ServerNotice *notice =
        m_context.notices.find(m_server.isEmpty() && owned ? owned->owner : m_server);
    const Duration backoff = notice ? notice->backoffUntil - io::hostNow() : Duration::zero();
    io::logEvent(LogLevel::Info, io::requestEvent,
                 {{"id", m_terms.id},
                  {"outcome", std::string{outcome}},
                  {"status", std::to_string(status)},
                  {"reason", std::string{reason}},
                  {"route", m_route ? m_route->name : "none"},
                  {"service", m_service.value()},
                  {"fingerprint", m_suspect.fingerprintText()},
                  {"caller", std::string{caller()}},
                  {"key", m_terms.key ? std::to_string(*m_terms.key) : "none"},
                  {"owner", owned ? owned->owner.value() : ""},
                  {"moving", owned && owned->isMoving() ? "yes" : "no"},
                  {"assignment", std::to_string(assignment ? assignment->sequence : 0)},
                  {"server", m_server.value()},
                  {"relay", m_relay ? m_relay->host().value() : ""},
                  {"relayed-from", m_relayed ? m_relayed->from.value() : ""},
                  {"servers", m_context.reach.isOutOfReach() ? "out-of-reach" : "reached"},
                  {"server-limit", limit ? std::to_string(limit->perSecond) : "none"},
                  {"server-backoff-ms", io::millisecondsText(std::max(Duration::zero(), backoff))},
                  {"server-leaving", notice && notice->leavingSince ? "yes" : "no"},
                  {"attempts", std::to_string(m_attempts)},
                  {"copies", m_copies->text(m_startedAt)},
                  {"ms", io::millisecondsText(elapsed())},
                  {"left-ms", io::millisecondsText(timeLeft())},
                  {"config", std::to_string(version)}});
}

/** \returns the current assignment of the request's service, or null if it has no key. */
const KeyAssignment *ForwardExchange::currentAssignment() const
{
    if (!m_isDividedByKey || !m_terms.key || !m_context.state)
        return nullptr;
    const auto assignment = m_context.state->assignments.find(m_service);
    return assignment == m_context.state->assignments.end() ? nullptr : assignment->second.get();
}

/** \returns the server that may get requests for the request's key now, or null. */
const ServerRecord *ForwardExchange::owner() const
{
    ServerDemand demand;
    demand.service = m_service;
    if (m_isDividedByKey)
        demand.key = m_terms.key;
    return m_context.picker.owner(*m_context.state, demand, io::hostNow());
}

/** \returns whether the owner of the request's key reports room for requests. */
bool ForwardExchange::hasOwnerRoom() const
{
    const ServerRecord *server = m_context.state ? owner() : nullptr;
    return server && m_context.gauges.roomIn(*server, io::hostNow()) == Duration::zero();
}

/** \returns a hash of the request's ID: evenly distributed, and the same for each attempt. */
std::uint64_t ForwardExchange::hash() const
{
    return XXH3_64bits(m_terms.id.data(), m_terms.id.size());
}

/** \returns a function that tells, at any later time, whether the caller still waits. */
std::function<bool()> ForwardExchange::openCallerCheck() const
{
    // A kept connection to a server may hold the function for longer than the request lives.
    return [weak = std::weak_ptr<const io::IncomingRequest>{m_request}] {
        const auto request = weak.lock();
        return request && !request->hasCallerClosed();
    };
}

/** \returns the caller's address without its port. */
std::string_view ForwardExchange::caller() const
{
    const std::string_view address = m_request->remoteAddress();
    return address.substr(0, address.rfind(':'));
}

Duration ForwardExchange::elapsed() const
{
    return io::hostNow() - m_startedAt;
}

Duration ForwardExchange::timeLeft() const
{
    return std::max(Duration::zero(), m_answerBy - io::hostNow());
}

} // namespace bulrush

#include "forwardexchange.h"

#include "connection/httpfield.h"
#include "connection/httpstatus.h"
#include "connection/transporterror.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace bulrush {

namespace {

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int misdirected = 421;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr int firstServerError = 500;

/** For requests that don't say how long their callers wait. */
constexpr Duration defaultDeadline = std::chrono::seconds{10};
/** Before a request goes to an owner again that did not hold its key yet. */
constexpr Duration misdirectedDelay = std::chrono::milliseconds{60};
/** Before a request goes to a server again after a refusal, or to another one. */
constexpr Duration refusedDelay = std::chrono::milliseconds{20};
/** Attempts that did not run, after which a request is refused. */
constexpr int mostAttempts = 6;
/** Refused callers come back after this time at the least, and spread over as much again. */
constexpr double leastRetryAfter = 0.25;
constexpr double retryAfterSpread = 0.5;
/** Backend servers get this much less time than is left, so that their answers still come in. */
constexpr Duration answerTravel = std::chrono::milliseconds{4};
/** Characters of a request's path and query that a log line gives at most. */
constexpr std::size_t loggedPath = 80;
/** Why a request is refused while another copy shows whether it is to blame. */
constexpr std::string_view mayCrash = "may-crash-servers";

std::string retryAfter(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(hash % steps) / steps;
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", leastRetryAfter + retryAfterSpread * part);
    return text.data();
}

} // namespace

ForwardExchange::ForwardExchange(ForwardContext &context,
                                 std::shared_ptr<io::IncomingRequest> request,
                                 std::shared_ptr<io::ResponseWriter> writer)
    : m_context(context)
    , m_request(std::move(request))
    , m_writer(std::move(writer))
    , m_startedAt(io::hostNow())
{ }

void ForwardExchange::start()
{
    m_context.counters.add(EntryCounter::RequestsTaken);
    m_terms = platform::requestTerms(m_request->head().headers);
    m_ticket = m_context.nextTicket++;
    m_context.open.emplace(m_ticket, shared_from_this());
    m_request->setGoneHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerGone();
    });
    if (!resolve())
        return;
    m_timeout = m_context.timers.after(left(), [weak = weak_from_this()](Instant) {
        if (const auto self = weak.lock())
            self->timedOut();
    });
    readBody();
}

/** Finds the route and what follows from it. \returns false if the request was answered instead. */
bool ForwardExchange::resolve()
{
    m_routes = m_context.state ? m_context.state->routes : nullptr;
    if (!m_routes || m_context.isRefusing) {
        refuseNotRun(m_routes ? "shutting-down" : "no-configuration");
        return false;
    }
    if (m_terms.id.empty()) {
        reject(badRequest, "no-request-id");
        return false;
    }
    const io::HttpHeader *host = io::findField(m_request->head().headers, "Host");
    m_route = m_routes->find(host ? host->value : std::string{}, m_request->head().target);
    if (!m_route) {
        // The route may have been added since: that the request did not run is all that is known.
        if (m_context.isConfigInDoubt(m_startedAt))
            refuseNotRun("configuration-in-doubt");
        else
            reject(notFound, "no-route");
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
    m_context.retries.recordFirstAttempt(m_service);
    return !m_isDividedByKey || admitKey();
}

/** Counts a request for a key. \returns false if it was refused, as its owner can't serve all. */
bool ForwardExchange::admitKey()
{
    m_context.askedKeys[m_service].push_back(*m_terms.key);
    if (m_context.keyGate.admits(m_service, *m_terms.key, hash(), m_startedAt))
        return true;
    refuseNotRun("key-too-hot");
    return false;
}

void ForwardExchange::readBody()
{
    if (m_isOver)
        return;
    if (m_request->isBodyWhole()) {
        *m_body = m_request->body();
        noteFingerprint();
        enqueue(m_startedAt);
        return;
    }
    m_request->readBody(
        [self = shared_from_this()](std::error_code error, const std::string &bytes) {
            if (self->m_isOver)
                return;
            if (error) {
                self->callerGone();
                return;
            }
            if (!bytes.empty()) {
                self->m_body->append(bytes);
                self->readBody();
                return;
            }
            self->noteFingerprint();
            self->enqueue(io::hostNow());
        });
}

void ForwardExchange::noteFingerprint()
{
    const io::RequestHead &head = m_request->head();
    const io::HttpHeader *host = io::findField(head.headers, "Host");
    m_fingerprint = RequestFingerprint{
        {head.method, host ? std::string_view{host->value} : "", head.target, *m_body}};
}

/** \returns whether the request was refused, as it crashes servers, or others find out if it does.
 */
bool ForwardExchange::refuseIfHeldBack()
{
    if (!m_fingerprint)
        return false;
    const RequestPassage passage = m_context.passage(*m_fingerprint);
    if (passage != RequestPassage::Blocked && passage != RequestPassage::LeftToOthers)
        return false;
    m_context.counters.add(EntryCounter::RefusedCrashing);
    if (passage == RequestPassage::Blocked)
        refuseNotRun("crashes-servers", ComeBack::Never);
    else
        refuseNotRun(mayCrash);
    return true;
}

/** \returns whether the request may be sent: it is no suspect, or no copy of it is at a server. */
bool ForwardExchange::beginTrial()
{
    if (m_context.passage(*m_fingerprint) == RequestPassage::Free)
        return true;
    m_isTrial = m_context.trials.insert(*m_fingerprint).second;
    return m_isTrial;
}

void ForwardExchange::endTrial()
{
    if (std::exchange(m_isTrial, false))
        m_context.trials.erase(*m_fingerprint);
}

void ForwardExchange::quarantineChanged()
{
    if (!m_isOver && !m_call)
        refuseIfHeldBack();
}

void ForwardExchange::enqueue(Instant notBefore)
{
    if (refuseIfHeldBack())
        return;
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
    m_context.queue.add(std::move(waiting));
    m_context.dispatchSoon();
}

void ForwardExchange::sendTo(const ServerRecord &server)
{
    if (!beginTrial()) {
        m_context.counters.add(EntryCounter::RefusedCrashing);
        asio::post(m_context.loop, [self = shared_from_this()] { self->refuse(mayCrash); });
        return;
    }
    m_sentAt = io::hostNow();
    m_server = server.id;
    ++m_attempts;
    const auto endedBefore = m_context.quarantine->endedUnder(*m_fingerprint);
    m_endedBefore.assign(endedBefore.begin(), endedBefore.end());
    m_context.counters.add(EntryCounter::AttemptsSent);
    if (m_attempts > 1)
        m_context.counters.add(EntryCounter::AttemptsRepeated);
    m_context.gauges.attemptStarted(server.id, m_sentAt);

    io::ServerCall call;
    call.server = server.address;
    call.run = server.id.value();
    call.method = m_request->head().method;
    call.target = m_request->head().target;
    call.headers =
        platform::forwardedFields(m_request->head().headers, server.id, left() - answerTravel);
    call.body = m_body;
    call.timeout = left() + std::chrono::seconds{1};
    call.sendBy = std::min(m_answerBy - RequestQueue::leastServiceTime, noteChoice());
    call.echoedField = platform::requestIdField;
    m_call = m_context.servers.send(
        std::move(call),
        [self = shared_from_this()](const io::HttpResult &result) { self->attemptEnded(result); });
}

/** Notes by what the server was chosen. \returns until when the request may be sent to it. */
Instant ForwardExchange::noteChoice()
{
    m_knowledgeAge = m_context.picker.knowledgeAge(m_sentAt);
    m_context.counters.recordKnowledgeAge(m_knowledgeAge);
    m_isChoiceLogged = m_knowledgeAge >= m_context.picker.budget().confirmAfter();
    m_drainsAfter.reset();
    const KnownServer *server = m_context.state->server(m_service, m_server);
    if (!server)
        return Instant::max();
    m_drainsAfter = server->drainsAfter;
    m_isChoiceLogged = m_isChoiceLogged || m_drainsAfter;
    return m_context.picker.lastSend(*server);
}

/** Tells when a request to a server that may have left took each step on its way. */
void ForwardExchange::logSteps(const io::CallTimes &times)
{
    if (!std::exchange(m_isChoiceLogged, false))
        return;
    const auto sinceChoice = [this](const std::optional<Instant> &step) {
        return step ? io::millisecondsText(*step - m_sentAt) : "never";
    };
    const std::string drains =
        m_drainsAfter ? io::millisecondsText(m_sentAt - *m_drainsAfter) : "unknown";
    io::logEvent(LogLevel::Info, "sent-to-leaving",
                 {{"request", m_terms.id},
                  {"server", m_server.value()},
                  {"drains-ms-at-most", drains},
                  {"knowledge-ms", io::millisecondsText(m_knowledgeAge)},
                  {"connected-ms", sinceChoice(times.connectedAt)},
                  {"written-ms", sinceChoice(times.writtenAt)}});
}

void ForwardExchange::attemptEnded(const io::HttpResult &result)
{
    m_call.reset();
    endTrial();
    logSteps(result.times);
    if (m_isOver)
        return;
    m_context.dispatchSoon();
    if (result.error)
        broke(result);
    else
        answered(result);
}

void ForwardExchange::answered(const io::HttpResult &result)
{
    const Instant now = io::hostNow();
    const io::HttpResponse &response = result.response;
    const platform::AnswerTerms terms =
        platform::answerTerms(response.status, response.headers, m_server);
    const bool isFailure = response.status >= firstServerError && !terms.isNotRun;
    const AttemptSign sign = terms.isNotRun ? AttemptSign::NotRun
        : isFailure                         ? AttemptSign::Failed
                                            : AttemptSign::Served;
    m_context.gauges.attemptEnded(m_server, sign, now - m_sentAt,
                                  platform::serverLoad(response.headers), now);

    if (terms.isNotRun) {
        m_context.counters.add(EntryCounter::AttemptsNotRun);
        const bool isKeyMissing = response.status == misdirected;
        if (terms.isReplaced) {
            m_context.endedServers[m_service].insert(m_server);
            m_context.serverEnded(m_server, "replaced");
        }
        if (!m_isDividedByKey)
            m_tried.push_back(m_server);
        if (retryLater(isKeyMissing ? misdirectedDelay : refusedDelay))
            return;
        refuseNotRun(isKeyMissing ? "server-has-not-the-key" : "server-refused");
        return;
    }
    m_context.crashes.serverAnswered(m_server);
    m_context.answered.note(*m_fingerprint, now);
    if (!m_context.quarantine->endedUnder(*m_fingerprint).empty())
        m_context.crashHandlers.answered(*m_fingerprint);
    // An encoded body was not asked for, so it is not what the server meant to send.
    const bool isGarbled = io::findField(response.headers, "Content-Encoding") != nullptr;
    if (isGarbled || isFailure) {
        if (!isGarbled)
            m_failure = response;
        if (repeatElsewhere())
            return;
    }
    if (isGarbled)
        endUnknown(badGateway, "answer-encoded");
    else
        returnAnswer(response);
}

void ForwardExchange::broke(const io::HttpResult &result)
{
    const Instant now = io::hostNow();
    const bool isUnsent = result.stage == io::TransferStage::NotConnected;
    m_context.gauges.attemptEnded(m_server, isUnsent ? AttemptSign::Unreached : AttemptSign::Silent,
                                  now - m_sentAt, std::nullopt, now);
    io::logEvent(LogLevel::Info, "attempt-broke",
                 {{"request", m_terms.id},
                  {"fingerprint", m_fingerprint->toString()},
                  {"path", m_request->head().target.substr(0, loggedPath)},
                  {"server", m_server.value()},
                  {"sent", isUnsent ? "no" : "yes"},
                  {"after-ms", io::millisecondsText(now - m_sentAt)},
                  {"error", result.error.message()}});
    if (isUnsent) {
        if (!m_isDividedByKey)
            m_tried.push_back(m_server);
        if (retryLater(refusedDelay))
            return;
        refuseNotRun("server-unreachable");
        return;
    }
    noteLoss(CrashWatch::Loss::Broke);
    if (!repeatElsewhere())
        endUnknown(badGateway, "answer-lost");
}

/** Queues a request again that may have run. \returns false if it is not to be sent any more. */
bool ForwardExchange::repeatElsewhere()
{
    m_context.counters.add(EntryCounter::AttemptsFailed);
    m_mayHaveRun = true;
    const bool mayRepeat = m_route->kind == RequestKind::Idempotent
        && static_cast<std::uint32_t>(m_attempts) < m_route->maxAttempts;
    if (!mayRepeat)
        return false;
    // Another server ended under the request before: this daemon does not send it to a third.
    if (!m_endedBefore.empty())
        return false;
    m_tried.push_back(m_server);
    return retryLater(Duration::zero());
}

/** Notes that the server, which had the request, gave no answer: it may have ended by it. */
void ForwardExchange::noteLoss(CrashWatch::Loss loss)
{
    const auto report =
        m_context.crashes.lost({*m_fingerprint, m_server, m_endedBefore}, loss, io::hostNow());
    if (report)
        m_context.crashHandlers.reported({*report});
}

/** Queues the request again. \returns false if it is not to be sent any more. */
bool ForwardExchange::retryLater(Duration delay)
{
    const Instant now = io::hostNow();
    if (m_attempts >= mostAttempts || now + delay + RequestQueue::leastServiceTime >= m_answerBy)
        return false;
    const RequestClass requestClass =
        m_route->priority == 0 ? RequestClass::Priority : RequestClass::Ordinary;
    if (!m_context.retries.takeRetry(m_service, requestClass))
        return false;
    enqueue(now + delay);
    return true;
}

void ForwardExchange::returnAnswer(const io::HttpResponse &response)
{
    m_context.counters.add(EntryCounter::AnswersReturned);
    m_context.counters.recordLatency(elapsed());
    log("answered", response.status, "server");
    m_writer->send({response.status, platform::returnedFields(response.headers), response.body});
    finish();
}

void ForwardExchange::refuse(std::string_view reason)
{
    if (m_isOver)
        return;
    if (m_mayHaveRun)
        endUnknown(gatewayTimeout, reason);
    else
        refuseNotRun(reason);
}

void ForwardExchange::refuseNotRun(std::string_view reason, ComeBack comeBack)
{
    if (m_mayHaveRun) {
        endUnknown(badGateway, reason);
        return;
    }
    m_context.counters.add(EntryCounter::RefusedNotRun);
    log("not-run", serviceUnavailable, reason);
    io::HttpResponse response = io::refusal(serviceUnavailable);
    std::erase_if(response.headers, [](const io::HttpHeader &header) {
        return io::isSameField(header.name, "Retry-After");
    });
    if (comeBack == ComeBack::Soon)
        response.headers.push_back({"Retry-After", retryAfter(hash())});
    m_writer->send(response);
    finish();
}

void ForwardExchange::endUnknown(int status, std::string_view reason)
{
    // A server's own word on what became of the request is better than none.
    if (m_failure) {
        returnAnswer(*std::exchange(m_failure, std::nullopt));
        return;
    }
    m_context.counters.add(EntryCounter::EndedUnknown);
    log("unknown", status, reason);
    m_writer->send(io::refusal(status));
    finish();
}

void ForwardExchange::reject(int status, std::string_view reason)
{
    m_context.counters.add(EntryCounter::Rejected);
    log("rejected", status, reason);
    m_writer->send(io::refusal(status));
    finish();
}

void ForwardExchange::callerGone()
{
    if (m_isOver)
        return;
    m_context.counters.add(EntryCounter::CallersGone);
    log("caller-gone", 0, m_call ? "at-server" : "waiting");
    finish();
}

void ForwardExchange::timedOut()
{
    m_timeout.reset();
    if (m_isOver)
        return;
    if (m_call && m_context.servers.isSent(*m_call))
        m_mayHaveRun = true;
    refuse("time-is-up");
}

void ForwardExchange::finish()
{
    if (std::exchange(m_isOver, true))
        return;
    if (m_timeout)
        m_context.timers.cancel(*m_timeout);
    if (m_call) {
        const Instant now = io::hostNow();
        logSteps(m_context.servers.times(*m_call));
        if (m_context.servers.isSent(*m_call))
            noteLoss(CrashWatch::Loss::Abandoned);
        m_context.servers.cancel(*m_call);
        m_context.gauges.attemptEnded(m_server, AttemptSign::Abandoned, now - m_sentAt,
                                      std::nullopt, now);
        m_call.reset();
        m_context.dispatchSoon();
    }
    endTrial();
    m_context.queue.remove(m_ticket);
    m_writer.reset();
    // The caller of this function may hold nothing else of this object.
    asio::post(m_context.loop, [self = shared_from_this()] {});
    m_context.open.erase(m_ticket);
}

void ForwardExchange::log(std::string_view outcome, int status, std::string_view reason) const
{
    const std::uint64_t version = m_routes ? m_routes->config().version : 0;
    const KeyAssignment *assignment = currentAssignment();
    const OwnedRange *owned = assignment ? assignment->find(*m_terms.key) : nullptr;
    io::logEvent(LogLevel::Info, "request",
                 {{"id", m_terms.id},
                  {"outcome", std::string{outcome}},
                  {"status", std::to_string(status)},
                  {"reason", std::string{reason}},
                  {"route", m_route ? m_route->name : "none"},
                  {"service", m_service.value()},
                  {"fingerprint", m_fingerprint ? m_fingerprint->toString() : "none"},
                  {"caller", std::string{caller()}},
                  {"key", m_terms.key ? std::to_string(*m_terms.key) : "none"},
                  {"owner", owned ? owned->owner.value() : ""},
                  {"moving", owned && owned->isMoving() ? "yes" : "no"},
                  {"assignment", std::to_string(assignment ? assignment->sequence : 0)},
                  {"server", m_server.value()},
                  {"attempts", std::to_string(m_attempts)},
                  {"ms", io::millisecondsText(elapsed())},
                  {"left-ms", io::millisecondsText(left())},
                  {"config", std::to_string(version)}});
}

/** \returns the assignment that the request's key is looked up in, or null. */
const KeyAssignment *ForwardExchange::currentAssignment() const
{
    if (!m_isDividedByKey || !m_terms.key || !m_context.state)
        return nullptr;
    const auto assignment = m_context.state->assignments.find(m_service);
    return assignment == m_context.state->assignments.end() ? nullptr : assignment->second.get();
}

/** \returns a number that is spread evenly over requests and alike each time for one. */
std::uint64_t ForwardExchange::hash() const
{
    return XXH3_64bits(m_terms.id.data(), m_terms.id.size());
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

Duration ForwardExchange::left() const
{
    return std::max(Duration::zero(), m_answerBy - io::hostNow());
}

} // namespace bulrush

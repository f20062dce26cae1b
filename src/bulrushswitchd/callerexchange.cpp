#include "callerexchange.h"

#include "connection/httpfield.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/looptimers.h"
#include "process/retrybudget.h"
#include "request/retrypolicy.h"
#include "trafficcontext.h"

#include <atomic>
#include <utility>

namespace bulrush {

namespace {

const char *const organisationHeader = "X-Bulrush-Organisation";
const char *const idempotencyKeyHeader = "Idempotency-Key";

constexpr std::size_t maxKeyBytes = 1024;

/** Delay before a retry; gives a key whose owner cannot serve it time to get another one. */
constexpr Duration ownerRetryDelay = std::chrono::milliseconds{20};

/** Maximum size of an answer that is stored for a repeated request. */
constexpr std::size_t maxStoredAnswerBytes = 16384;

/** Maximum number of attempts while waiting for an owner; they put no load on servers. */
constexpr int maxOwnerWaitAttempts = 250;

std::string_view headerValue(const io::RequestHead &head, std::string_view name)
{
    const io::HttpHeader *field = io::findField(head.headers, name);
    return field ? std::string_view{field->value} : std::string_view{};
}

std::variant<std::string, Rejection>
extractKey(const KeySource &source, const io::RequestHead &head, const PathSegments &path)
{
    if (std::holds_alternative<NoKey>(source))
        return std::string{};

    std::string key;
    std::string place;
    if (const auto *header = std::get_if<KeyFromHeader>(&source)) {
        key = headerValue(head, header->name);
        place = "header " + header->name;
    } else {
        const std::size_t segment = std::get<KeyFromPath>(source).segment;
        if (segment < path.size())
            key = path[segment];
        place = "segment " + std::to_string(segment) + " of the path";
    }
    if (key.empty())
        return Rejection{400, place + ": the key is missing; send it there"};
    if (key.size() > maxKeyBytes)
        return Rejection{400, place + ": the key is longer than 1024 bytes; send a shorter one"};
    return key;
}

std::string missingContractHint(const RoutingView &view)
{
    return view.contracts().empty() ? "no contract is in force yet"
                                    : "name an organisation that has a contract";
}

io::HttpResponse textResponse(int status, std::string text)
{
    io::HttpResponse response;
    response.status = status;
    response.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
    response.body = std::move(text) + "\n";
    return response;
}

std::string storedAnswerOf(const AttemptResult &result)
{
    Json::Value json{Json::objectValue};
    json["status"] = result.status;
    json["contentType"] = result.contentType;
    json["body"] = result.capturedBody;
    return io::toCompactJson(json);
}

ServiceOutcome serviceOutcomeOf(const Outcome &outcome, int status)
{
    constexpr int firstCallerError = 400;
    constexpr int firstServerError = 500;
    if (std::holds_alternative<NotRun>(outcome))
        return ServiceOutcome::NotRun;
    if (std::holds_alternative<Unknown>(outcome) || status >= firstServerError)
        return ServiceOutcome::Unknown;
    return status >= firstCallerError ? ServiceOutcome::CallerError : ServiceOutcome::Answered;
}

bool mayWaitForOwner(FailurePoint point)
{
    return point == FailurePoint::NoRoutingLease || point == FailurePoint::NoServer
        || point == FailurePoint::ServerNotOwner || point == FailurePoint::ServerFence
        || point == FailurePoint::ConnectRefused || point == FailurePoint::ServerSuspected;
}

} // namespace

std::variant<ResolvedRequest, Rejection>
resolveRequest(const RoutingView &view, const io::RequestHead &head, std::uint64_t bodyLength)
{
    const auto path = splitPath(head.target);
    if (!path)
        return Rejection{400,
                         "path: not absolute, or with an escape or dot segment that servers "
                         "may read in two ways; send it plain"};

    const std::string_view organisation = headerValue(head, organisationHeader);
    ResolvedRequest resolved;
    resolved.contract = organisation.empty()
        ? view.onlyContract()
        : view.contract(OrganisationName{std::string{organisation}});
    if (!resolved.contract)
        return Rejection{403,
                         std::string{organisationHeader} + ": no such organisation; "
                             + missingContractHint(view)};

    resolved.operation = operationFor(*resolved.contract, head.method, *path);
    if (!resolved.operation)
        return Rejection{404,
                         "method and path: the contract of "
                             + resolved.contract->organisation.value() + " has no operation "
                             + head.method + " " + std::string{head.target.substr(0, 200)}};
    if (bodyLength > resolved.operation->maxBodyBytes)
        return Rejection{413,
                         "body: longer than the " + std::to_string(resolved.operation->maxBodyBytes)
                             + " bytes that the contract allows for "
                             + resolved.operation->name.value()};

    auto key = extractKey(resolved.operation->key, head, *path);
    if (auto *rejection = std::get_if<Rejection>(&key))
        return std::move(*rejection);
    resolved.key = std::get<std::string>(std::move(key));
    resolved.idempotencyKey = headerValue(head, idempotencyKeyHeader);
    if (resolved.idempotencyKey.size() > maxKeyBytes)
        return Rejection{400, std::string{idempotencyKeyHeader} + ": longer than 1024 bytes"};
    return resolved;
}

CallerExchange::CallerExchange(TrafficContext &context, CallerStreams caller)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_view(context.view.view())
{
    ++m_context.openRequests;
}

CallerExchange::~CallerExchange()
{
    --m_context.openRequests;
}

void CallerExchange::start()
{
    auto resolved =
        resolveRequest(*m_view, m_caller.request->head(), m_caller.request->bodyLength());
    if (const auto *rejection = std::get_if<Rejection>(&resolved)) {
        reject(*rejection);
        return;
    }
    m_resolved = std::get<ResolvedRequest>(std::move(resolved));
    m_context.counters.add(Counter::RequestsAccepted);

    const Operation &operation = *m_resolved.operation;
    m_policy.requestClass = operation.operationClass == OperationClass::Priority
        ? RequestClass::Priority
        : RequestClass::Ordinary;
    m_policy.isIdempotent = operation.isRepeatable;
    m_startedAt = io::hostNow();
    m_policy.deadline = m_startedAt + operation.deadline;
    static std::atomic<std::uint64_t> lastRequest{0};
    m_id = m_context.self.incarnation.value() + "/" + std::to_string(++lastRequest);

    if (m_context.isRefusing) {
        refuse(FailurePoint::DaemonDraining, std::chrono::seconds{1});
        return;
    }
    if (!admitByLimits())
        return;
    m_context.retries.recordFirstAttempt();
    if (needsClaim())
        claim();
    else
        attempt();
}

bool CallerExchange::admitByLimits()
{
    auto admission = m_context.limits.admit(m_resolved.contract->organisation, m_startedAt);
    if (auto *ticket = std::get_if<LimitTicket>(&admission)) {
        m_ticket.emplace(std::move(*ticket));
        return true;
    }
    const auto &refusal = std::get<LimitRefusal>(admission);
    m_context.counters.add(refusal.reason == FailurePoint::RateLimited ? Counter::RateLimited
                                                                       : Counter::RequestsShed);
    refuse(refusal.reason, refusal.retryAfter);
    return false;
}

bool CallerExchange::needsClaim() const
{
    return !m_policy.isIdempotent && !m_resolved.idempotencyKey.empty();
}

void CallerExchange::claim()
{
    watchCaller();
    ClaimRequest request;
    request.self = m_context.self.incarnation;
    request.attempt = AttemptId{m_id};
    request.lastDispatch = m_policy.deadline;
    m_claim = m_context.claims.claim(m_resolved.contract->organisation.value() + "/"
                                         + m_resolved.idempotencyKey,
                                     std::move(request), m_context.loop,
                                     [self = shared_from_this()](const ClaimVerdict &verdict) {
                                         self->handleClaimVerdict(verdict);
                                     });
    m_context.timers.after(m_resolved.operation->deadline, [weak = weak_from_this()](Instant) {
        const auto self = weak.lock();
        if (self && !self->m_isFinished && self->m_attemptCount == 0)
            self->m_context.claims.cancel(self->m_claim);
    });
}

void CallerExchange::handleClaimVerdict(const ClaimVerdict &verdict)
{
    if (const auto *refused = std::get_if<AnswerCaller>(&verdict)) {
        m_claim = 0;
        if (!m_isFinished)
            conclude(refused->outcome, {});
        return;
    }
    if (const auto *stored = std::get_if<AnswerStored>(&verdict)) {
        m_claim = 0;
        if (!m_isFinished)
            answerStored(stored->storedAnswer);
        return;
    }
    if (m_isFinished) // the caller has disconnected before anything was sent
        m_context.claims.complete(m_claim, outcomeOf(FailurePoint::NothingWritten, {}), {});
    else
        attempt();
}

void CallerExchange::answerStored(const std::string &storedAnswer)
{
    const Json::Value stored = io::parseJson(storedAnswer);
    io::JsonReader reader{stored};
    io::HttpResponse answer;
    answer.status = static_cast<int>(reader.number("status"));
    answer.body = reader.text("body");
    const std::string contentType = reader.text("contentType");
    if (!contentType.empty())
        answer.headers.push_back({"Content-Type", contentType});
    answer.headers.push_back({"X-Bulrush-Repeated", "yes"});
    m_isFinished = true;
    m_context.counters.add(Counter::RequestsCompleted);
    recordServiceLevel(CompleteAnswer{}, answer.status);
    m_caller.writer->send(answer);
}

void CallerExchange::watchCaller()
{
    m_caller.request->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handleDisconnect();
    });
}

void CallerExchange::reject(const Rejection &rejection)
{
    m_isFinished = true;
    m_context.counters.add(Counter::RequestsRejected);
    m_caller.writer->send(textResponse(rejection.status, rejection.problem));
}

void CallerExchange::attempt()
{
    m_view = m_context.view.view();
    watchCaller();
    if (io::hostNow() >= m_policy.deadline) {
        refuse(FailurePoint::DeadlineBeforeDispatch, std::chrono::seconds{1});
        return;
    }
    auto spec = nextAttemptSpec();
    if (!spec) {
        AttemptResult result;
        result.failure = FailurePoint::NoServer;
        handleAttemptResult(result);
        return;
    }
    send(*std::move(spec));
}

std::optional<AttemptSpec> CallerExchange::nextAttemptSpec()
{
    const ServiceTerms *terms = serviceTerms(*m_resolved.contract, m_resolved.operation->service);
    return terms && terms->isDividedByKey ? keyedAttemptSpec() : unkeyedAttemptSpec();
}

std::optional<AttemptSpec> CallerExchange::keyedAttemptSpec()
{
    const KeyHash hash = hashOfKey(m_resolved.key);
    const auto route = m_view->routeOf(m_resolved.operation->service, hash);
    if (!route || !route->server || route->manager.isEmpty())
        return std::nullopt;

    AttemptSpec spec = makeAttemptSpec(*route->server);
    spec.keyRouting = KeyRouting{route->domain, m_resolved.key, hash, route->assignmentVersion};
    return spec;
}

std::optional<AttemptSpec> CallerExchange::unkeyedAttemptSpec()
{
    const auto servers = m_view->serversOf(m_resolved.operation->service, m_context.self.domain);
    // Selects the servers in turn, without those that have no manager or are lost.
    const BackendServer *best = nullptr;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const BackendServer *server = servers[(i + m_serverOffset) % servers.size()];
        const Incarnation manager = m_view->managerOf(server->name);
        if (manager.isEmpty() || m_context.serverStatuses.status(server->name).isLost)
            continue;
        best = server;
        break;
    }
    ++m_serverOffset;
    if (!best)
        return std::nullopt;
    return makeAttemptSpec(*best);
}

AttemptSpec CallerExchange::makeAttemptSpec(const BackendServer &server) const
{
    AttemptSpec spec;
    spec.server = &server;
    spec.policy = m_policy;
    spec.requestId = m_id + "/" + std::to_string(m_attemptCount);
    spec.idempotencyKey = m_resolved.idempotencyKey;
    spec.captureLimit = m_claim == 0 ? 0 : maxStoredAnswerBytes;
    return spec;
}

void CallerExchange::send(AttemptSpec spec)
{
    ++m_attemptCount;
    const auto handler = [self = shared_from_this()](const AttemptResult &result) {
        self->handleAttemptResult(result);
    };
    const Incarnation manager = m_view->managerOf(spec.server->name);
    if (manager == m_context.self.incarnation) {
        auto attempt =
            std::make_shared<ServerAttempt>(m_context, m_caller, std::move(spec), handler);
        m_attempt = attempt;
        attempt->start();
        return;
    }
    const PeerRoute *peer = m_view->peer(manager);
    if (!peer) {
        AttemptResult result;
        result.failure = FailurePoint::NoServer;
        handleAttemptResult(result);
        return;
    }
    auto attempt =
        std::make_shared<RelayAttempt>(m_context, m_caller, std::move(spec), *peer, handler);
    m_attempt = attempt;
    attempt->start();
}

void CallerExchange::handleAttemptResult(const AttemptResult &result)
{
    m_attempt = std::monostate{};
    if (m_isFinished)
        return;
    if (!result.failure) {
        conclude(CompleteAnswer{}, result);
        return;
    }
    if (mayRetry(result)) {
        m_context.counters.add(Counter::AttemptsRetried);
        scheduleRetry();
        return;
    }
    conclude(outcomeOf(*result.failure, result.retryAfter), result);
}

bool CallerExchange::mayRetry(const AttemptResult &result)
{
    const Instant now = io::hostNow();
    const bool isIntact = result.isBodyResendable && !result.hasBegunAnswer;
    // Waiting for the key's next owner sends no request, so it does not use the retry budget.
    if (isIntact && mayWaitForOwner(*result.failure) && isCertainlyNotRun(*result.failure))
        return m_attemptCount < maxOwnerWaitAttempts && now + ownerRetryDelay < m_policy.deadline;

    FailedAttempt failed;
    failed.point = *result.failure;
    failed.attemptCount = m_attemptCount;
    failed.hasAnswerBegun = result.hasBegunAnswer;
    failed.isBodyReplayable = result.isBodyResendable;
    failed.hasOtherServer = m_resolved.key.empty();
    return takeRetry(failed, m_policy, {}, m_context.retries, now);
}

void CallerExchange::scheduleRetry()
{
    m_context.timers.after(ownerRetryDelay,
                           [weak = weak_from_this(), self = shared_from_this()](Instant) {
                               if (!self->m_isFinished)
                                   self->attempt();
                           });
}

void CallerExchange::conclude(const Outcome &outcome, const AttemptResult &result)
{
    m_isFinished = true;
    if (m_claim != 0)
        m_context.claims.complete(m_claim, outcome, storedAnswerOf(result));
    recordServiceLevel(outcome, result.status);
    if (std::holds_alternative<CompleteAnswer>(outcome))
        m_context.counters.add(Counter::RequestsCompleted);
    else if (std::holds_alternative<NotRun>(outcome))
        m_context.counters.add(Counter::RequestsNotRun);
    else
        m_context.counters.add(Counter::RequestsUnknown);

    const CallerResponse response = callerResponse(outcome, result.hasBegunAnswer);
    const auto *refusal = std::get_if<RefusalResponse>(&response);
    if (!refusal || m_caller.writer->isOver())
        return;
    io::HttpResponse answer = textResponse(refusal->status, std::string{refusal->reason});
    answer.headers.push_back({serverfields::ran, std::string{refusal->ran}});
    answer.headers.push_back({serverfields::reason, std::string{refusal->reason}});
    answer.headers.push_back({"Retry-After", std::to_string(refusal->retryAfter.count())});
    m_caller.writer->send(answer);
}

void CallerExchange::recordServiceLevel(const Outcome &outcome, int status) const
{
    const Instant now = io::hostNow();
    m_context.burnRecorder.record(now, m_resolved.contract->organisation,
                                  m_resolved.operation->name, serviceOutcomeOf(outcome, status),
                                  now - m_startedAt);
}

void CallerExchange::refuse(FailurePoint point, Duration retryAfter)
{
    conclude(outcomeOf(point, retryAfter), {});
}

void CallerExchange::handleDisconnect()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_context.counters.add(Counter::CallersGone);
    if (m_claim != 0 && m_attemptCount == 0)
        m_context.claims.cancel(m_claim);
    else if (m_claim != 0)
        m_context.claims.complete(m_claim, outcomeOf(FailurePoint::CancelledAfterWrite, {}), {});
    if (auto *server = std::get_if<std::shared_ptr<ServerAttempt>>(&m_attempt))
        (*server)->abandon();
    else if (auto *relay = std::get_if<std::shared_ptr<RelayAttempt>>(&m_attempt))
        (*relay)->abandon();
    m_attempt = std::monostate{};
}

} // namespace bulrush

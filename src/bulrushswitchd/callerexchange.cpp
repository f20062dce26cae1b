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

const char *const organisationField = "X-Bulrush-Organisation";
const char *const idempotencyField = "Idempotency-Key";

constexpr std::size_t longestKey = 1024;

/** Pause before another attempt that waits for a new owner of the key. */
constexpr Duration ownerWait = std::chrono::milliseconds{20};

/** Longest answer that is kept for a caller that asks again. */
constexpr std::size_t storedAnswerLimit = 16384;

/** Attempts that waited for an owner, and so cost no server anything. */
constexpr int ownerWaitLimit = 250;

std::string_view fieldOf(const io::RequestHead &head, std::string_view name)
{
    const io::HttpHeader *field = io::findField(head.headers, name);
    return field ? std::string_view{field->value} : std::string_view{};
}

std::variant<std::string, Rejection> keyOf(const KeySource &source, const io::RequestHead &head,
                                           const PathSegments &path)
{
    if (std::holds_alternative<NoKey>(source))
        return std::string{};

    std::string key;
    std::string place;
    if (const auto *header = std::get_if<KeyFromHeader>(&source)) {
        key = fieldOf(head, header->name);
        place = "header " + header->name;
    } else {
        const std::size_t segment = std::get<KeyFromPath>(source).segment;
        if (segment < path.size())
            key = path[segment];
        place = "segment " + std::to_string(segment) + " of the path";
    }
    if (key.empty())
        return Rejection{400, place + ": the key is missing; send it there"};
    if (key.size() > longestKey)
        return Rejection{400, place + ": the key is longer than 1024 bytes; send a shorter one"};
    return key;
}

std::string knownOrganisations(const RoutingView &view)
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

std::string storedAnswerOf(const AttemptEnd &end)
{
    Json::Value json{Json::objectValue};
    json["status"] = end.status;
    json["contentType"] = end.contentType;
    json["body"] = end.capturedBody;
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

bool waitsForOwner(FailurePoint point)
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

    const std::string_view organisation = fieldOf(head, organisationField);
    ResolvedRequest resolved;
    resolved.contract = organisation.empty()
        ? view.onlyContract()
        : view.contract(OrganisationName{std::string{organisation}});
    if (!resolved.contract)
        return Rejection{403,
                         std::string{organisationField} + ": no such organisation; "
                             + knownOrganisations(view)};

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

    auto key = keyOf(resolved.operation->key, head, *path);
    if (auto *rejection = std::get_if<Rejection>(&key))
        return std::move(*rejection);
    resolved.key = std::get<std::string>(std::move(key));
    resolved.idempotencyKey = fieldOf(head, idempotencyField);
    if (resolved.idempotencyKey.size() > longestKey)
        return Rejection{400, std::string{idempotencyField} + ": longer than 1024 bytes"};
    return resolved;
}

CallerExchange::CallerExchange(TrafficContext &context, CallerEnds ends)
    : m_context(context)
    , m_ends(std::move(ends))
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
    auto resolved = resolveRequest(*m_view, m_ends.request->head(), m_ends.request->bodyLength());
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
    if (!isWithinLimits())
        return;
    m_context.retries.recordFirstAttempt();
    if (needsClaim())
        claim();
    else
        attempt();
}

bool CallerExchange::isWithinLimits()
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
    m_claim = m_context.claims.claim(
        m_resolved.contract->organisation.value() + "/" + m_resolved.idempotencyKey,
        std::move(request), m_context.loop,
        [self = shared_from_this()](const ClaimVerdict &verdict) { self->claimed(verdict); });
    m_context.timers.after(m_resolved.operation->deadline, [weak = weak_from_this()](Instant) {
        const auto self = weak.lock();
        if (self && !self->m_isOver && self->m_attemptCount == 0)
            self->m_context.claims.giveUp(self->m_claim);
    });
}

void CallerExchange::claimed(const ClaimVerdict &verdict)
{
    if (const auto *refused = std::get_if<AnswerCaller>(&verdict)) {
        m_claim = 0;
        if (!m_isOver)
            conclude(refused->outcome, {});
        return;
    }
    if (const auto *stored = std::get_if<AnswerStored>(&verdict)) {
        m_claim = 0;
        if (!m_isOver)
            answerStored(stored->storedAnswer);
        return;
    }
    if (m_isOver) // the caller has gone, and nothing was sent
        m_context.claims.ended(m_claim, outcomeOf(FailurePoint::NothingWritten, {}), {});
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
    m_isOver = true;
    m_context.counters.add(Counter::RequestsWhole);
    recordBurn(WholeAnswer{}, answer.status);
    m_ends.writer->send(answer);
}

void CallerExchange::watchCaller()
{
    m_ends.request->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerGone();
    });
}

void CallerExchange::reject(const Rejection &rejection)
{
    m_isOver = true;
    m_context.counters.add(Counter::RequestsRejected);
    m_ends.writer->send(textResponse(rejection.status, rejection.problem));
}

void CallerExchange::attempt()
{
    m_view = m_context.view.view();
    watchCaller();
    if (io::hostNow() >= m_policy.deadline) {
        refuse(FailurePoint::DeadlineBeforeDispatch, std::chrono::seconds{1});
        return;
    }
    auto order = nextOrder();
    if (!order) {
        AttemptEnd end;
        end.failure = FailurePoint::NoServer;
        attemptEnded(end);
        return;
    }
    send(*std::move(order));
}

std::optional<WorkOrder> CallerExchange::nextOrder()
{
    const ServiceTerms *terms = serviceTerms(*m_resolved.contract, m_resolved.operation->service);
    return terms && terms->isDividedByKey ? keyedOrder() : unkeyedOrder();
}

std::optional<WorkOrder> CallerExchange::keyedOrder()
{
    const KeyHash hash = hashOfKey(m_resolved.key);
    const auto route = m_view->routeOf(m_resolved.operation->service, hash);
    if (!route || !route->server || route->attendant.isEmpty())
        return std::nullopt;

    WorkOrder order = orderFor(*route->server);
    order.keyed = KeyedWork{route->domain, m_resolved.key, hash, route->routedBy};
    return order;
}

std::optional<WorkOrder> CallerExchange::unkeyedOrder()
{
    const auto servers = m_view->serversOf(m_resolved.operation->service, m_context.self.domain);
    // Of the servers that this daemon attends, the one with the shortest wait; the others in turn.
    const BackendServer *best = nullptr;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const BackendServer *server = servers[(i + m_serverOffset) % servers.size()];
        const Incarnation attendant = m_view->attendantOf(server->name);
        if (attendant.isEmpty() || m_context.board.reading(server->name).isLost)
            continue;
        best = server;
        break;
    }
    ++m_serverOffset;
    if (!best)
        return std::nullopt;
    return orderFor(*best);
}

WorkOrder CallerExchange::orderFor(const BackendServer &server) const
{
    WorkOrder order;
    order.server = &server;
    order.policy = m_policy;
    order.requestId = m_id + "/" + std::to_string(m_attemptCount);
    order.idempotencyKey = m_resolved.idempotencyKey;
    order.captureLimit = m_claim == 0 ? 0 : storedAnswerLimit;
    return order;
}

void CallerExchange::send(WorkOrder order)
{
    ++m_attemptCount;
    const auto handler = [self = shared_from_this()](const AttemptEnd &end) {
        self->attemptEnded(end);
    };
    const Incarnation attendant = m_view->attendantOf(order.server->name);
    if (attendant == m_context.self.incarnation) {
        auto attempt =
            std::make_shared<ServerAttempt>(m_context, m_ends, std::move(order), handler);
        m_attempt = attempt;
        attempt->start();
        return;
    }
    const PeerRoute *peer = m_view->peer(attendant);
    if (!peer) {
        AttemptEnd end;
        end.failure = FailurePoint::NoServer;
        attemptEnded(end);
        return;
    }
    auto attempt =
        std::make_shared<RelayAttempt>(m_context, m_ends, std::move(order), *peer, handler);
    m_attempt = attempt;
    attempt->start();
}

void CallerExchange::attemptEnded(const AttemptEnd &end)
{
    m_attempt = std::monostate{};
    if (m_isOver)
        return;
    if (!end.failure) {
        conclude(WholeAnswer{}, end);
        return;
    }
    if (mayRetry(end)) {
        m_context.counters.add(Counter::AttemptsRetried);
        retryLater();
        return;
    }
    conclude(outcomeOf(*end.failure, end.retryAfter), end);
}

bool CallerExchange::mayRetry(const AttemptEnd &end)
{
    const Instant now = io::hostNow();
    const bool isIntact = end.isBodyResendable && !end.hasBegunAnswer;
    // Waiting for the key's next owner sends nothing, so the budget has no part in it.
    if (isIntact && waitsForOwner(*end.failure) && isCertainlyNotRun(*end.failure))
        return m_attemptCount < ownerWaitLimit && now + ownerWait < m_policy.deadline;

    FailedAttempt failed;
    failed.point = *end.failure;
    failed.attemptCount = m_attemptCount;
    failed.hasAnswerBegun = end.hasBegunAnswer;
    failed.isBodyReplayable = end.isBodyResendable;
    failed.hasOtherServer = m_resolved.key.empty();
    return takeRetry(failed, m_policy, {}, m_context.retries, now);
}

void CallerExchange::retryLater()
{
    m_context.timers.after(ownerWait,
                           [weak = weak_from_this(), self = shared_from_this()](Instant) {
                               if (!self->m_isOver)
                                   self->attempt();
                           });
}

void CallerExchange::conclude(const Outcome &outcome, const AttemptEnd &end)
{
    m_isOver = true;
    if (m_claim != 0)
        m_context.claims.ended(m_claim, outcome, storedAnswerOf(end));
    recordBurn(outcome, end.status);
    if (std::holds_alternative<WholeAnswer>(outcome))
        m_context.counters.add(Counter::RequestsWhole);
    else if (std::holds_alternative<NotRun>(outcome))
        m_context.counters.add(Counter::RequestsNotRun);
    else
        m_context.counters.add(Counter::RequestsUnknown);

    const CallerResponse response = callerResponse(outcome, end.hasBegunAnswer);
    const auto *refusal = std::get_if<RefusalResponse>(&response);
    if (!refusal || m_ends.writer->isOver())
        return;
    io::HttpResponse answer = textResponse(refusal->status, std::string{refusal->reason});
    answer.headers.push_back({serverfields::ran, std::string{refusal->ran}});
    answer.headers.push_back({serverfields::reason, std::string{refusal->reason}});
    answer.headers.push_back({"Retry-After", std::to_string(refusal->retryAfter.count())});
    m_ends.writer->send(answer);
}

void CallerExchange::recordBurn(const Outcome &outcome, int status) const
{
    const Instant now = io::hostNow();
    m_context.burn.record(now, m_resolved.contract->organisation, m_resolved.operation->name,
                          serviceOutcomeOf(outcome, status), now - m_startedAt);
}

void CallerExchange::refuse(FailurePoint point, Duration retryAfter)
{
    conclude(outcomeOf(point, retryAfter), {});
}

void CallerExchange::callerGone()
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_context.counters.add(Counter::CallersGone);
    if (m_claim != 0 && m_attemptCount == 0)
        m_context.claims.giveUp(m_claim);
    else if (m_claim != 0)
        m_context.claims.ended(m_claim, outcomeOf(FailurePoint::CancelledAfterWrite, {}), {});
    if (auto *server = std::get_if<std::shared_ptr<ServerAttempt>>(&m_attempt))
        (*server)->abandon();
    else if (auto *relay = std::get_if<std::shared_ptr<RelayAttempt>>(&m_attempt))
        (*relay)->abandon();
    m_attempt = std::monostate{};
}

} // namespace bulrush

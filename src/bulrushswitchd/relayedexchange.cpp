#include "relayedexchange.h"

#include "connection/httpfield.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "routingview.h"
#include "trafficcontext.h"

#include <charconv>
#include <utility>

namespace bulrush {

namespace {

constexpr int badRequest = 400;

std::string headerValue(const io::RequestHead &head, std::string_view name)
{
    const io::HttpHeader *field = io::findField(head.headers, name);
    return field ? field->value : std::string{};
}

std::optional<Duration> parseTimeout(const std::string &text)
{
    std::int64_t milliseconds = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, milliseconds);
    if (error != std::errc{} || stop != end || milliseconds < 0)
        return std::nullopt;
    return std::chrono::milliseconds{milliseconds};
}

std::optional<KeyRouting> parseKeyRouting(const io::RequestHead &head)
{
    KeyRouting keyRouting;
    keyRouting.domain = DomainName{headerValue(head, relayfields::domain)};
    keyRouting.key = headerValue(head, serverfields::key);
    keyRouting.hash = hashOfKey(keyRouting.key);
    const auto assignmentVersion = parseFence(headerValue(head, relayfields::routedBy));
    if (keyRouting.domain.isEmpty() || !assignmentVersion)
        return std::nullopt;
    keyRouting.assignmentVersion = *assignmentVersion;
    return keyRouting;
}

} // namespace

RelayedExchange::RelayedExchange(TrafficContext &context, CallerStreams caller)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_view(context.view.view())
    , m_requestId(headerValue(m_caller.request->head(), serverfields::request))
{
    ++m_context.openRequests;
}

RelayedExchange::~RelayedExchange()
{
    --m_context.openRequests;
}

void RelayedExchange::start()
{
    auto spec = readAttemptSpec();
    if (!spec) {
        answer(badRequest, "no", "malformed-relay", std::chrono::seconds{1});
        return;
    }
    m_attempt =
        std::make_shared<ServerAttempt>(m_context, m_caller, *std::move(spec),
                                        [self = shared_from_this()](const AttemptResult &result) {
                                            self->handleAttemptResult(result);
                                        });
    m_caller.request->setDisconnectHandler([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_attempt)
            std::exchange(self->m_attempt, nullptr)->abandon();
    });
    m_attempt->start();
}

std::optional<AttemptSpec> RelayedExchange::readAttemptSpec() const
{
    const io::RequestHead &head = m_caller.request->head();
    const auto timeout = parseTimeout(headerValue(head, relayfields::timeout));
    AttemptSpec spec;
    spec.server = m_view->server(ServerName{headerValue(head, relayfields::server)});
    if (!spec.server || !timeout || m_requestId.empty())
        return std::nullopt;

    spec.policy.deadline = io::hostNow() + *timeout;
    spec.policy.isIdempotent = headerValue(head, relayfields::idempotent) == "yes";
    spec.policy.requestClass = headerValue(head, relayfields::priority) == "yes"
        ? RequestClass::Priority
        : RequestClass::Ordinary;
    spec.requestId = m_requestId;
    spec.idempotencyKey = headerValue(head, serverfields::idempotencyKey);
    spec.isRelayed = true;
    if (!headerValue(head, relayfields::domain).empty()) {
        spec.keyRouting = parseKeyRouting(head);
        if (!spec.keyRouting)
            return std::nullopt;
    }
    return spec;
}

void RelayedExchange::handleAttemptResult(const AttemptResult &result)
{
    m_attempt.reset();
    if (!result.failure || m_caller.writer->isOver())
        return;
    const CallerResponse response =
        callerResponse(outcomeOf(*result.failure, result.retryAfter), result.hasBegunAnswer);
    if (const auto *refusal = std::get_if<RefusalResponse>(&response))
        answer(refusal->status, refusal->ran, refusal->reason, refusal->retryAfter);
}

void RelayedExchange::answer(int status, std::string_view ran, std::string_view reason,
                             std::chrono::seconds retryAfter)
{
    io::HttpResponse response;
    response.status = status;
    response.headers = {{serverfields::ran, std::string{ran}},
                        {serverfields::reason, std::string{reason}},
                        {serverfields::request, m_requestId},
                        {"Retry-After", std::to_string(retryAfter.count())}};
    m_caller.writer->send(response);
}

} // namespace bulrush

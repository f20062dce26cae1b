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

std::string fieldOf(const io::RequestHead &head, std::string_view name)
{
    const io::HttpHeader *field = io::findField(head.headers, name);
    return field ? field->value : std::string{};
}

std::optional<Duration> timeoutOf(const std::string &text)
{
    std::int64_t milliseconds = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, milliseconds);
    if (error != std::errc{} || stop != end || milliseconds < 0)
        return std::nullopt;
    return std::chrono::milliseconds{milliseconds};
}

std::optional<KeyedWork> keyedWork(const io::RequestHead &head)
{
    KeyedWork keyed;
    keyed.domain = DomainName{fieldOf(head, relayfields::domain)};
    keyed.key = fieldOf(head, serverfields::key);
    keyed.hash = hashOfKey(keyed.key);
    const auto routedBy = fenceOf(fieldOf(head, relayfields::routedBy));
    if (keyed.domain.isEmpty() || !routedBy)
        return std::nullopt;
    keyed.routedBy = *routedBy;
    return keyed;
}

} // namespace

RelayedExchange::RelayedExchange(TrafficContext &context, CallerEnds ends)
    : m_context(context)
    , m_ends(std::move(ends))
    , m_view(context.view.view())
    , m_requestId(fieldOf(m_ends.request->head(), serverfields::request))
{
    ++m_context.openRequests;
}

RelayedExchange::~RelayedExchange()
{
    --m_context.openRequests;
}

void RelayedExchange::start()
{
    auto order = readOrder();
    if (!order) {
        answer(badRequest, "no", "malformed-relay", std::chrono::seconds{1});
        return;
    }
    m_attempt = std::make_shared<ServerAttempt>(
        m_context, m_ends, *std::move(order),
        [self = shared_from_this()](const AttemptEnd &end) { self->ended(end); });
    m_ends.request->setDisconnectHandler([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_attempt)
            std::exchange(self->m_attempt, nullptr)->abandon();
    });
    m_attempt->start();
}

std::optional<WorkOrder> RelayedExchange::readOrder() const
{
    const io::RequestHead &head = m_ends.request->head();
    const auto timeout = timeoutOf(fieldOf(head, relayfields::timeout));
    WorkOrder order;
    order.server = m_view->server(ServerName{fieldOf(head, relayfields::server)});
    if (!order.server || !timeout || m_requestId.empty())
        return std::nullopt;

    order.policy.deadline = io::hostNow() + *timeout;
    order.policy.isIdempotent = fieldOf(head, relayfields::idempotent) == "yes";
    order.policy.requestClass = fieldOf(head, relayfields::priority) == "yes"
        ? RequestClass::Priority
        : RequestClass::Ordinary;
    order.requestId = m_requestId;
    order.idempotencyKey = fieldOf(head, serverfields::idempotencyKey);
    order.isRelayed = true;
    if (!fieldOf(head, relayfields::domain).empty()) {
        order.keyed = keyedWork(head);
        if (!order.keyed)
            return std::nullopt;
    }
    return order;
}

void RelayedExchange::ended(const AttemptEnd &end)
{
    m_attempt.reset();
    if (!end.failure || m_ends.writer->isOver())
        return;
    const CallerResponse response =
        callerResponse(outcomeOf(*end.failure, end.retryAfter), end.hasBegunAnswer);
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
    m_ends.writer->send(response);
}

} // namespace bulrush

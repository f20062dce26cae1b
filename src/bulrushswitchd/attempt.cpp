#include "attempt.h"

#include "attemptfailure.h"
#include "connection/transporterror.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/serverdeadline.h"
#include "routingview.h"
#include "trafficcontext.h"

#include <asio/post.hpp>

#include <charconv>
#include <utility>

namespace bulrush {

namespace {

std::string inMilliseconds(Duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

FailurePoint failurePointOf(DispatchRefusal refusal)
{
    switch (refusal) {
    case DispatchRefusal::NoLease:
    case DispatchRefusal::Lapsed:
        return FailurePoint::NoRoutingLease;
    case DispatchRefusal::NotManager:
    case DispatchRefusal::Stopping:
    case DispatchRefusal::NotAssigned:
    case DispatchRefusal::UnknownVersion:
        break;
    }
    return FailurePoint::NoServer;
}

/** Classifies the result of an exchange for the server's load accounting. */
WorkResult toWorkEnd(const io::ExchangeResult &end, std::optional<FailurePoint> failure)
{
    if (!failure || failure == FailurePoint::AnswerWithoutRan)
        return WorkResult::Answered;
    switch (*failure) {
    case FailurePoint::ServerShed:
        return WorkResult::Shed;
    case FailurePoint::ServerCold:
        return WorkResult::Cold;
    case FailurePoint::ServerDraining:
        return WorkResult::Draining;
    case FailurePoint::ServerDeadline:
    case FailurePoint::ServerFence:
    case FailurePoint::ServerNotOwner:
    case FailurePoint::ServerNotRunOther:
        return WorkResult::Refused;
    default:
        return end.stage == io::TransferStage::NotConnected ? WorkResult::NotSent
                                                            : WorkResult::Lost;
    }
}

AttemptResult toAttemptResult(const io::ExchangeResult &end)
{
    AttemptResult result;
    result.failure = bulrush::failurePointOf(end);
    result.hasBegunAnswer = end.hasBegunAnswer;
    result.isBodyResendable = end.isBodyResendable;
    result.status = end.status;
    result.capturedBody = end.capturedBody;
    result.contentType = end.contentType;
    return result;
}

void addKeyHeaders(std::vector<io::HttpHeader> &headers, const AttemptSpec &spec)
{
    headers.push_back({serverfields::service, spec.server->service.value()});
    if (spec.keyRouting)
        headers.push_back({serverfields::key, spec.keyRouting->key});
    if (!spec.idempotencyKey.empty())
        headers.push_back({serverfields::idempotencyKey, spec.idempotencyKey});
}

} // namespace

std::string formatFence(const Fence &fence)
{
    return std::to_string(fence.epoch) + '.' + std::to_string(fence.sequence);
}

std::optional<Fence> parseFence(std::string_view text)
{
    Fence fence;
    const char *const end = text.data() + text.size();
    const auto epoch = std::from_chars(text.data(), end, fence.epoch);
    if (epoch.ec != std::errc{} || epoch.ptr == end || *epoch.ptr != '.')
        return std::nullopt;
    const auto sequence = std::from_chars(epoch.ptr + 1, end, fence.sequence);
    if (sequence.ec != std::errc{} || sequence.ptr != end)
        return std::nullopt;
    return fence;
}

ServerAttempt::ServerAttempt(TrafficContext &context, CallerStreams caller, AttemptSpec spec,
                             AttemptHandler handler)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_spec(std::move(spec))
    , m_handler(std::move(handler))
    , m_queue(*context.serverQueues.at(m_spec.server->name))
{ }

void ServerAttempt::start()
{
    const auto self = shared_from_this();
    m_work = m_queue.submit(
        m_spec.policy, !m_caller.request->isBodyBuffered(), m_context.loop,
        [self](const QueueDecision &decision) { self->handleQueueDecision(decision); },
        io::hostNow());
}

void ServerAttempt::abandon()
{
    m_handler = nullptr;
    if (!m_isSent) {
        m_queue.cancel(m_work);
        return;
    }
    m_exchange.reset();
    if (m_flight)
        m_context.gate.abandonFlight(*std::exchange(m_flight, std::nullopt));
    m_queue.complete(m_work, WorkResult::Lost, io::hostNow());
}

void ServerAttempt::handleQueueDecision(const QueueDecision &decision)
{
    if (const auto *refused = std::get_if<RefuseWork>(&decision)) {
        AttemptResult end;
        end.failure = refused->reason;
        end.retryAfter = refused->retryAfter;
        finish(end);
        return;
    }
    if (!m_handler) {
        m_queue.complete(m_work, WorkResult::NotSent, io::hostNow());
        return;
    }
    send();
}

void ServerAttempt::send()
{
    const Instant now = io::hostNow();
    std::optional<FailurePoint> refusal = admitFlight(now);
    const auto proxyTarget = refusal ? std::nullopt : target(now);
    if (!refusal && !proxyTarget)
        refusal = FailurePoint::ServerSuspected;
    if (refusal) {
        if (m_flight)
            m_context.gate.endFlight(*std::exchange(m_flight, std::nullopt));
        m_queue.complete(m_work, WorkResult::NotSent, now);
        AttemptResult end;
        end.failure = refusal;
        finish(end);
        return;
    }

    m_isSent = true;
    m_context.counters.add(Counter::AttemptsSent);
    m_exchange = std::make_shared<io::ProxyExchange>(
        m_context.http, m_caller.request, m_caller.writer, *proxyTarget,
        [self = shared_from_this()](const io::ExchangeResult &end) {
            self->handleExchangeResult(end);
        });
    m_exchange->start();
}

std::optional<FailurePoint> ServerAttempt::admitFlight(Instant now)
{
    if (m_spec.policy.deadline <= now)
        return FailurePoint::DeadlineBeforeDispatch;
    if (!m_spec.keyRouting)
        return std::nullopt;

    const DispatchQuery query{m_spec.server->service, m_spec.keyRouting->hash, m_spec.server->name,
                              m_spec.policy.deadline, m_spec.keyRouting->assignmentVersion};
    const GateDecision decision = m_context.gate.startFlight(m_spec.keyRouting->domain, query, now);
    if (const auto *refusal = std::get_if<DispatchRefusal>(&decision))
        return failurePointOf(*refusal);
    m_flight = std::get<AdmittedFlight>(decision);
    m_context.loads.add(m_spec.keyRouting->domain, query.service, m_spec.keyRouting->hash, now);
    return std::nullopt;
}

std::optional<io::ProxyTarget> ServerAttempt::target(Instant now) const
{
    const ServerStatus status = m_context.serverStatuses.status(m_spec.server->name);
    if (!status.clock)
        return std::nullopt;

    const Instant latestStart =
        m_flight ? m_flight->allowed.latestDeadline : m_spec.policy.deadline;
    const Duration deadline =
        serverDeadline(*status.clock, latestStart, m_context.settings.leases.driftPpm);
    io::ProxyTarget result;
    result.origin = "http://" + toString(m_spec.server->address);
    result.requestId = m_spec.requestId;
    result.timeout = m_spec.policy.deadline - now;
    result.isFreshConnection = !m_spec.policy.isIdempotent;
    result.relaysBulrushFields = m_spec.isRelayed;
    result.captureLimit = m_spec.captureLimit;
    addKeyHeaders(result.addedHeaders, m_spec);
    if (m_flight)
        result.addedHeaders.push_back({serverfields::fence, formatFence(m_flight->allowed.fence)});
    result.addedHeaders.push_back({serverfields::deadline, inMilliseconds(deadline)});
    return result;
}

void ServerAttempt::handleExchangeResult(const io::ExchangeResult &end)
{
    endFlight(end);
    finish(toAttemptResult(end));
}

void ServerAttempt::endFlight(const io::ExchangeResult &end)
{
    const auto failure = failurePointOf(end);
    m_queue.complete(m_work, toWorkEnd(end, failure), io::hostNow());
    if (!m_flight)
        return;
    // A request that the server has answered, or that never reached it, no longer runs for certain.
    if (!failure || isCertainlyNotRun(*failure))
        m_context.gate.endFlight(*m_flight);
    else
        m_context.gate.abandonFlight(*m_flight);
    m_flight.reset();
}

void ServerAttempt::finish(const AttemptResult &end)
{
    if (const auto handler = std::exchange(m_handler, nullptr))
        handler(end);
}

RelayAttempt::RelayAttempt(TrafficContext &context, CallerStreams caller, AttemptSpec spec,
                           const PeerRoute &peer, AttemptHandler handler)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_spec(std::move(spec))
    , m_relayAddress(peer.relayAddress)
    , m_handler(std::move(handler))
{ }

void RelayAttempt::start()
{
    m_context.counters.add(Counter::RequestsRelayed);
    m_exchange = std::make_shared<io::ProxyExchange>(
        m_context.http, m_caller.request, m_caller.writer, target(io::hostNow()),
        [self = shared_from_this()](const io::ExchangeResult &end) {
            if (const auto handler = std::exchange(self->m_handler, nullptr))
                handler(toAttemptResult(end));
        });
    m_exchange->start();
}

void RelayAttempt::abandon()
{
    m_handler = nullptr;
    m_exchange.reset();
}

io::ProxyTarget RelayAttempt::target(Instant now) const
{
    io::ProxyTarget result;
    result.origin = "http://" + m_relayAddress;
    result.requestId = m_spec.requestId;
    result.timeout = m_spec.policy.deadline - now;
    result.isFreshConnection = !m_spec.policy.isIdempotent;
    result.captureLimit = m_spec.captureLimit;
    auto &headers = result.addedHeaders;
    addKeyHeaders(headers, m_spec);
    headers.push_back({relayfields::server, m_spec.server->name.value()});
    headers.push_back({relayfields::timeout, inMilliseconds(result.timeout)});
    headers.push_back({relayfields::priority,
                       m_spec.policy.requestClass == RequestClass::Priority ? "yes" : "no"});
    headers.push_back({relayfields::idempotent, m_spec.policy.isIdempotent ? "yes" : "no"});
    if (m_spec.keyRouting) {
        headers.push_back({relayfields::domain, m_spec.keyRouting->domain.value()});
        headers.push_back(
            {relayfields::routedBy, formatFence(m_spec.keyRouting->assignmentVersion)});
    }
    return result;
}

} // namespace bulrush

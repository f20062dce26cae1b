#include "attempt.h"

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
    case DispatchRefusal::NotAttendant:
    case DispatchRefusal::Stopping:
    case DispatchRefusal::NotAssigned:
    case DispatchRefusal::UnknownVersion:
        break;
    }
    return FailurePoint::NoServer;
}

FailurePoint failurePointOf(io::TransferStage stage, std::error_code error)
{
    switch (stage) {
    case io::TransferStage::NotConnected:
        return error == io::TransportError::TimedOut ? FailurePoint::ConnectTimedOut
                                                     : FailurePoint::ConnectRefused;
    case io::TransferStage::Sending:
        return FailurePoint::PartlyWritten;
    case io::TransferStage::Sent:
    case io::TransferStage::Answered:
        break;
    }
    if (error == io::TransportError::TimedOut)
        return FailurePoint::WrittenAndSilent;
    if (error == io::TransportError::AnswerMismatched)
        return FailurePoint::AnswerNotMatching;
    if (error == io::TransportError::CallerDisconnected)
        return FailurePoint::CancelledAfterWrite;
    return error == io::TransportError::ConnectionLost ? FailurePoint::ResetAfterWrite
                                                       : FailurePoint::AnswerCut;
}

/** \returns the failure point that another daemon named, or nothing. */
std::optional<FailurePoint> failurePointNamed(const std::string &name)
{
    for (const FailurePoint point : allFailurePoints()) {
        if (nameOf(point) == name)
            return point;
    }
    return std::nullopt;
}

/** What the end says of the server's load. */
WorkEnd workEndOf(const io::ExchangeResult &end, std::optional<FailurePoint> failure)
{
    if (!failure || failure == FailurePoint::AnswerWithoutRan)
        return WorkEnd::Answered;
    switch (*failure) {
    case FailurePoint::ServerShed:
        return WorkEnd::Shed;
    case FailurePoint::ServerCold:
        return WorkEnd::Cold;
    case FailurePoint::ServerDraining:
        return WorkEnd::Draining;
    case FailurePoint::ServerDeadline:
    case FailurePoint::ServerFence:
    case FailurePoint::ServerNotOwner:
    case FailurePoint::ServerNotRunOther:
        return WorkEnd::Refused;
    default:
        return end.stage == io::TransferStage::NotConnected ? WorkEnd::NotSent : WorkEnd::Lost;
    }
}

AttemptEnd attemptEndOf(const io::ExchangeResult &end)
{
    AttemptEnd result;
    result.failure = bulrush::failurePointOf(end);
    result.hasBegunAnswer = end.hasBegunAnswer;
    result.isBodyResendable = end.isBodyResendable;
    result.status = end.status;
    result.capturedBody = end.capturedBody;
    result.contentType = end.contentType;
    return result;
}

void addKeyFields(std::vector<io::HttpHeader> &headers, const WorkOrder &order)
{
    headers.push_back({serverfields::service, order.server->service.value()});
    if (order.keyed)
        headers.push_back({serverfields::key, order.keyed->key});
    if (!order.idempotencyKey.empty())
        headers.push_back({serverfields::idempotencyKey, order.idempotencyKey});
}

} // namespace

std::string textOf(const Fence &fence)
{
    return std::to_string(fence.epoch) + '.' + std::to_string(fence.sequence);
}

std::optional<Fence> fenceOf(std::string_view text)
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

std::optional<FailurePoint> failurePointOf(const io::ExchangeResult &end)
{
    if (!end.error)
        return std::nullopt;
    if (end.error != io::TransportError::ServerRefused)
        return failurePointOf(end.stage, end.error);
    if (const auto named = failurePointNamed(end.reason))
        return named;

    const Outcome outcome =
        outcomeOfAnswer(end.status, io::parseRanStatement(end.ran), end.reason, Duration{});
    if (const auto *notRun = std::get_if<NotRun>(&outcome))
        return notRun->reason;
    return FailurePoint::AnswerWithoutRan;
}

ServerAttempt::ServerAttempt(TrafficContext &context, CallerEnds ends, WorkOrder order,
                             AttemptHandler handler)
    : m_context(context)
    , m_ends(std::move(ends))
    , m_order(std::move(order))
    , m_handler(std::move(handler))
    , m_lane(*context.lanes.at(m_order.server->name))
{ }

void ServerAttempt::start()
{
    const auto self = shared_from_this();
    m_work = m_lane.submit(
        m_order.policy, !m_ends.request->isBodyBuffered(), m_context.loop,
        [self](const LaneDecision &decision) { self->decided(decision); }, io::hostNow());
}

void ServerAttempt::abandon()
{
    m_handler = nullptr;
    if (!m_isSent) {
        m_lane.cancel(m_work);
        return;
    }
    m_exchange.reset();
    if (m_flight)
        m_context.gate.abandonFlight(*std::exchange(m_flight, std::nullopt));
    m_lane.ended(m_work, WorkEnd::Lost, io::hostNow());
}

void ServerAttempt::decided(const LaneDecision &decision)
{
    if (const auto *refused = std::get_if<RefuseWork>(&decision)) {
        AttemptEnd end;
        end.failure = refused->reason;
        end.retryAfter = refused->retryAfter;
        finish(end);
        return;
    }
    if (!m_handler) {
        m_lane.ended(m_work, WorkEnd::NotSent, io::hostNow());
        return;
    }
    send();
}

void ServerAttempt::send()
{
    const Instant now = io::hostNow();
    std::optional<FailurePoint> refusal = passGate(now);
    const auto proxyTarget = refusal ? std::nullopt : target(now);
    if (!refusal && !proxyTarget)
        refusal = FailurePoint::ServerSuspected;
    if (refusal) {
        if (m_flight)
            m_context.gate.endFlight(*std::exchange(m_flight, std::nullopt));
        m_lane.ended(m_work, WorkEnd::NotSent, now);
        AttemptEnd end;
        end.failure = refusal;
        finish(end);
        return;
    }

    m_isSent = true;
    m_context.counters.add(Counter::AttemptsSent);
    m_exchange = std::make_shared<io::ProxyExchange>(
        m_context.http, m_ends.request, m_ends.writer, *proxyTarget,
        [self = shared_from_this()](const io::ExchangeResult &end) { self->exchanged(end); });
    m_exchange->start();
}

std::optional<FailurePoint> ServerAttempt::passGate(Instant now)
{
    if (m_order.policy.deadline <= now)
        return FailurePoint::DeadlineBeforeDispatch;
    if (!m_order.keyed)
        return std::nullopt;

    const DispatchQuery query{m_order.server->service, m_order.keyed->hash, m_order.server->name,
                              m_order.policy.deadline, m_order.keyed->routedBy};
    const GateDecision decision = m_context.gate.startFlight(m_order.keyed->domain, query, now);
    if (const auto *refusal = std::get_if<DispatchRefusal>(&decision))
        return failurePointOf(*refusal);
    m_flight = std::get<GatedFlight>(decision);
    m_context.loads.add(m_order.keyed->domain, query.service, m_order.keyed->hash, now);
    return std::nullopt;
}

std::optional<io::ProxyTarget> ServerAttempt::target(Instant now) const
{
    const ServerReading reading = m_context.board.reading(m_order.server->name);
    if (!reading.clock)
        return std::nullopt;

    const Instant latestStart =
        m_flight ? m_flight->allowed.latestDeadline : m_order.policy.deadline;
    const Duration deadline =
        serverDeadline(*reading.clock, latestStart, m_context.settings.leases.driftPpm);
    io::ProxyTarget result;
    result.origin = "http://" + toString(m_order.server->address);
    result.requestId = m_order.requestId;
    result.timeout = m_order.policy.deadline - now;
    result.isFreshConnection = !m_order.policy.isIdempotent;
    result.relaysBulrushFields = m_order.isRelayed;
    result.captureLimit = m_order.captureLimit;
    addKeyFields(result.addedHeaders, m_order);
    if (m_flight)
        result.addedHeaders.push_back({serverfields::fence, textOf(m_flight->allowed.fence)});
    result.addedHeaders.push_back({serverfields::deadline, inMilliseconds(deadline)});
    return result;
}

void ServerAttempt::exchanged(const io::ExchangeResult &end)
{
    endFlight(end);
    finish(attemptEndOf(end));
}

void ServerAttempt::endFlight(const io::ExchangeResult &end)
{
    const auto failure = failurePointOf(end);
    m_lane.ended(m_work, workEndOf(end, failure), io::hostNow());
    if (!m_flight)
        return;
    // Work that the server has answered, or that never reached it, is over for certain.
    if (!failure || isCertainlyNotRun(*failure))
        m_context.gate.endFlight(*m_flight);
    else
        m_context.gate.abandonFlight(*m_flight);
    m_flight.reset();
}

void ServerAttempt::finish(const AttemptEnd &end)
{
    if (const auto handler = std::exchange(m_handler, nullptr))
        handler(end);
}

RelayAttempt::RelayAttempt(TrafficContext &context, CallerEnds ends, WorkOrder order,
                           const PeerRoute &peer, AttemptHandler handler)
    : m_context(context)
    , m_ends(std::move(ends))
    , m_order(std::move(order))
    , m_relayAddress(peer.relayAddress)
    , m_handler(std::move(handler))
{ }

void RelayAttempt::start()
{
    m_context.counters.add(Counter::RequestsRelayed);
    m_exchange = std::make_shared<io::ProxyExchange>(
        m_context.http, m_ends.request, m_ends.writer, target(io::hostNow()),
        [self = shared_from_this()](const io::ExchangeResult &end) {
            if (const auto handler = std::exchange(self->m_handler, nullptr))
                handler(attemptEndOf(end));
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
    result.requestId = m_order.requestId;
    result.timeout = m_order.policy.deadline - now;
    result.isFreshConnection = !m_order.policy.isIdempotent;
    result.captureLimit = m_order.captureLimit;
    auto &headers = result.addedHeaders;
    addKeyFields(headers, m_order);
    headers.push_back({relayfields::server, m_order.server->name.value()});
    headers.push_back({relayfields::timeout, inMilliseconds(result.timeout)});
    headers.push_back({relayfields::priority,
                       m_order.policy.requestClass == RequestClass::Priority ? "yes" : "no"});
    headers.push_back({relayfields::idempotent, m_order.policy.isIdempotent ? "yes" : "no"});
    if (m_order.keyed) {
        headers.push_back({relayfields::domain, m_order.keyed->domain.value()});
        headers.push_back({relayfields::routedBy, textOf(m_order.keyed->routedBy)});
    }
    return result;
}

} // namespace bulrush

#include "peerrelay.h"

#include "connection/transporterror.h"
#include "forwardcontext.h"
#include "platform/requestfields.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <utility>

namespace bulrush {

namespace {

/** Subtracted from the time left for the other daemon, so that its answer arrives in time. */
constexpr Duration answerTransitTime = std::chrono::milliseconds{4};
/** A daemon that is running accepts a connection within milliseconds. */
constexpr Duration connectTimeout = std::chrono::milliseconds{150};

/**
 * Daemons that are asked to relay one request: one of each domain in most deployments, as the next
 * daemon is one of another domain. More of them held callers for half a second and longer.
 */
constexpr std::size_t maxDaemonsAsked = 3;

/** \returns whether \a statement is about the \a request; a promise has to name it. */
bool isAbout(const RelayStatement &statement, const std::string &request)
{
    return statement.request == request
        || (statement.request.empty() && !statesNotRun(statement.outcome));
}

} // namespace

PeerRelay::PeerRelay(ForwardContext &context, RelayRequest request,
                     std::shared_ptr<RequestCopies> copies, Handler handler)
    : m_context(context)
    , m_request(std::move(request))
    , m_copies(std::move(copies))
    , m_handler(std::move(handler))
{ }

bool PeerRelay::start()
{
    const Instant now = io::hostNow();
    const Duration left = m_request.answerBy - now - answerTransitTime;
    const RelayDaemon *daemon = m_context.relays.choose(
        {m_request.server, m_request.serverDomain, m_tried, m_request.salt}, now);
    if (!daemon || left < RequestQueue::minServiceTime)
        return false;
    m_host = daemon->host;
    m_tried.push_back(m_host);
    io::ServerCall call;
    call.server = daemon->address;
    call.method = m_request.method;
    call.target = m_request.target;
    call.headers = platform::relayedFields(m_request.headers, left);
    addRelayTerms(call.headers, {m_context.self, m_request.configVersion});
    call.body = m_request.body;
    call.connectTimeout = connectTimeout;
    call.timeout = left + std::chrono::seconds{1};
    call.sendDeadline = m_request.answerBy - RequestQueue::minServiceTime;
    m_copy = m_copies->add(m_host.value());
    call.confirmSend = [copies = m_copies, copy = m_copy, hasOpenCaller = m_request.hasOpenCaller] {
        return hasOpenCaller() && copies->release(copy, io::hostNow());
    };
    m_context.relays.recordSent(m_host, io::hostNow());
    m_context.counters.add(EntryCounter::RelaysSent);
    m_call = m_context.servers.send(
        std::move(call),
        [self = shared_from_this()](const io::HttpResult &result) { self->handleResult(result); });
    return true;
}

void PeerRelay::cancel()
{
    if (!m_call)
        return;
    m_context.servers.cancel(*m_call);
    m_context.relays.recordEnded(m_host);
    m_call.reset();
    m_handler = nullptr;
}

/** \returns whether another daemon may be asked after \a outcome. */
bool PeerRelay::mayAskAnother(RelayOutcome outcome) const
{
    const bool canAnotherHelp = outcome == RelayOutcome::Denied || outcome == RelayOutcome::CutOff
        || outcome == RelayOutcome::Unavailable;
    return canAnotherHelp && m_tried.size() < maxDaemonsAsked
        && io::hostNow() < m_request.askAnotherUntil;
}

void PeerRelay::handleResult(const io::HttpResult &result)
{
    m_call.reset();
    m_context.relays.recordEnded(m_host);
    if (result.error == io::TransportError::CallWithdrawn) {
        finish({{RelayOutcome::NotRun, "caller-gone"}, {}, true});
        return;
    }
    const RelayResult relayed = evaluate(result);
    if (statesNotRun(relayed.statement.outcome))
        m_copies->recordDenial(m_copy);
    else
        m_copies->recordMayHaveRun(m_copy);
    // A daemon that can't be connected to does not help, whatever it could tell.
    const bool isUnreached = result.error && result.stage == io::TransferStage::NotConnected;
    recordOutcome(isUnreached ? RelayOutcome::CutOff : relayed.statement.outcome);
    if (relayed.statement.outcome != RelayOutcome::Answered)
        io::logEvent(LogLevel::Info, "relay-failed",
                     {{"request", m_request.id},
                      {"host", m_host.value()},
                      {"server", m_request.server},
                      {"outcome", std::string{nameOf(relayed.statement.outcome)}},
                      {"reason", relayed.statement.reason}});
    if (mayAskAnother(relayed.statement.outcome) && start())
        return;
    finish(relayed);
}

/** \returns the statement of the other daemon, or what the lack of its answer means. */
RelayResult PeerRelay::evaluate(const io::HttpResult &result) const
{
    if (result.error && result.stage == io::TransferStage::NotConnected)
        return {{RelayOutcome::Unavailable, "daemon-unreachable"}, {}};
    if (result.error)
        return {{RelayOutcome::Unknown, "relay-lost"}, {}};
    const auto statement = relayStatement(result.response.headers);
    if (!statement || !isAbout(*statement, m_request.id))
        return {{RelayOutcome::Unknown, "relay-answer-unreadable"}, {}};
    RelayResult relayed{*statement, result.response};
    removeRelayFields(relayed.response.headers);
    return relayed;
}

void PeerRelay::recordOutcome(RelayOutcome outcome)
{
    const Instant now = io::hostNow();
    switch (outcome) {
    case RelayOutcome::Answered:
        m_context.counters.add(EntryCounter::RelaysAnswered);
        m_context.relays.recordAnswered(m_host, m_request.server, now, m_request.serverDomain);
        m_context.relayAnsweredAt = now;
        return;
    case RelayOutcome::Denied:
        m_context.relays.recordDenied(m_host, m_request.server, now, m_request.serverDomain);
        return;
    case RelayOutcome::CutOff:
        m_context.relays.recordCutOff(m_host, now);
        return;
    case RelayOutcome::Unavailable:
        m_context.relays.recordUnusable(m_host, now);
        return;
    case RelayOutcome::NotRun:
    case RelayOutcome::Rejected:
        m_context.relays.recordUsable(m_host);
        return;
    case RelayOutcome::Unknown:
        return;
    }
}

void PeerRelay::finish(const RelayResult &result)
{
    const Handler handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler(result);
}

} // namespace bulrush

#pragma once

#include "attempt.h"
#include "claimhandler.h"
#include "limitregistry.h"
#include "request/requestpolicy.h"
#include "routingview.h"
#include "version/pathpattern.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bulrush {

struct TrafficContext;

/** The reason why a request is invalid, with advice for the caller. */
struct Rejection
{
    int status = 400;
    std::string problem;
};

/** The operation, key and contract that a request resolves to. */
struct ResolvedRequest
{
    std::shared_ptr<const Contract> contract;
    const Operation *operation = nullptr;
    /** Empty if the service is not divided by key. */
    std::string key;
    std::string idempotencyKey;
};

/**
 * Resolves a request by the contracts of \a view.
 *
 * \returns the operation, key and contract of a request with \a head and a body of \a bodyLength
 * bytes, or why it is rejected. Thread safe.
 */
std::variant<ResolvedRequest, Rejection>
resolveRequest(const RoutingView &view, const io::RequestHead &head, std::uint64_t bodyLength);

/**
 * Handles one caller's request from its arrival to its outcome: a complete answer, not run, or
 * unknown.
 *
 * Used on its traffic thread, and created with std::make_shared. It keeps itself alive until the
 * request completes.
 */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
    CallerExchange(TrafficContext &context, CallerStreams caller);
    ~CallerExchange();

    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    /** Starts handling the request. */
    void start();

private:
    using Attempt =
        std::variant<std::monostate, std::shared_ptr<ServerAttempt>, std::shared_ptr<RelayAttempt>>;

    void reject(const Rejection &rejection);
    bool admitByLimits();
    bool needsClaim() const;
    void claim();
    void handleClaimVerdict(const ClaimVerdict &verdict);
    void answerStored(const std::string &storedAnswer);
    void watchCaller();
    void recordServiceLevel(const Outcome &outcome, int status) const;
    void attempt();
    std::optional<AttemptSpec> nextAttemptSpec();
    std::optional<AttemptSpec> keyedAttemptSpec();
    std::optional<AttemptSpec> unkeyedAttemptSpec();
    AttemptSpec makeAttemptSpec(const BackendServer &server) const;
    void send(AttemptSpec spec);
    void handleAttemptResult(const AttemptResult &result);
    bool mayRetry(const AttemptResult &result);
    void scheduleRetry();
    void conclude(const Outcome &outcome, const AttemptResult &result);
    void refuse(FailurePoint point, Duration retryAfter);
    void handleDisconnect();

    TrafficContext &m_context;
    CallerStreams m_caller;
    std::shared_ptr<const RoutingView> m_view;
    ResolvedRequest m_resolved;
    RequestPolicy m_policy;
    std::string m_id;
    Instant m_startedAt;
    /** Counts this request against its organisation's concurrency limit until it completes. */
    std::optional<LimitTicket> m_ticket;
    /** The claim that this request waits for or holds; 0 if none. */
    ClaimTicket m_claim = 0;
    int m_attemptCount = 0;
    std::size_t m_serverOffset = 0;
    Attempt m_attempt;
    bool m_isFinished = false;
};

} // namespace bulrush

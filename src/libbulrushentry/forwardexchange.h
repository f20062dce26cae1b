#pragma once

#include "attempttrace.h"
#include "calleranswer.h"
#include "connection/incomingrequest.h"
#include "connection/responsewriter.h"
#include "connection/servercall.h"
#include "forwardcontext.h"
#include "peerrelay.h"
#include "platform/requestfields.h"
#include "process/permit.h"
#include "request/requestcopies.h"
#include "request/requestqueue.h"
#include "requestpermit.h"
#include "suspectcheck.h"
#include "version/routingconfig.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** When a refused caller may retry. */
enum class RetryAdvice {
    Later, ///< the refusal states the delay
    Never,
};

/**
 * Handles one caller's request from its arrival to its outcome: the server's own answer, a refusal
 * that states that it did not run and when to retry, or an unknown outcome. A request that is given
 * up is answered at once.
 *
 * Used on its traffic thread, created with std::make_shared; the context owns it until it finishes.
 */
class ForwardExchange : public std::enable_shared_from_this<ForwardExchange>
{
public:
    /** \a relayed is set if another daemon relays the request. */
    ForwardExchange(ForwardContext &context, std::shared_ptr<io::IncomingRequest> request,
                    std::shared_ptr<io::ResponseWriter> writer,
                    std::optional<RelayTerms> relayed = std::nullopt);

    ForwardExchange(const ForwardExchange &) = delete;
    ForwardExchange &operator=(const ForwardExchange &) = delete;

    /** Starts the handling of the request. */
    void start();

    /** Sends the request to \a server. \pre the queue has just released it */
    void sendTo(const ServerRecord &server);

    /**
     * Handles that the queue has given the request up: relays or refuses it. A server will take
     * requests again after \a availableIn; zero if that is unknown.
     */
    void giveUp(GiveUpReason reason, Duration availableIn);

    /** Refuses the request: as not run if that can be proved, otherwise with an unknown outcome. */
    void refuse(std::string_view reason, RetryAdvice advice = RetryAdvice::Later);

    /**
     * Refuses the request because the daemon shuts down, unless it was passed on and is still being
     * worked on.
     */
    void refuseUnlessPassedOn();

    /** Logs the request, which gets no answer as the traffic thread has stopped. */
    void logUnfinished() const;

    /** Refuses the request if it is quarantined by now and nobody has a copy. */
    void handleQuarantineChange();

private:
    bool resolveRoute();
    bool admitCaller();
    bool admitKey();
    void readBody();
    void computeFingerprint();
    bool refuseIfQuarantined();
    void enqueue(Instant notBefore);
    bool refuseIfQueueTooLong();
    WaitingRequest waitingRequest(Instant notBefore) const;
    bool hasPermit(const ServerName &server, Instant now) const;
    Duration maxPermitWait(const ServerRecord &server, Instant now) const;
    bool haveAllServersLimits() const;
    void queryPermit(const ServerRecord &server);
    void handlePermit(const PermitAnswer &answer, Instant namedAt, Duration maxWait);
    void reportLimitEnd();
    Instant sendDeadline() const;
    void handleAttemptResult(io::HttpResult result);
    void handleAnswer(io::HttpResult result);
    void logRefusedAttempt(const io::HttpResult &result) const;
    bool isOnTimeAfter(Duration wait) const;
    void handleRefusal(const ServerStatement &statement, int status);
    void handleBrokenAttempt(const io::HttpResult &result);
    void handleWithdrawnAttempt();
    void handleUnreachedServer();
    bool relay();
    Instant askAnotherUntil(const ServerRecord *owner) const;
    void handleRelayResult(const RelayResult &result);
    void recordRelayedStatement(const RelayResult &result);
    void recordRelayedBackoff(const io::HttpResponse &response);
    bool retryOnOtherServer(Duration delay = Duration::zero());
    bool scheduleRetry(Duration delay);
    void returnAnswer(io::HttpResponse response);
    using UnknownStatus = CallerAnswer::UnknownStatus;
    void finishNotRun(const NotRunProof &proof, std::string_view reason, RetryAdvice advice);
    void finishUnknown(UnknownStatus status, std::string_view reason);
    void reject(int status, std::string_view reason);
    void send(const CallerAnswer &answer, RelayOutcome outcome, std::string_view reason);
    void handleDisconnect();
    void handleTimeout();
    void finish();
    void log(std::string_view outcome, int status, std::string_view reason) const;
    const KeyAssignment *currentAssignment() const;
    const ServerRecord *owner() const;
    void refuseForBackoff(const ServerName &server, Duration left);
    bool hasOwnerRoom() const;
    std::uint64_t hash() const;
    std::function<bool()> openCallerCheck() const;
    std::string_view caller() const;
    Duration elapsed() const;
    Duration timeLeft() const;

    ForwardContext &m_context;
    std::shared_ptr<io::IncomingRequest> m_request;
    std::shared_ptr<io::ResponseWriter> m_writer;
    /** Owns m_route. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    platform::RequestMetadata m_terms;
    ServiceName m_service;
    bool m_isDividedByKey = false;
    std::shared_ptr<std::string> m_body = std::make_shared<std::string>();
    SuspectCheck m_suspect;
    std::uint64_t m_ticket = 0;
    Instant m_startedAt;
    Instant m_answerBy;
    std::optional<TimerService::SubscriptionId> m_timeout;
    /** Servers that have been tried without success. */
    std::vector<ServerName> m_tried;
    int m_attempts = 0;
    ServerName m_server;
    Instant m_sentAt;
    AttemptTrace m_trace;
    std::optional<io::ServerClient::CallId> m_call;
    /** All copies of the request; shared with the calls that send them. */
    std::shared_ptr<RequestCopies> m_copies = std::make_shared<RequestCopies>();
    /** The copy of the current attempt. */
    RequestCopies::Number m_copy = 0;
    /** Connections of earlier attempts, on which their servers may answer a second time. */
    std::vector<io::ConnectionNumber> m_usedConnections;
    /** Set while other daemons are asked to relay the request, and after one has answered. */
    std::shared_ptr<PeerRelay> m_relay;
    /** Set if another daemon relays the request, so that this one must not relay it on. */
    std::optional<RelayTerms> m_relayed;
    RequestPermit m_permit;
    /** Time after which a server will take requests again; zero if that is unknown. */
    Duration m_availableIn{};
    /** The answer of a server that failed. */
    struct FailedAnswer
    {
        ServerName server;
        io::HttpResponse response;
    };

    /** Returned if no other attempt succeeds. */
    std::optional<FailedAnswer> m_failedAnswer;
    bool m_isFinished = false;
};

} // namespace bulrush

#pragma once

#include "connection/incomingrequest.h"
#include "connection/responsewriter.h"
#include "connection/servercall.h"
#include "forwardcontext.h"
#include "platform/requestfields.h"
#include "request/requestfingerprint.h"
#include "version/routingconfig.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/**
 * One caller's request from its arrival to its end: the server's own answer, or the word that it
 * did not run and when to come back, or that its end is not known. A request that is given up on is
 * answered at once.
 *
 * Used on its traffic thread, created with std::make_shared; the context keeps it until its end.
 */
class ForwardExchange : public std::enable_shared_from_this<ForwardExchange>
{
public:
    ForwardExchange(ForwardContext &context, std::shared_ptr<io::IncomingRequest> request,
                    std::shared_ptr<io::ResponseWriter> writer);

    ForwardExchange(const ForwardExchange &) = delete;
    ForwardExchange &operator=(const ForwardExchange &) = delete;

    /** Starts the handling of the request. */
    void start();

    /** Sends the request to \a server. \pre it waits in the queue, which has let it go */
    void sendTo(const ServerRecord &server);

    /** Refuses the request, which waited in the queue, as not run. */
    void refuse(std::string_view reason);

    /** Refuses the request if it is held back by now, and no server has it. */
    void quarantineChanged();

private:
    bool resolve();
    bool admitKey();
    void readBody();
    void noteFingerprint();
    bool refuseIfHeldBack();
    bool beginTrial();
    void endTrial();
    void noteLoss(CrashWatch::Loss loss);
    void enqueue(Instant notBefore);
    Instant noteChoice();
    void logSteps(const io::CallTimes &times);
    void attemptEnded(const io::HttpResult &result);
    void answered(const io::HttpResult &result);
    void broke(const io::HttpResult &result);
    bool repeatElsewhere();
    bool retryLater(Duration delay);
    void returnAnswer(const io::HttpResponse &response);
    enum class ComeBack {
        Soon, ///< the refusal says when
        Never,
    };
    void refuseNotRun(std::string_view reason, ComeBack comeBack = ComeBack::Soon);
    void endUnknown(int status, std::string_view reason);
    void reject(int status, std::string_view reason);
    void callerGone();
    void timedOut();
    void finish();
    void log(std::string_view outcome, int status, std::string_view reason) const;
    const KeyAssignment *currentAssignment() const;
    std::uint64_t hash() const;
    std::string_view caller() const;
    Duration elapsed() const;
    Duration left() const;

    ForwardContext &m_context;
    std::shared_ptr<io::IncomingRequest> m_request;
    std::shared_ptr<io::ResponseWriter> m_writer;
    /** Keeps the route alive. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    platform::RequestTerms m_terms;
    ServiceName m_service;
    bool m_isDividedByKey = false;
    std::shared_ptr<std::string> m_body = std::make_shared<std::string>();
    /** Of the whole request; nothing until its body is here. */
    std::optional<RequestFingerprint> m_fingerprint;
    std::uint64_t m_ticket = 0;
    Instant m_startedAt;
    Instant m_answerBy;
    std::optional<TimerService::SubscriptionId> m_timeout;
    /** Servers that got the request. */
    std::vector<ServerName> m_tried;
    int m_attempts = 0;
    ServerName m_server;
    Instant m_sentAt;
    /** Of the server, as it was chosen. */
    std::optional<Instant> m_drainsAfter;
    /** Of what was known of the servers then. */
    Duration m_knowledgeAge{};
    /** The server may have left, by what was known: the steps of the attempt are logged. */
    bool m_isChoiceLogged = false;
    std::optional<io::ServerClient::CallId> m_call;
    /** Runs that were known to have ended under the request as it was sent. */
    std::vector<ServerName> m_endedBefore;
    /** The answer of a server that failed, in case no other one does better. */
    std::optional<io::HttpResponse> m_failure;
    /** An attempt ended so that the request may have run. */
    bool m_mayHaveRun = false;
    /** It is the one copy of a suspect that is at a server. */
    bool m_isTrial = false;
    bool m_isOver = false;
};

} // namespace bulrush

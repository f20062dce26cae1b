#pragma once

#include "connection/incomingrequest.h"
#include "connection/proxyexchange.h"
#include "connection/responsewriter.h"
#include "dispatchgate.h"
#include "request/outcome.h"
#include "request/requestpolicy.h"
#include "serverqueue.h"
#include "version/slice.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bulrush {

struct BackendServer;
struct PeerRoute;
struct TrafficContext;

/** The key of a request for a service that is divided by key, and its routing data. */
struct KeyRouting
{
    DomainName domain;
    std::string key;
    KeyHash hash = 0;
    /** Version of the assignment by which the request is routed. */
    Fence assignmentVersion;
};

/** Parameters of one attempt to run a request at a backend server. */
struct AttemptSpec
{
    const BackendServer *server = nullptr;
    std::optional<KeyRouting> keyRouting;
    RequestPolicy policy;
    /** Unique for each attempt. */
    std::string requestId;
    std::string idempotencyKey;
    /** Maximum bytes of the answer to store for repeated requests; 0 stores none. */
    std::size_t captureLimit = 0;
    /** Another daemon relayed the request; it needs the X-Bulrush fields of the answer. */
    bool isRelayed = false;
};

/** Result of an attempt. */
struct AttemptResult
{
    /** Empty if the complete answer was sent to the caller. */
    std::optional<FailurePoint> failure;
    bool hasBegunAnswer = false;
    bool isBodyResendable = true;
    /** HTTP status of the answer that was relayed; 0 if none was. */
    int status = 0;
    /** The stored part of the answer; see AttemptSpec::captureLimit. */
    std::string capturedBody = {};
    std::string contentType = {};
    Duration retryAfter = std::chrono::seconds{1};
};

using AttemptHandler = std::function<void(const AttemptResult &)>;

/** A caller's request and the writer for its answer. */
struct CallerStreams
{
    std::shared_ptr<io::IncomingRequest> request;
    std::shared_ptr<io::ResponseWriter> writer;
};

/**
 * Sends a request to a backend server that this daemon manages: waits for a slot, checks the
 * routing lease, forwards the request with the fencing token and the deadline, and then removes it
 * from the requests in flight.
 *
 * Used on its traffic thread, and created with std::make_shared.
 */
class ServerAttempt : public std::enable_shared_from_this<ServerAttempt>
{
public:
    ServerAttempt(TrafficContext &context, CallerStreams caller, AttemptSpec spec,
                  AttemptHandler handler);

    /** Starts the attempt. The handler is called once, never from within this call. */
    void start();

    /** Cancels the attempt when the caller disconnects. The handler is not called afterwards. */
    void abandon();

private:
    void handleQueueDecision(const QueueDecision &decision);
    void send();
    std::optional<FailurePoint> admitFlight(Instant now);
    std::optional<io::ProxyTarget> target(Instant now) const;
    void handleExchangeResult(const io::ExchangeResult &end);
    void endFlight(const io::ExchangeResult &end);
    void finish(const AttemptResult &end);

    TrafficContext &m_context;
    CallerStreams m_caller;
    AttemptSpec m_spec;
    AttemptHandler m_handler;
    ServerQueue &m_queue;
    WorkId m_work = 0;
    bool m_isSent = false;
    std::optional<AdmittedFlight> m_flight;
    std::shared_ptr<io::ProxyExchange> m_exchange;
};

/**
 * Relays a request to the daemon that manages the server.
 *
 * Used on its traffic thread, and created with std::make_shared.
 */
class RelayAttempt : public std::enable_shared_from_this<RelayAttempt>
{
public:
    RelayAttempt(TrafficContext &context, CallerStreams caller, AttemptSpec spec,
                 const PeerRoute &peer, AttemptHandler handler);

    /** Starts the attempt. The handler is called once, never from within this call. */
    void start();

    /** Cancels the attempt when the caller disconnects. The handler is not called afterwards. */
    void abandon();

private:
    io::ProxyTarget target(Instant now) const;

    TrafficContext &m_context;
    CallerStreams m_caller;
    AttemptSpec m_spec;
    std::string m_relayAddress;
    AttemptHandler m_handler;
    std::shared_ptr<io::ProxyExchange> m_exchange;
};

/** Header fields of relayed requests, in addition to those of the backend servers' interface. */
namespace relayfields {
constexpr const char *server = "X-Bulrush-Server";
constexpr const char *domain = "X-Bulrush-Domain";
constexpr const char *routedBy = "X-Bulrush-Routed-By";
constexpr const char *timeout = "X-Bulrush-Timeout-Ms";
constexpr const char *priority = "X-Bulrush-Priority";
constexpr const char *idempotent = "X-Bulrush-Idempotent";
} // namespace relayfields

/** Header fields of the backend servers' interface. */
namespace serverfields {
constexpr const char *service = "X-Bulrush-Service";
constexpr const char *key = "X-Bulrush-Key";
constexpr const char *fence = "X-Bulrush-Fence";
constexpr const char *request = "X-Bulrush-Request";
constexpr const char *idempotencyKey = "X-Bulrush-Idempotency-Key";
constexpr const char *deadline = "X-Bulrush-Deadline";
constexpr const char *ran = "X-Bulrush-Ran";
constexpr const char *reason = "X-Bulrush-Reason";
} // namespace serverfields

/** \returns "EPOCH.SEQUENCE". */
std::string formatFence(const Fence &fence);

/** Parses the output of formatFence(). \returns nothing if \a text is malformed. */
std::optional<Fence> parseFence(std::string_view text);

} // namespace bulrush

#pragma once

#include "connection/incomingrequest.h"
#include "connection/proxyexchange.h"
#include "connection/responsewriter.h"
#include "request/outcome.h"
#include "request/requestpolicy.h"
#include "rightgate.h"
#include "serverlane.h"
#include "version/slice.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bulrush {

struct BackendServer;
struct PeerRoute;
struct TrafficContext;

/** The key of work for a service that is divided by key, and what it was routed by. */
struct KeyedWork
{
    DomainName domain;
    std::string key;
    KeyHash hash = 0;
    Fence routedBy;
};

/** One piece of work on its way to a backend server. */
struct WorkOrder
{
    const BackendServer *server = nullptr;
    std::optional<KeyedWork> keyed;
    RequestPolicy policy;
    /** Id of this attempt. */
    std::string requestId;
    std::string idempotencyKey;
    /** Bytes of the answer to keep for a caller that asks again; 0 keeps none. */
    std::size_t captureLimit = 0;
    /** The request came from another daemon, which wants the answer's X-Bulrush fields. */
    bool isRelayed = false;
};

/** How an attempt ended. */
struct AttemptEnd
{
    /** Nothing if the whole answer went to the caller. */
    std::optional<FailurePoint> failure;
    bool hasBegunAnswer = false;
    bool isBodyResendable = true;
    /** Status of the answer that was passed on; 0 if none was. */
    int status = 0;
    /** What was kept of the answer. */
    std::string capturedBody = {};
    std::string contentType = {};
    Duration retryAfter = std::chrono::seconds{1};
};

using AttemptHandler = std::function<void(const AttemptEnd &)>;

/** The two ends of a caller's request that an attempt works between. */
struct CallerEnds
{
    std::shared_ptr<io::IncomingRequest> request;
    std::shared_ptr<io::ResponseWriter> writer;
};

/**
 * Sends work to a backend server that this daemon attends: waits for a slot, checks the routing
 * lease, passes the request on under the fence and the deadline, and ends the flight.
 *
 * Used on its traffic thread, and created with std::make_shared.
 */
class ServerAttempt : public std::enable_shared_from_this<ServerAttempt>
{
public:
    ServerAttempt(TrafficContext &context, CallerEnds ends, WorkOrder order,
                  AttemptHandler handler);

    /** Starts; the handler is called once, not from within this call. */
    void start();

    /** Ends it because the caller has gone; the handler is not called any more. */
    void abandon();

private:
    void decided(const LaneDecision &decision);
    void send();
    std::optional<FailurePoint> passGate(Instant now);
    std::optional<io::ProxyTarget> target(Instant now) const;
    void exchanged(const io::ExchangeResult &end);
    void endFlight(const io::ExchangeResult &end);
    void finish(const AttemptEnd &end);

    TrafficContext &m_context;
    CallerEnds m_ends;
    WorkOrder m_order;
    AttemptHandler m_handler;
    ServerLane &m_lane;
    WorkId m_work = 0;
    bool m_isSent = false;
    std::optional<GatedFlight> m_flight;
    std::shared_ptr<io::ProxyExchange> m_exchange;
};

/**
 * Relays work to the daemon that attends the server.
 *
 * Used on its traffic thread, and created with std::make_shared.
 */
class RelayAttempt : public std::enable_shared_from_this<RelayAttempt>
{
public:
    RelayAttempt(TrafficContext &context, CallerEnds ends, WorkOrder order, const PeerRoute &peer,
                 AttemptHandler handler);

    /** Starts; the handler is called once, not from within this call. */
    void start();

    /** Ends it because the caller has gone; the handler is not called any more. */
    void abandon();

private:
    io::ProxyTarget target(Instant now) const;

    TrafficContext &m_context;
    CallerEnds m_ends;
    WorkOrder m_order;
    std::string m_relayAddress;
    AttemptHandler m_handler;
    std::shared_ptr<io::ProxyExchange> m_exchange;
};

/** \returns where an exchange failed, or nothing if its whole answer went to the caller. */
std::optional<FailurePoint> failurePointOf(const io::ExchangeResult &end);

/** Fields between daemons that relay requests, beside those of the backend servers' interface. */
namespace relayfields {
constexpr const char *server = "X-Bulrush-Server";
constexpr const char *domain = "X-Bulrush-Domain";
constexpr const char *routedBy = "X-Bulrush-Routed-By";
constexpr const char *timeout = "X-Bulrush-Timeout-Ms";
constexpr const char *priority = "X-Bulrush-Priority";
constexpr const char *idempotent = "X-Bulrush-Idempotent";
} // namespace relayfields

/** Fields of the backend servers' interface. */
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
std::string textOf(const Fence &fence);

/** \returns the fence that textOf() wrote, or nothing. */
std::optional<Fence> fenceOf(std::string_view text);

} // namespace bulrush

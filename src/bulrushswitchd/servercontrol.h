#pragma once

#include "process/handovermessages.h"
#include "serverstatusregistry.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace bulrush {

struct ControlContext;

/** The leader that issued an order. */
struct OrderSource
{
    DomainName domain;
    std::uint64_t epoch = 0;

    auto operator<=>(const OrderSource &) const = default;
};

/** Result of an order to a backend server. */
struct OrderResult
{
    bool isConfirmed = false;
    /** Number of requests that still ran when the server answered. */
    std::uint32_t running = 0;
    /** The higher fence that the server holds, if it refused the order. */
    std::optional<Fence> highest;
};

/**
 * The control calls to backend servers: reads the clock and health of those that this daemon
 * manages, executes leaders' orders, and reads the grants that a server holds.
 *
 * Used on the control thread. The results are stored in a registry that all threads read.
 */
class ServerControl
{
public:
    using OrderHandler = std::function<void(const OrderResult &)>;
    using GrantsHandler = std::function<void(bool isAnswered, std::span<const SliceOwner> grants)>;
    /** Called when a server is lost or found again. */
    using LossHandler = std::function<void(const ServerName &server, bool isLost)>;

    /** Called when a server has answered a probe. */
    using AnswerHandler = std::function<void(const ServerName &server, bool isDraining)>;

    ServerControl(ControlContext &context, ServerStatusRegistry &statuses, LossHandler onLoss,
                  AnswerHandler onAnswer);

    ServerControl(const ServerControl &) = delete;
    ServerControl &operator=(const ServerControl &) = delete;

    /** Probes each of \a servers, and marks those that do not answer as lost. */
    void probe(const std::set<ServerName> &servers, Instant now);

    /**
     * Executes the \a order of \a source; \a handler is called with the result. An order that is
     * already being executed is ignored: the leader repeats it until it receives the result.
     */
    void execute(const OrderSource &source, const ServerOrder &order, OrderHandler handler);

    /** Reads the grants that \a server holds. */
    void readGrants(const ServerName &server, GrantsHandler handler);

private:
    struct Probe
    {
        bool isWaiting = false;
        Instant silentSince;
        ServerStatus status;
    };

    /** An order with the number of its slices that the server has not answered yet. */
    struct PendingOrder;

    void sendProbe(const BackendServer &server, Probe &probe);
    void updateLoss(const ServerName &server, Probe &probe, Instant now);
    void sendSlice(const BackendServer &server, const std::shared_ptr<PendingOrder> &open,
                   const SliceOwner &slice);
    const BackendServer *find(const ServerName &server) const;

    ControlContext &m_context;
    ServerStatusRegistry &m_serverStatuses;
    LossHandler m_onLoss;
    AnswerHandler m_onAnswer;
    std::map<ServerName, Probe> m_probes;
    /** Orders that are being executed, by the leader that issued them. */
    std::map<OrderSource, std::set<OrderId>> m_runningOrders;
};

} // namespace bulrush

#pragma once

#include "attempt.h"
#include "routingview.h"

#include <memory>
#include <optional>

namespace bulrush {

struct TrafficContext;

/**
 * Handles a request that another daemon relayed for a backend server that this daemon manages.
 * Makes one attempt and returns its result; the daemon that relayed the request does the retries.
 *
 * Used on its traffic thread, and created with std::make_shared. It keeps itself alive until the
 * attempt completes.
 */
class RelayedExchange : public std::enable_shared_from_this<RelayedExchange>
{
public:
    RelayedExchange(TrafficContext &context, CallerStreams caller);
    ~RelayedExchange();

    RelayedExchange(const RelayedExchange &) = delete;
    RelayedExchange &operator=(const RelayedExchange &) = delete;

    /** Starts handling the request. */
    void start();

private:
    std::optional<AttemptSpec> readAttemptSpec() const;
    void handleAttemptResult(const AttemptResult &result);
    void answer(int status, std::string_view ran, std::string_view reason,
                std::chrono::seconds retryAfter);

    TrafficContext &m_context;
    CallerStreams m_caller;
    std::shared_ptr<ServerAttempt> m_attempt;
    std::shared_ptr<const RoutingView> m_view;
    std::string m_requestId;
};

} // namespace bulrush

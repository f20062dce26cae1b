#pragma once

#include "request/claim.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace bulrush {

class ClaimService;

/** Identifies a claim between the traffic threads and the control thread. */
using ClaimTicket = std::uint64_t;

/** The action of a traffic thread for a request that needs a claim. */
using ClaimVerdict = std::variant<DispatchClaimedRequest, AnswerCaller, AnswerStored>;

/**
 * Passes claims of traffic threads to the control thread, which writes them to the platform.
 * Thread safe.
 */
class ClaimHandler
{
public:
    using Handler = std::function<void(const ClaimVerdict &)>;

    /** \pre \a service is used on \a control's thread and outlives the tasks of that loop. */
    ClaimHandler(asio::io_context &control, ClaimService &service);

    /**
     * Claims \a key ("organisation/idempotency key"). \a handler is called once on \a loop, never
     * from within this call.
     */
    ClaimTicket claim(std::string key, ClaimRequest request, asio::io_context &loop,
                      Handler handler);

    /** Records the outcome of the dispatched request. */
    void complete(ClaimTicket ticket, Outcome outcome, std::string storedAnswer);

    /** Cancels a claim whose caller has disconnected or whose deadline has passed. */
    void cancel(ClaimTicket ticket);

private:
    asio::io_context &m_control;
    ClaimService &m_service;
    std::atomic<ClaimTicket> m_lastTicket{0};
};

} // namespace bulrush

#include "claimhandler.h"

#include "claimservice.h"

#include <asio/post.hpp>

#include <utility>

namespace bulrush {

ClaimHandler::ClaimHandler(asio::io_context &control, ClaimService &service)
    : m_control(control)
    , m_service(service)
{ }

ClaimTicket ClaimHandler::claim(std::string key, ClaimRequest request, asio::io_context &loop,
                                Handler handler)
{
    const ClaimTicket ticket = ++m_lastTicket;
    auto reply = [&loop, handler = std::move(handler)](const ClaimVerdict &verdict) {
        asio::post(loop, [handler, verdict] { handler(verdict); });
    };
    asio::post(m_control,
               [this, ticket, key = std::move(key), request = std::move(request),
                reply = std::move(reply)]() mutable {
                   m_service.start(ticket, std::move(key), std::move(request), std::move(reply));
               });
    return ticket;
}

void ClaimHandler::complete(ClaimTicket ticket, Outcome outcome, std::string storedAnswer)
{
    asio::post(m_control, [this, ticket, outcome, storedAnswer = std::move(storedAnswer)] {
        m_service.handleEvent(ticket, ClaimedRequestFinished{outcome, storedAnswer});
    });
}

void ClaimHandler::cancel(ClaimTicket ticket)
{
    asio::post(m_control, [this, ticket] { m_service.handleEvent(ticket, ClaimAbandoned{}); });
}

} // namespace bulrush

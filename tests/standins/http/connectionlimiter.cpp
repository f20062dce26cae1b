#include "http/connectionlimiter.h"

#include <utility>
#include <variant>

namespace bulrush::standins {

ConnectionLimiter::ConnectionLimiter(std::size_t limit, ClosedHandler connectionClosedHandler)
    : m_limit(limit)
    , m_connectionClosedHandler(std::move(connectionClosedHandler))
{ }

void ConnectionLimiter::handleClosed(ConnectionId id)
{
    if (m_open.erase(id) > 0)
        m_connectionClosedHandler(id);
}

restinio::ip_blocker::inspection_result_t
ConnectionLimiter::inspect(const restinio::ip_blocker::incoming_info_t & /*info*/) noexcept
{
    if (m_open.size() < m_limit)
        return restinio::ip_blocker::allow();

    ++m_refusedCount;
    return restinio::ip_blocker::deny();
}

void ConnectionLimiter::state_changed(const restinio::connection_state::notice_t &notice) noexcept
{
    if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
        m_open.insert(notice.connection_id());
        return;
    }

    handleClosed(notice.connection_id());
}

} // namespace bulrush::standins

#pragma once

#include <restinio/connection_state_listener.hpp>
#include <restinio/ip_blocker.hpp>

#include <cstddef>
#include <functional>
#include <unordered_set>

namespace bulrush::standins {

/**
 * Counts the open connections of a listener, closes new ones beyond a limit, and reports when an
 * accepted one has closed. Not thread safe: to be used on the event loop's thread only.
 */
class ConnectionLimiter
{
public:
    using ConnectionId = restinio::connection_id_t;
    using ClosedHandler = std::function<void(ConnectionId)>;

    /**
     * \a connectionClosedHandler is called once for each accepted connection, when it has closed.
     */
    ConnectionLimiter(std::size_t limit, ClosedHandler connectionClosedHandler);

    /**
     * Removes a connection from the count and reports it as closed. To be called for connections
     * that are closed by other means than RESTinio's.
     */
    void handleClosed(ConnectionId id);

    std::size_t openCount() const;
    std::size_t refusedCount() const;

    // Callbacks from RESTinio, which prescribes their names.
    restinio::ip_blocker::inspection_result_t
    inspect(const restinio::ip_blocker::incoming_info_t &info) noexcept;
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;

private:
    std::size_t m_limit;
    ClosedHandler m_connectionClosedHandler;
    std::unordered_set<ConnectionId> m_open;
    std::size_t m_refusedCount = 0;
};

inline std::size_t ConnectionLimiter::openCount() const
{
    return m_open.size();
}

inline std::size_t ConnectionLimiter::refusedCount() const
{
    return m_refusedCount;
}

} // namespace bulrush::standins

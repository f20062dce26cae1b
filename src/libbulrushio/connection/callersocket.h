#pragma once

#include "connection/callerconnection.h"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <utility>

namespace bulrush::io {

/**
 * Adapts a CallerConnection to RESTinio's socket interface. Completion handlers run in the
 * connection's scope, and the connection performs the close.
 */
class CallerSocket
{
public:
    // Names required by Asio's socket concepts
    // NOLINTBEGIN(readability-identifier-naming)
    using Socket = asio::ip::tcp::socket;
    using executor_type = Socket::executor_type;
    using lowest_layer_type = Socket::lowest_layer_type;

    explicit CallerSocket(asio::io_context &loop)
        : m_loop(&loop)
    { }

    lowest_layer_type &lowest_layer()
    {
        return connection()->socket().lowest_layer();
    }

    executor_type get_executor()
    {
        return m_loop->get_executor();
    }

    const std::shared_ptr<CallerConnection> &connection()
    {
        // RESTinio reuses a moved-from socket for its next accept.
        if (!m_connection)
            m_connection = std::make_shared<CallerConnection>(*m_loop);
        return m_connection;
    }

    bool is_open() const
    {
        return m_connection && m_connection->isOpen();
    }

    void cancel(asio::error_code &error)
    {
        if (m_connection)
            m_connection->socket().cancel(error);
    }

    void shutdown(Socket::shutdown_type, asio::error_code &)
    {
        // Done by close(), which may have to send a refusal first.
    }

    void close()
    {
        if (m_connection)
            m_connection->close();
    }

    template<typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler)
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        connection()->socket().async_read_some(
            buffers,
            asio::bind_executor(
                executor,
                [connection = m_connection, handler = std::forward<Handler>(handler)](
                    const asio::error_code &error, std::size_t length) mutable {
                    connection->recordRead(error, length);
                    const CallerConnection::Scope scope{connection.get()};
                    handler(error, length);
                }));
    }

    template<typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler)
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        connection()->socket().async_write_some(
            buffers,
            asio::bind_executor(
                executor,
                [connection = m_connection, handler = std::forward<Handler>(handler)](
                    const asio::error_code &error, std::size_t length) mutable {
                    const CallerConnection::Scope scope{connection.get()};
                    handler(error, length);
                }));
    }

    // NOLINTEND(readability-identifier-naming)

private:
    asio::io_context *m_loop;
    std::shared_ptr<CallerConnection> m_connection;
};

} // namespace bulrush::io

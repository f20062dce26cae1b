#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

/** A caller that sends given bytes and stores all bytes received until the server closes. */
class RawCaller
{
public:
    RawCaller(asio::io_context &loop, std::uint16_t port, std::string bytes)
        : m_socket(loop)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
        asio::co_spawn(loop, send(std::move(bytes)), asio::detached);
        asio::co_spawn(loop, receive(), asio::detached);
    }

    /** Sends further bytes. */
    void sendMore(std::string bytes)
    {
        asio::co_spawn(m_socket.get_executor(), send(std::move(bytes)), asio::detached);
    }

    void close()
    {
        m_socket.close();
    }

    const std::string &received() const
    {
        return m_received;
    }

    /** \returns whether the server has closed the connection. */
    bool isClosed() const
    {
        return m_isClosed;
    }

    int status() const
    {
        return m_received.size() < 12 ? 0 : std::stoi(m_received.substr(9, 3));
    }

private:
    asio::awaitable<void> send(std::string bytes)
    {
        asio::error_code ignored;
        co_await asio::async_write(m_socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> receive()
    {
        std::string buffer(std::size_t{64} * 1024, '\0');
        asio::error_code error;
        while (!error) {
            const std::size_t length = co_await m_socket.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            m_received.append(buffer, 0, length);
        }
        m_isClosed = true;
    }

    asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_isClosed = false;
};

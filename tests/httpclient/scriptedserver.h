#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <functional>
#include <string>
#include <utility>

/**
 * A server on its own loopback port that runs a test's script on each connection.
 */
class ScriptedServer
{
public:
    using Socket = asio::ip::tcp::socket;
    using Script = std::function<asio::awaitable<void>(Socket &socket, int connection)>;

    ScriptedServer(asio::io_context &loop, Script script)
        : m_acceptor(loop, {asio::ip::address_v4::loopback(), 0})
        , m_script(std::move(script))
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }

    std::string url(const std::string &path = "/") const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + path;
    }

    int connections() const
    {
        return m_connections;
    }

    void close()
    {
        m_acceptor.close();
    }

    /** Reads the head of one request and leaves the remaining bytes in \a buffer. */
    static asio::awaitable<std::string> readHead(Socket &socket, std::string &buffer)
    {
        const std::size_t length = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
        std::string head = buffer.substr(0, length);
        buffer.erase(0, length);
        co_return head;
    }

    static asio::awaitable<void> write(Socket &socket, std::string bytes)
    {
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    }

    /** Reads until the peer closes. */
    static asio::awaitable<void> drain(Socket &socket)
    {
        std::string rest;
        asio::error_code ignored;
        co_await asio::async_read(socket, asio::dynamic_buffer(rest),
                                  asio::redirect_error(asio::use_awaitable, ignored));
    }

    /** Closes with a reset. */
    static void reset(Socket &socket)
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            asio::error_code error;
            Socket socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), m_connections++),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve(Socket socket, int connection)
    {
        try {
            co_await m_script(socket, connection);
        } catch (const std::system_error &) {
            // The client closed the connection, which ends the script.
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    int m_connections = 0;
};

#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

/**
 * Simulates a backend server: answers each request with "echo" and the id of the request. Requests
 * must have no body.
 */
class EchoServer
{
public:
    explicit EchoServer(asio::io_context &loop)
        : m_acceptor(loop, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        try {
            co_await answerAll(socket);
        } catch (const std::system_error &) {
            // The client has closed the connection.
        }
    }

    static asio::awaitable<void> answerAll(asio::ip::tcp::socket &socket)
    {
        constexpr std::string_view field = "X-Bulrush-Request: ";
        socket.set_option(asio::ip::tcp::no_delay{true});
        std::string buffer;
        for (;;) {
            const std::size_t length = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
            std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
            if (const std::size_t at = buffer.find(field); at != std::string::npos)
                answer += buffer.substr(at, buffer.find("\r\n", at) + 2 - at);
            answer += "\r\necho";
            buffer.erase(0, length);
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
};

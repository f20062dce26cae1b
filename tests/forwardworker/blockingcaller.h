#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush::test {

/** A caller's connection to a daemon on loopback. Not thread safe. */
class BlockingCaller
{
public:
    explicit BlockingCaller(std::uint16_t port)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
    }

    void write(std::string_view bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /**
     * Waits for an answer until \a deadline. \returns its status, 0 if the connection was closed,
     * or nothing if neither happened.
     */
    std::optional<int> readStatus(std::chrono::steady_clock::time_point deadline)
    {
        const std::string start = "HTTP/1.1 ";
        std::string text;
        while (std::chrono::steady_clock::now() < deadline) {
            const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
                deadline - std::chrono::steady_clock::now());
            timeval timeout{left.count() / 1'000'000, left.count() % 1'000'000 + 1};
            ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
                         sizeof timeout);
            std::array<char, 4096> bytes{};
            const ssize_t count = ::recv(m_socket.native_handle(), bytes.data(), bytes.size(), 0);
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
                return 0;
            if (count > 0)
                text.append(bytes.data(), static_cast<std::size_t>(count));
            if (text.size() >= start.size() + 3)
                return std::stoi(text.substr(start.size(), 3));
        }
        return std::nullopt;
    }

    void close()
    {
        asio::error_code ignored;
        m_socket.close(ignored);
    }

private:
    asio::io_context m_loop;
    asio::ip::tcp::socket m_socket{m_loop};
};

} // namespace bulrush::test

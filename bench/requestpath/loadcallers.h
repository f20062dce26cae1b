#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/** Latencies and failures that a number of callers measured. */
struct LoadResult
{
    std::vector<std::chrono::nanoseconds> latencies;
    std::chrono::nanoseconds elapsed{};
    std::size_t failures = 0;

    /** \returns the latency that \a share of the requests did not exceed. */
    std::chrono::nanoseconds quantile(double share)
    {
        if (latencies.empty())
            return {};
        const auto last = static_cast<double>(latencies.size() - 1);
        const auto position = latencies.begin() + static_cast<std::ptrdiff_t>(share * last);
        std::nth_element(latencies.begin(), position, latencies.end());
        return *position;
    }
};

/** Callers that each send a request as soon as the answer to the previous one has arrived. */
class LoadCallers
{
public:
    /**
     * Sends \a requests over \a callers persistent connections. The answers have to end in "echo".
     */
    static LoadResult run(std::uint16_t port, std::size_t callers, std::size_t requests)
    {
        LoadCallers load{requests};
        for (std::size_t i = 0; i < callers; ++i)
            asio::co_spawn(load.m_loop, load.call(port), asio::detached);
        const auto start = std::chrono::steady_clock::now();
        load.m_loop.run();
        load.m_result.elapsed = std::chrono::steady_clock::now() - start;
        return std::move(load.m_result);
    }

private:
    explicit LoadCallers(std::size_t requests)
        : m_left(requests)
    {
        m_result.latencies.reserve(requests);
    }

    asio::awaitable<void> call(std::uint16_t port)
    {
        try {
            co_await callUntilDone(port);
        } catch (const std::system_error &) {
            ++m_result.failures;
        }
    }

    asio::awaitable<void> callUntilDone(std::uint16_t port)
    {
        asio::ip::tcp::socket socket{m_loop};
        co_await socket.async_connect({asio::ip::address_v4::loopback(), port},
                                      asio::use_awaitable);
        socket.set_option(asio::ip::tcp::no_delay{true});
        const std::string request = "GET /key/1?x=y HTTP/1.1\r\nHost: bench\r\n\r\n";
        std::string buffer;
        while (m_left > 0) {
            --m_left;
            const auto start = std::chrono::steady_clock::now();
            co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
            const std::size_t length = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "echo", asio::use_awaitable);
            m_result.latencies.push_back(std::chrono::steady_clock::now() - start);
            m_result.failures += buffer.starts_with("HTTP/1.1 200") ? 0 : 1;
            buffer.erase(0, length);
        }
    }

    asio::io_context m_loop{1};
    std::size_t m_left;
    LoadResult m_result;
};

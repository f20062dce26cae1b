#pragma once

#include "forwardworker/trafficfixture.h"

#include <asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace bulrush::test {

/** How a StateServer treats the copies of a request until it is released. */
enum class Treatment {
    Hold,         ///< runs each copy, and answers it when it is released
    HoldInPart,   ///< runs each copy, and sends a part of the answer before it is released
    LeaveUnread,  ///< reads the head only; reads the body, and runs the copy, when it is released
    RefuseFirst,  ///< states that it did not run the first copy, and holds later ones
    PauseFirst,   ///< as RefuseFirst, and asks for a pause
    LoseFirst,    ///< runs the first copy and resets its connection, and holds later ones
    HoldAndLimit, ///< as Hold; answers to other requests name a limit
};

/** What a StateServer does with a copy that it holds when it is released. */
enum class Reply {
    Success,
    Close,
    Reset,
    RefuseAgain, ///< refuses the first copy once more if it came over this connection, then
                 ///< succeeds
    Status408,
    Status421,
    Status429,
    Status503,
    StatedOn200,
    StatedOn500,
    StatedOn504,
    StatedWithoutId, ///< 503 with the statement, but without the request's id
};

/**
 * A backend server that counts the copies of requests for `/once/` and `/read/` that it runs; it
 * runs a copy before it answers it in any way but with a refusal of a first copy. Other requests
 * are answered at once. Thread safe.
 */
class StateServer
{
public:
    explicit StateServer(Treatment treatment)
        : m_treatment(treatment)
    { }

    Endpoint endpoint() const
    {
        return endpointOf(m_backend.address());
    }

    /** Answers all copies, held and later ones, with \a reply. */
    void release(Reply reply)
    {
        m_reply = reply;
        m_isReleased = true;
    }

    /** \returns whether a copy is in the state that the treatment leads to. */
    bool hasCopy() const
    {
        return m_hasCopy;
    }

    /** \returns how often copies were run. */
    int runCount() const
    {
        return m_runCount;
    }

private:
    using Socket = ScriptedServer::Socket;

    asio::awaitable<void> serve(Socket &socket)
    {
        std::string buffer;
        bool hasRefused = false;
        for (;;) {
            const std::string head = co_await ScriptedServer::readHead(socket, buffer);
            const bool isCounted = head.find(" /once/") != std::string::npos
                || head.find(" /read/") != std::string::npos;
            if (!isCounted) {
                co_await ScriptedServer::write(socket, plainAnswer(head));
                continue;
            }
            if (!co_await handleCopy(socket, head, buffer, hasRefused))
                co_return;
        }
    }

    /**
     * \a hasRefused is set once a copy was refused on this connection. \returns whether the
     * connection stays open.
     */
    asio::awaitable<bool> handleCopy(Socket &socket, const std::string &head, std::string &buffer,
                                     bool &hasRefused)
    {
        const bool isFirst = m_copyCount++ == 0;
        if (m_treatment == Treatment::LeaveUnread) {
            m_hasCopy = true;
            co_await waitForRelease(socket);
        }
        co_await readBody(socket, head, buffer);
        const bool isRefusing =
            m_treatment == Treatment::RefuseFirst || m_treatment == Treatment::PauseFirst;
        if (isFirst && isRefusing) {
            co_await ScriptedServer::write(socket, refusal(head));
            hasRefused = true;
            m_hasCopy = true;
            co_return true;
        }
        ++m_runCount;
        if (isFirst && m_treatment == Treatment::LoseFirst) {
            ScriptedServer::reset(socket);
            co_return false;
        }
        if (m_treatment == Treatment::HoldInPart)
            co_await ScriptedServer::write(socket,
                                           answerHead(head) + "Content-Length: 4\r\n\r\nok");
        m_hasCopy = true;
        co_await waitForRelease(socket);
        if (m_reply == Reply::RefuseAgain && hasRefused)
            co_await ScriptedServer::write(socket, refusal(head));
        co_return co_await reply(socket, head);
    }

    asio::awaitable<void> waitForRelease(Socket &socket)
    {
        asio::steady_timer timer{socket.get_executor()};
        while (!m_isReleased) {
            timer.expires_after(std::chrono::milliseconds{3});
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    static asio::awaitable<void> readBody(Socket &socket, const std::string &head,
                                          std::string &buffer)
    {
        const std::string lengthText = fieldOf(head, "Content-Length");
        const std::size_t length = lengthText.empty() ? 0 : std::stoul(lengthText);
        if (buffer.size() < length)
            co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                                      asio::transfer_exactly(length - buffer.size()),
                                      asio::use_awaitable);
        buffer.erase(0, length);
    }

    asio::awaitable<bool> reply(Socket &socket, const std::string &head)
    {
        if (m_reply == Reply::Close || m_reply == Reply::Reset) {
            if (m_reply == Reply::Reset)
                ScriptedServer::reset(socket);
            co_return false;
        }
        if (m_treatment == Treatment::HoldInPart) {
            co_await ScriptedServer::write(socket, "ok");
            co_return true;
        }
        co_await ScriptedServer::write(socket, finalAnswer(head));
        co_return true;
    }

    std::string plainAnswer(const std::string &head) const
    {
        const std::string limit =
            m_treatment == Treatment::HoldAndLimit ? "Server-Limit: 50\r\n" : "";
        return answerHead(head) + limit + "Content-Length: 0\r\n\r\n";
    }

    std::string refusal(const std::string &head) const
    {
        const std::string pause =
            m_treatment == Treatment::PauseFirst ? "Retry-After: 0.3\r\n" : "";
        return answerOf(head, 503, true, pause);
    }

    static std::string answerOf(const std::string &head, int status, bool isStated,
                                const std::string &more = {})
    {
        return "HTTP/1.1 " + std::to_string(status)
            + " Text\r\nX-Bulrushswitch-Request-Id: " + fieldOf(head, "X-Bulrushswitch-Request-Id")
            + "\r\n" + (isStated ? "X-Bulrushswitch-Not-Executed: 1\r\n" : "") + more
            + "Content-Length: 0\r\n\r\n";
    }

    std::string finalAnswer(const std::string &head) const
    {
        switch (m_reply) {
        case Reply::Status408:
            return answerOf(head, 408, false);
        case Reply::Status421:
            return answerOf(head, 421, false);
        case Reply::Status429:
            return answerOf(head, 429, false);
        case Reply::Status503:
            return answerOf(head, 503, false);
        case Reply::StatedOn200:
            return answerOf(head, 200, true);
        case Reply::StatedOn500:
            return answerOf(head, 500, true);
        case Reply::StatedOn504:
            return answerOf(head, 504, true);
        case Reply::StatedWithoutId:
            return "HTTP/1.1 503 Text\r\nX-Bulrushswitch-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n";
        default:
            return answerOf(head, 200, false);
        }
    }

    const Treatment m_treatment;
    std::atomic<Reply> m_reply{Reply::Success};
    std::atomic<bool> m_isReleased{false};
    std::atomic<bool> m_hasCopy{false};
    std::atomic<int> m_copyCount{0};
    std::atomic<int> m_runCount{0};
    ScriptedBackend m_backend{[this](Socket &socket, int) {
        return serve(socket);
    }};
};

} // namespace bulrush::test

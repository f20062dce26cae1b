#pragma once

#include "connection/answerparser.h"
#include "connection/servercall.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace bulrush::io {

/**
 * One connection to a server. It carries one call at a time and never sends a request twice.
 *
 * Must be used on the event loop's thread only.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** Called when the connection was established, became free, or was closed. */
    using StateHandler = std::function<void(const std::shared_ptr<ServerConnection> &)>;

    /** Where a connection leads. */
    struct Target
    {
        Endpoint server;
        /** The run of the server that the connection is for. */
        std::string run;
        /** The address that the connection leaves from; if it is empty, the system chooses. */
        std::string source;
        ConnectionNumber number = 0;
        /** Account in which the bodies of answers are counted, if any. */
        std::shared_ptr<MemoryAccount> memory = nullptr;
    };

    ServerConnection(asio::io_context &loop, Target target, StateHandler stateHandler);

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /**
     * Sends \a call and passes its result to \a handler, which is never called from within this
     * method. \pre isFree()
     */
    void send(ServerCall call, ServerCallHandler handler);

    using OpenHandler = std::function<void(bool isConnected)>;

    /**
     * Connects with the time-outs of \a like, for later calls, and passes the result to \a handler.
     * \pre nothing was sent on it
     */
    void open(const ServerCall &like, OpenHandler handler = {});

    /** Closes the connection; the handler of a call on it is not called. */
    void close();

    const Endpoint &server() const;
    const std::string &run() const;
    ConnectionNumber number() const;

    /** \returns whether a call can be sent. */
    bool isFree() const;

    /** \returns whether the connection is closed. */
    bool isClosed() const;

    /** \returns whether the connection is established and not closed. */
    bool isConnected() const;

    /**
     * \returns whether the connection could not be established, or failed, or was closed by the
     * server without an announcement in an answer and before the idle time-out: the server may have
     * stopped.
     */
    bool isLost() const;

    /** \returns whether the address refused the connection: the server has stopped. */
    bool isRefused() const;

    /** \returns the time until which the connection may be reused. \pre isFree() */
    Instant idleUntil() const;

    /** \returns the times of the steps of the current call. */
    const CallTimes &times() const;

    /** \returns the stage of the current call. */
    TransferStage stage() const;

private:
    void connect();
    void bindToSource();
    void reportOpened(bool isConnected);
    void handleConnected(std::error_code error);
    void setOptions();
    void writeIfConfirmed();
    void write();
    void handleWritten(std::error_code error);
    void read();
    void handleRead(std::error_code error, std::size_t length);
    bool hasConnectionFailed() const;
    void startTimer(Instant deadline);
    void stopTimer();
    void extendDeadline(Instant deadline);
    void handleBytes(std::string_view bytes);
    /** \returns whether the answer belongs to the current call; any other answer is dropped. */
    bool handleAnswer(bool isLast);
    bool matchesCall(const HttpResponse &response) const;
    void withdrawCall();
    void failCall(std::error_code error);
    void endCall(HttpResult result);
    void handleTimeout();

    asio::io_context &m_loop;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    /** Distinguishes the current time-out from earlier ones whose handlers are already queued. */
    std::uint64_t m_timerNumber = 0;
    Target m_target;
    StateHandler m_stateHandler;
    AnswerParser m_parser;
    ServerCall m_call;
    ServerCallHandler m_handler;
    OpenHandler m_openHandler;
    std::string m_head;
    /** Why the write of the current call failed, if it did. */
    std::error_code m_writeError;
    std::array<char, 4096> m_buffer{};
    TransferStage m_stage = TransferStage::NotConnected;
    Instant m_idleUntil;
    Instant m_deadline;
    CallTimes m_times;
    /** The number of calls on this connection so far; opening it without a call counts as one. */
    int m_callCount = 0;
    bool m_isConnected = false;
    /** Whether the connection is being established without a call. */
    bool m_isOpening = false;
    bool m_isReading = false;
    bool m_isClosed = false;
    bool m_isLost = false;
    bool m_isRefused = false;
};

inline TransferStage ServerConnection::stage() const
{
    return m_stage;
}

inline const CallTimes &ServerConnection::times() const
{
    return m_times;
}

inline const Endpoint &ServerConnection::server() const
{
    return m_target.server;
}

inline const std::string &ServerConnection::run() const
{
    return m_target.run;
}

inline ConnectionNumber ServerConnection::number() const
{
    return m_target.number;
}

inline bool ServerConnection::isFree() const
{
    return !m_isClosed && !m_handler && !m_isOpening;
}

inline bool ServerConnection::isClosed() const
{
    return m_isClosed;
}

inline bool ServerConnection::isConnected() const
{
    return m_isConnected && !m_isClosed;
}

inline bool ServerConnection::isLost() const
{
    return m_isLost;
}

inline bool ServerConnection::isRefused() const
{
    return m_isRefused;
}

inline Instant ServerConnection::idleUntil() const
{
    return m_idleUntil;
}

} // namespace bulrush::io

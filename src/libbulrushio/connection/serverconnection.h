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
 * One connection to a server; it carries one call at a time and never sends a request twice.
 *
 * Used on the loop's thread only.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** Told when the connection was made, became free, or closed, for its pool. */
    using StateHandler = std::function<void(const std::shared_ptr<ServerConnection> &)>;

    /** \a run is the run of the server that it is to lead to. */
    ServerConnection(asio::io_context &loop, Endpoint server, std::string run,
                     StateHandler stateHandler);

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /** Sends \a call and hands its end to \a handler, never from within. \pre isFree() */
    void send(ServerCall call, ServerCallHandler handler);

    /** Connects as \a like would, for calls to come. \pre nothing was sent on it */
    void open(const ServerCall &like);

    /** Closes the connection; the handler of a call on it is not called any more. */
    void close();

    const Endpoint &server() const;
    const std::string &run() const;

    /** \returns whether a call can be sent. */
    bool isFree() const;

    /** \returns whether the connection has ended. */
    bool isClosed() const;

    /** \returns whether it is established and has not ended. */
    bool isConnected() const;

    /**
     * \returns whether it could not be made, or was ended by the other side, neither with an answer
     * that said so nor after the idle time that the server allows: the server may have ended.
     */
    bool isLost() const;

    /** \returns whether it could not be made as nobody listens: the server has ended. */
    bool isRefused() const;

    /** \returns until when the connection may be used again. \pre isFree() */
    Instant idleUntil() const;

    /** \returns when the call on it took its steps. */
    const CallTimes &times() const;

    /** \returns how far the call on it has come. */
    TransferStage stage() const;

private:
    void connect();
    void connected(std::error_code error);
    void setOptions();
    void write();
    void written(std::error_code error);
    void read();
    void received(std::error_code error, std::size_t length);
    void startTimer(Instant deadline);
    void extendDeadline(Instant deadline);
    void takeBytes(std::string_view bytes);
    /** \returns whether the answer is the call's own; another's is dropped. */
    bool takeAnswer(bool isLast);
    bool isOwnAnswer(const HttpResponse &response) const;
    void failCall(std::error_code error);
    void endCall(HttpResult result);
    void timedOut();

    asio::io_context &m_loop;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    Endpoint m_server;
    std::string m_run;
    StateHandler m_stateHandler;
    AnswerParser m_parser;
    ServerCall m_call;
    ServerCallHandler m_handler;
    std::string m_head;
    std::array<char, 4096> m_buffer{};
    TransferStage m_stage = TransferStage::NotConnected;
    Instant m_idleUntil;
    Instant m_deadline;
    CallTimes m_times;
    /** Calls that were sent on it so far. */
    int m_callCount = 0;
    bool m_isConnected = false;
    /** It is being made without a call. */
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
    return m_server;
}

inline const std::string &ServerConnection::run() const
{
    return m_run;
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

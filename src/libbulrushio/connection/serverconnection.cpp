#include "connection/serverconnection.h"

#include "connection/httpfield.h"
#include "connection/transporterror.h"
#include "process/hostclock.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace bulrush::io {

namespace {

/** Answers are kept in memory completely; longer ones are an error. */
constexpr std::size_t maxAnswerBodyBytes = std::size_t{32} << 20;
/** Idle time-out if the server announces none; servers usually allow 5 s or more. */
constexpr Duration defaultIdleTimeout = std::chrono::seconds{4};
/** Idle time-out of a connection that was opened without a call. */
constexpr Duration unusedIdleTimeout = std::chrono::minutes{1};
/**
 * Subtracted from the idle time-out that a server announces, so that its close doesn't coincide
 * with a new request.
 */
constexpr Duration idleTimeoutMargin = std::chrono::milliseconds{1200};
/** Idle time before the first TCP keep-alive probe, and the interval between probes. */
constexpr int keepAliveProbeSeconds = 1;
/** The connection fails after this many unanswered probes. */
constexpr int keepAliveProbeCount = 2;

template<typename Value>
void setSocketOption(asio::ip::tcp::socket &socket, int level, int name, Value value)
{
    // The options only speed up the detection of dead peers, so that errors can be ignored.
    static_cast<void>(::setsockopt(socket.native_handle(), level, name, &value, sizeof(Value)));
}

std::string requestHead(const ServerCall &call)
{
    std::string head = call.method + ' ' + call.target + " HTTP/1.1\r\n";
    for (const HttpHeader &header : call.headers)
        head += header.name + ": " + header.value + "\r\n";
    const std::size_t length = call.body ? call.body->size() : 0;
    const bool isBodyless = length == 0 && (call.method == "GET" || call.method == "HEAD");
    if (!isBodyless)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    return head + "\r\n";
}

} // namespace

ServerConnection::ServerConnection(asio::io_context &loop, Target target, StateHandler stateHandler)
    : m_loop(loop)
    , m_socket(loop)
    , m_timer(loop)
    , m_target(std::move(target))
    , m_stateHandler(std::move(stateHandler))
    , m_parser(maxAnswerBodyBytes, m_target.memory)
{ }

void ServerConnection::send(ServerCall call, ServerCallHandler handler)
{
    m_call = std::move(call);
    m_handler = std::move(handler);
    ++m_callCount;
    m_head = requestHead(m_call);
    m_parser.begin(m_call.method == "HEAD");
    m_stage = TransferStage::NotConnected;
    m_writeError = {};
    m_times = {};
    m_deadline = hostNow() + m_call.timeout;
    if (m_isConnected)
        writeIfConfirmed();
    else
        connect();
}

void ServerConnection::open(const ServerCall &like, OpenHandler handler)
{
    m_openHandler = std::move(handler);
    m_isOpening = true;
    ++m_callCount;
    m_call.connectTimeout = like.connectTimeout;
    m_call.timeout = like.timeout;
    m_call.acknowledgeTimeout = like.acknowledgeTimeout;
    connect();
}

void ServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_handler = nullptr;
    stopTimer();
    asio::error_code ignored;
    m_socket.close(ignored);
    asio::post(m_loop, [self = shared_from_this()] { self->m_stateHandler(self); });
}

void ServerConnection::connect()
{
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(m_target.server.address, error);
    if (error) {
        asio::post(m_loop, [self = shared_from_this()] {
            self->failCall(TransportError::ConnectionFailed);
        });
        return;
    }
    startTimer(hostNow() + std::min(m_call.connectTimeout, m_call.timeout));
    bindToSource();
    m_socket.async_connect(
        {address, m_target.server.port},
        [self = shared_from_this()](asio::error_code failure) { self->handleConnected(failure); });
}

/**
 * Binds the socket to the source address, if there is one. If that fails, the system chooses the
 * address.
 */
void ServerConnection::bindToSource()
{
    if (m_target.source.empty())
        return;
    asio::error_code ignored;
    const asio::ip::tcp::endpoint source{asio::ip::make_address(m_target.source, ignored), 0};
    m_socket.open(source.protocol(), ignored);
    // The port is chosen when connecting, so that connections to different servers can share it.
    setSocketOption(m_socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    m_socket.bind(source, ignored);
}

void ServerConnection::handleConnected(std::error_code error)
{
    if (m_isClosed || (!m_handler && !m_isOpening))
        return;
    if (error) {
        m_isRefused = error == asio::error::connection_refused;
        failCall(TransportError::ConnectionFailed);
        return;
    }
    m_isConnected = true;
    setOptions();
    if (std::exchange(m_isOpening, false)) {
        stopTimer();
        m_call = {};
        m_idleUntil = hostNow() + unusedIdleTimeout;
        read();
        m_stateHandler(shared_from_this());
        reportOpened(true);
        return;
    }
    m_stateHandler(shared_from_this());
    if (hostNow() > m_call.sendDeadline)
        failCall(TransportError::TimedOut);
    else
        writeIfConfirmed();
}

void ServerConnection::setOptions()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto acknowledgeTimeoutMs =
        duration_cast<milliseconds>(m_call.acknowledgeTimeout).count();
    setSocketOption(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                    static_cast<int>(acknowledgeTimeoutMs));
    // Closes with a reset, also when the system closes the socket at process exit: bytes that are
    // delayed by a network partition must not reach the server after their call has failed.
    m_socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    if (!m_call.usesTcpKeepAlive)
        return;
    setSocketOption(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveProbeSeconds);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveProbeSeconds);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
}

/** Sends the call unless it is withdrawn; its handler is never called from here. */
void ServerConnection::writeIfConfirmed()
{
    if (!m_call.confirmSend || m_call.confirmSend())
        write();
    else
        asio::post(m_loop, [self = shared_from_this()] { self->withdrawCall(); });
}

void ServerConnection::write()
{
    m_stage = TransferStage::Sending;
    m_times.connectedAt = hostNow();
    startTimer(m_deadline);
    std::array<asio::const_buffer, 2> parts{asio::buffer(m_head), {}};
    if (m_call.body)
        parts[1] = asio::buffer(*m_call.body);
    asio::async_write(m_socket, parts,
                      [self = shared_from_this(), body = m_call.body](
                          asio::error_code error, std::size_t) { self->handleWritten(error); });
    read();
}

void ServerConnection::handleWritten(std::error_code error)
{
    if (m_isClosed || !m_handler)
        return;
    // After a failed write the read decides the result: the server may have answered and closed.
    m_writeError = error;
    if (error)
        return;
    m_stage = TransferStage::Sent;
    m_times.writtenAt = hostNow();
}

void ServerConnection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](asio::error_code error, std::size_t length) {
            self->m_isReading = false;
            self->handleRead(error, length);
        });
}

void ServerConnection::handleRead(std::error_code error, std::size_t length)
{
    if (m_isClosed)
        return;
    if (!m_handler) {
        // The server closed the connection or sent unrequested bytes; it can't be reused.
        m_isLost = error && hostNow() < m_idleUntil;
        close();
        return;
    }
    if (m_stage == TransferStage::NotConnected) {
        // Nothing of the call was sent, and the connection can't be kept.
        m_isConnected = false;
        endCall({TransportError::CallWithdrawn, m_stage, {}});
        return;
    }
    if (!error) {
        handleBytes({m_buffer.data(), length});
        return;
    }
    // Only an orderly close can mark the end of an answer without a length.
    if (error == asio::error::eof && !hasConnectionFailed())
        m_parser.finish();
    if (m_parser.isComplete()) {
        if (!handleAnswer(false))
            failCall(TransportError::AnswerMismatched);
        return;
    }
    if (m_parser.error())
        failCall(m_parser.error());
    else
        failCall(m_parser.hasBegun() ? TransportError::AnswerTruncated
                                     : TransportError::ConnectionLost);
}

/**
 * \returns whether the connection was reset or timed out before the server closed it. The system
 * reports an error of a connection once only: if the write takes it, the read sees an end of file.
 * A broken pipe is the error of a write after the server's orderly close.
 */
bool ServerConnection::hasConnectionFailed() const
{
    return m_writeError && m_writeError != asio::error::broken_pipe;
}

/** Fails the current call or connection attempt at \a deadline. */
void ServerConnection::startTimer(Instant deadline)
{
    stopTimer();
    m_timer.expires_after(std::max(Duration::zero(), deadline - hostNow()));
    m_timer.async_wait(
        [self = shared_from_this(), number = m_timerNumber](asio::error_code failure) {
            if (!failure && number == self->m_timerNumber)
                self->handleTimeout();
        });
}

void ServerConnection::stopTimer()
{
    ++m_timerNumber;
    m_timer.cancel();
}

void ServerConnection::extendDeadline(Instant deadline)
{
    if (deadline <= m_deadline)
        return;
    m_deadline = deadline;
    startTimer(m_deadline);
}

void ServerConnection::handleBytes(std::string_view bytes)
{
    if (!m_parser.hasBegun() && m_call.answerTimeout > Duration::zero())
        extendDeadline(hostNow() + m_call.answerTimeout);
    while (!bytes.empty()) {
        bytes.remove_prefix(m_parser.feed(bytes));
        if (m_parser.error()) {
            failCall(m_parser.error());
            return;
        }
        if (m_parser.isComplete() && handleAnswer(bytes.empty()))
            return;
    }
    read();
}

bool ServerConnection::handleAnswer(bool isLast)
{
    // If the answer ends before the request is sent, the server still expects the rest of it on
    // this connection.
    const bool isReusable = isLast && m_parser.keepsConnection() && m_stage == TransferStage::Sent;
    const std::optional<Duration> keepAliveTime = m_parser.keepAlive();
    HttpResponse response = m_parser.takeResponse();
    if (!matchesCall(response)) {
        m_parser.begin(m_call.method == "HEAD");
        return false;
    }
    m_isConnected = isReusable;
    m_idleUntil =
        hostNow() + (keepAliveTime ? *keepAliveTime - idleTimeoutMargin : defaultIdleTimeout);
    endCall({{}, TransferStage::Answered, std::move(response)});
    return true;
}

bool ServerConnection::matchesCall(const HttpResponse &response) const
{
    if (m_call.echoedField.empty())
        return true;
    const HttpHeader *sentField = findField(m_call.headers, m_call.echoedField);
    const std::vector<std::string_view> echoed = fieldValues(response.headers, m_call.echoedField);
    // Without the field, the answer can only be attributed if this is the connection's first call.
    if (echoed.empty())
        return m_callCount == 1;
    return sentField && std::ranges::all_of(echoed, [sentField](std::string_view value) {
               return value == sentField->value;
           });
}

/** Ends the current call, of which nothing was sent, and keeps the connection. */
void ServerConnection::withdrawCall()
{
    if (!m_handler)
        return;
    if (m_callCount == 1)
        m_idleUntil = hostNow() + unusedIdleTimeout;
    endCall({TransportError::CallWithdrawn, m_stage, {}});
}

void ServerConnection::failCall(std::error_code error)
{
    if (!m_handler && !m_isOpening)
        return;
    m_isConnected = false;
    // A time-out does not show that the server has stopped.
    m_isLost = error != TransportError::TimedOut;
    if (std::exchange(m_isOpening, false)) {
        close();
        reportOpened(false);
    } else {
        endCall({error, m_stage, {}});
    }
}

void ServerConnection::reportOpened(bool isConnected)
{
    const OpenHandler handler = std::exchange(m_openHandler, nullptr);
    if (handler)
        handler(isConnected);
}

void ServerConnection::endCall(HttpResult result)
{
    stopTimer();
    const ServerCallHandler handler = std::exchange(m_handler, nullptr);
    m_call = {};
    m_head = {};
    if (m_isConnected) {
        read();
        m_stateHandler(shared_from_this());
    } else {
        close();
    }
    result.times = m_times;
    result.connection = m_target.number;
    handler(std::move(result));
}

void ServerConnection::handleTimeout()
{
    const bool isConnecting = m_stage == TransferStage::NotConnected;
    failCall(isConnecting ? TransportError::ConnectionFailed : TransportError::TimedOut);
}

} // namespace bulrush::io

#include "connection/serverconnection.h"

#include "connection/httpfield.h"
#include "connection/transporterror.h"
#include "process/hostclock.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace bulrush::io {

namespace {

/** Answers are held whole; the longest that is taken. */
constexpr std::size_t answerBodyLimit = std::size_t{32} << 20;
/** For how long a connection is kept where the server says nothing: below the usual 5 s and up. */
constexpr Duration defaultIdleTime = std::chrono::seconds{4};
/** The same for one that was made for calls to come. */
constexpr Duration unusedIdleTime = std::chrono::minutes{1};
/** Left of the time that a server says, so that its close doesn't cross a request. */
constexpr Duration idleMargin = std::chrono::milliseconds{1200};
/** A silent connection is probed after this, and given up after as much again. */
constexpr int probeSeconds = 1;
constexpr int probeCount = 2;
template<typename Value>
void setSocketOption(asio::ip::tcp::socket &socket, int level, int name, Value value)
{
    // Only a help to notice dead peers sooner; a host that refuses it loses nothing else.
    static_cast<void>(::setsockopt(socket.native_handle(), level, name, &value, sizeof(Value)));
}

std::string headText(const ServerCall &call)
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

ServerConnection::ServerConnection(asio::io_context &loop, Endpoint server, std::string run,
                                   StateHandler stateHandler)
    : m_loop(loop)
    , m_socket(loop)
    , m_timer(loop)
    , m_server(std::move(server))
    , m_run(std::move(run))
    , m_stateHandler(std::move(stateHandler))
    , m_parser(answerBodyLimit)
{ }

void ServerConnection::send(ServerCall call, ServerCallHandler handler)
{
    m_call = std::move(call);
    m_handler = std::move(handler);
    ++m_callCount;
    m_head = headText(m_call);
    m_parser.begin(m_call.method == "HEAD");
    m_stage = TransferStage::NotConnected;
    m_times = {};
    m_deadline = hostNow() + m_call.timeout;
    if (m_isConnected)
        write();
    else
        connect();
}

void ServerConnection::open(const ServerCall &like)
{
    m_isOpening = true;
    m_call.connectTimeout = like.connectTimeout;
    m_call.timeout = like.timeout;
    m_call.acknowledgeWithin = like.acknowledgeWithin;
    connect();
}

void ServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_handler = nullptr;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    asio::post(m_loop, [self = shared_from_this()] { self->m_stateHandler(self); });
}

void ServerConnection::connect()
{
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(m_server.address, error);
    if (error) {
        asio::post(m_loop, [self = shared_from_this()] {
            self->failCall(TransportError::ConnectionFailed);
        });
        return;
    }
    startTimer(hostNow() + std::min(m_call.connectTimeout, m_call.timeout));
    m_socket.async_connect(
        {address, m_server.port},
        [self = shared_from_this()](asio::error_code failure) { self->connected(failure); });
}

void ServerConnection::connected(std::error_code error)
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
        m_timer.cancel();
        m_call = {};
        m_idleUntil = hostNow() + unusedIdleTime;
        read();
        m_stateHandler(shared_from_this());
        return;
    }
    m_stateHandler(shared_from_this());
    if (hostNow() > m_call.sendBy)
        failCall(TransportError::TimedOut);
    else
        write();
}

void ServerConnection::setOptions()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto unacknowledged = duration_cast<milliseconds>(m_call.acknowledgeWithin).count();
    setSocketOption(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged));
    // Every close is a reset, also by the system when the process ends: bytes that a cut held up
    // must not reach the server after their call was given up.
    m_socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    if (!m_call.isProbed)
        return;
    setSocketOption(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
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
                          asio::error_code error, std::size_t) { self->written(error); });
    read();
}

void ServerConnection::written(std::error_code error)
{
    if (m_isClosed || !m_handler)
        return;
    // A failed write leaves the end to the reader: the server may have answered and closed.
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
            self->received(error, length);
        });
}

void ServerConnection::received(std::error_code error, std::size_t length)
{
    if (m_isClosed)
        return;
    if (!m_handler) {
        // The server closes, or sends what nobody asked for: either way, of no further use.
        m_isLost = error && hostNow() < m_idleUntil;
        close();
        return;
    }
    if (!error) {
        takeBytes({m_buffer.data(), length});
        return;
    }
    // Only a proper end of the connection can be the end of an answer without a length.
    if (error == asio::error::eof)
        m_parser.finish();
    if (m_parser.isComplete()) {
        if (!takeAnswer(false))
            failCall(TransportError::AnswerMismatched);
        return;
    }
    if (m_parser.error())
        failCall(m_parser.error());
    else
        failCall(m_parser.hasBegun() ? TransportError::AnswerTruncated
                                     : TransportError::ConnectionLost);
}

/** Gives up what the connection is at, at \a deadline and not before. */
void ServerConnection::startTimer(Instant deadline)
{
    m_timer.expires_after(std::max(Duration::zero(), deadline - hostNow()));
    m_timer.async_wait([self = shared_from_this()](asio::error_code failure) {
        if (!failure)
            self->timedOut();
    });
}

void ServerConnection::extendDeadline(Instant deadline)
{
    if (deadline <= m_deadline)
        return;
    m_deadline = deadline;
    startTimer(m_deadline);
}

void ServerConnection::takeBytes(std::string_view bytes)
{
    if (!m_parser.hasBegun() && m_call.answerWithin > Duration::zero())
        extendDeadline(hostNow() + m_call.answerWithin);
    while (!bytes.empty()) {
        bytes.remove_prefix(m_parser.feed(bytes));
        if (m_parser.error()) {
            failCall(m_parser.error());
            return;
        }
        if (m_parser.isComplete() && takeAnswer(bytes.empty()))
            return;
    }
    read();
}

bool ServerConnection::takeAnswer(bool isLast)
{
    // An answer before the end of the request leaves the rest of the request due on the connection.
    const bool isReusable = isLast && m_parser.keepsConnection() && m_stage == TransferStage::Sent;
    const std::optional<Duration> kept = m_parser.keepAlive();
    HttpResponse response = m_parser.takeResponse();
    if (!isOwnAnswer(response)) {
        m_parser.begin(m_call.method == "HEAD");
        return false;
    }
    m_isConnected = isReusable;
    m_idleUntil = hostNow() + (kept ? *kept - idleMargin : defaultIdleTime);
    endCall({{}, TransferStage::Answered, std::move(response)});
    return true;
}

bool ServerConnection::isOwnAnswer(const HttpResponse &response) const
{
    if (m_call.echoedField.empty())
        return true;
    const HttpHeader *asked = findField(m_call.headers, m_call.echoedField);
    const HttpHeader *told = findField(response.headers, m_call.echoedField);
    // Without the field it can only be this call's if there was no other before on the connection.
    if (!told)
        return m_callCount == 1;
    return asked && asked->value == told->value;
}

void ServerConnection::failCall(std::error_code error)
{
    if (!m_handler && !m_isOpening)
        return;
    m_isConnected = false;
    // Of a server that has not answered in time it is not known.
    m_isLost = error != TransportError::TimedOut;
    if (std::exchange(m_isOpening, false))
        close();
    else
        endCall({error, m_stage, {}});
}

void ServerConnection::endCall(HttpResult result)
{
    m_timer.cancel();
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
    handler(std::move(result));
}

void ServerConnection::timedOut()
{
    const bool isConnecting = m_stage == TransferStage::NotConnected;
    failCall(isConnecting ? TransportError::ConnectionFailed : TransportError::TimedOut);
}

} // namespace bulrush::io

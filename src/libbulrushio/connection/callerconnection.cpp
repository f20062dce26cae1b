#include "connection/callerconnection.h"

#include "connection/acknowledgedbytes.h"
#include "connection/httpstatus.h"
#include "process/hostclock.h"

#include <asio/post.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace bulrush::io {

namespace {

constexpr std::chrono::seconds lingerTimeout{2};
constexpr std::size_t discardBufferSize = 4096;
constexpr std::size_t maxDiscardedBytes = std::size_t{1024} * 1024;
constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int serviceUnavailable = 503;
/** Pause that a caller is asked for whose body found no room in memory. */
constexpr std::string_view retryAfterSeconds = "1";
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

thread_local CallerConnection *activeConnection = nullptr;

void sendNonBlocking(asio::ip::tcp::socket &socket, std::string_view bytes)
{
    // The text is short and the send buffer empty. It only fails to fit if the caller does not
    // read.
    const ssize_t sent =
        ::send(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    static_cast<void>(sent);
}

std::string formatRefusal(int status)
{
    const HttpResponse response = refusal(status);
    std::string text = statusLine(status);
    for (const HttpHeader &header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    if (status == serviceUnavailable)
        text += "Retry-After: " + std::string{retryAfterSeconds} + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    return text + "Connection: close\r\n\r\n" + response.body;
}

} // namespace

CallerConnection::CallerConnection(asio::io_context &loop)
    : m_socket(loop)
    , m_lingerTimer(loop)
{ }

CallerConnection::~CallerConnection()
{
    if (const auto registry = m_registry.lock())
        registry->remove(this);
}

asio::ip::tcp::socket &CallerConnection::socket()
{
    return m_socket;
}

bool CallerConnection::isOpen() const
{
    return !m_isClosed && m_socket.is_open();
}

bool CallerConnection::hasCallerClosed()
{
    if (!isOpen())
        return true;
    // Unlike a peek at the next byte, the poll shows a close behind unread bytes.
    pollfd state{m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

void CallerConnection::registerWith(const std::shared_ptr<CallerRegistry> &registry)
{
    m_registry = registry;
    m_server = registry->server();
    m_bufferedBodyLimit = registry->bufferedBodyLimit();
    m_bodyMemory = registry->newBodyMemory();
    m_waitingSince = hostNow();
    registry->add(this);
}

std::uint64_t CallerConnection::bufferedBodyLimit() const
{
    return m_bufferedBodyLimit;
}

bool CallerConnection::reserveBody(std::uint64_t length)
{
    const bool isFirst = m_bodyMemory.bytes() == 0;
    if (!m_bodyMemory.growTo(length))
        return false;
    if (isFirst)
        m_bodyMemory.setTransfer(bodyTransfer());
    return true;
}

MemoryHolder CallerConnection::takeBodyMemory()
{
    m_bodyMemory.clearTransfer();
    const auto registry = m_registry.lock();
    return std::exchange(m_bodyMemory, registry ? registry->newBodyMemory() : MemoryHolder{});
}

/** \returns the transfer of a buffered body. This object outlives it, as it holds the memory. */
Transfer CallerConnection::bodyTransfer()
{
    // While an earlier request is open, a close would cut off its answer.
    return {[this] { return m_openExchanges > 0 ? std::nullopt : std::optional{m_unhandledBytes}; },
            [this] {
                close();
            }};
}

Transfer CallerConnection::answerTransfer()
{
    return {[weak = weak_from_this()]() -> std::optional<std::uint64_t> {
                const auto self = weak.lock();
                return self ? acknowledgedBytes(self->m_socket.native_handle()) : std::nullopt;
            },
            [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->closeNow();
            }};
}

void CallerConnection::recordRead(std::error_code error, std::size_t length)
{
    m_unhandledBytes += length;
    m_hasReadFailed = m_hasReadFailed || error;
}

void CallerConnection::recordRequest()
{
    m_unhandledBytes = 0;
}

void CallerConnection::recordUpload(std::uint64_t length)
{
    m_upload = length;
    recordRequest();
}

std::optional<std::uint64_t> CallerConnection::takeUpload()
{
    return std::exchange(m_upload, std::nullopt);
}

void CallerConnection::refuse(int status)
{
    m_refusal = status;
}

void CallerConnection::sendContinue()
{
    if (m_openExchanges == 0)
        sendNonBlocking(m_socket, continueLine);
}

int CallerConnection::beginExchange(const std::shared_ptr<CallerLink> &link)
{
    ++m_openExchanges;
    std::erase_if(m_links, [](const auto &other) { return other.expired(); });
    m_links.push_back(link);
    return ++m_exchanges;
}

void CallerConnection::endExchange()
{
    --m_openExchanges;
    m_waitingSince = hostNow();
}

bool CallerConnection::decideClose(int number, bool isCloseRequested)
{
    const auto registry = m_registry.lock();
    const bool isDraining = !registry || registry->isDraining();
    // Closing after this answer would cut off the answers to later requests.
    const bool isClosing = isCloseRequested || (isDraining && number == m_exchanges);
    m_acceptsRequests = m_acceptsRequests && !isClosing;
    return isClosing;
}

void CallerConnection::stopAcceptingRequests()
{
    m_acceptsRequests = false;
}

bool CallerConnection::acceptsRequests() const
{
    // A request that was being read when the connection closed may still complete.
    return m_acceptsRequests && isOpen();
}

std::optional<Instant> CallerConnection::waitingSince() const
{
    return m_openExchanges > 0 || m_isClosed ? std::nullopt : std::optional{m_waitingSince};
}

void CallerConnection::closeIfIdle()
{
    asio::error_code unknown;
    const bool isRequestComing = m_unhandledBytes > 0 || m_socket.available(unknown) > 0;
    if (m_openExchanges > 0 || isRequestComing)
        return;
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

void CallerConnection::close()
{
    if (m_isClosed)
        return;
    const std::optional<int> refusal = pendingRefusal();
    if (!refusal) {
        closeNow();
        return;
    }
    sendNonBlocking(m_socket, formatRefusal(*refusal));
    lingerAndClose();
}

void CallerConnection::lingerAndClose()
{
    m_isClosed = true;
    notifyLinks();
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.cancel(ignored);
    m_discardBuffer.resize(discardBufferSize);
    m_lingerTimer.expires_after(lingerTimeout);
    m_lingerTimer.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error)
            self->closeNow();
    });
    discardIncoming();
}

void CallerConnection::closeNow()
{
    m_isClosed = true;
    notifyLinks();
    m_lingerTimer.cancel();
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

CallerConnection::Scope::Scope(CallerConnection *connection)
    : m_outer(std::exchange(activeConnection, connection))
{ }

CallerConnection::Scope::~Scope()
{
    activeConnection = m_outer;
}

CallerConnection *CallerConnection::current()
{
    return activeConnection;
}

std::optional<int> CallerConnection::pendingRefusal() const
{
    if (m_openExchanges > 0 || !m_acceptsRequests || m_hasReadFailed || !m_socket.is_open())
        return std::nullopt;
    if (m_refusal)
        return m_refusal;
    if (m_unhandledBytes == 0)
        return std::nullopt;
    // The parser closes the connection while its bytes are being handled; a time-out does not.
    return activeConnection == this ? badRequest : requestTimeout;
}

void CallerConnection::notifyLinks()
{
    for (const std::weak_ptr<CallerLink> &weak : std::exchange(m_links, {})) {
        if (const auto link = weak.lock())
            asio::post(m_socket.get_executor(), [link] { link->notifyDisconnect(); });
    }
}

void CallerConnection::discardIncoming()
{
    m_socket.async_read_some(
        asio::buffer(m_discardBuffer),
        [self = shared_from_this()](asio::error_code error, std::size_t length) {
            self->m_discardedBytes += length;
            if (error || self->m_discardedBytes > maxDiscardedBytes)
                self->closeNow();
            else
                self->discardIncoming();
        });
}

void CallerRegistry::setServer(std::weak_ptr<void> server)
{
    m_server = std::move(server);
}

std::shared_ptr<void> CallerRegistry::server() const
{
    return m_server.lock();
}

void CallerRegistry::setBufferedBodyLimit(std::uint64_t limit)
{
    m_bufferedBodyLimit = limit;
}

std::uint64_t CallerRegistry::bufferedBodyLimit() const
{
    return m_bufferedBodyLimit;
}

void CallerRegistry::setMemory(std::shared_ptr<MemoryAccount> memory)
{
    m_memory = std::move(memory);
}

MemoryHolder CallerRegistry::newBodyMemory() const
{
    return MemoryHolder{m_memory, MemoryUse::Request};
}

void CallerRegistry::setEvictionThreshold(std::size_t count)
{
    m_evictionThreshold = count;
}

void CallerRegistry::add(CallerConnection *connection)
{
    if (m_connections.size() >= m_evictionThreshold)
        evictLongestIdle();
    m_connections.push_back(connection);
}

/**
 * Closes the connection that has waited longest without an open request. Bytes that arrive do not
 * count: a caller that sends its request slowly gives way before one that was just answered.
 */
void CallerRegistry::evictLongestIdle()
{
    CallerConnection *longest = nullptr;
    for (CallerConnection *connection : m_connections) {
        const std::optional<Instant> since = connection->waitingSince();
        if (since && (!longest || *since < *longest->waitingSince()))
            longest = connection;
    }
    if (!longest)
        return;
    ++m_evictionCount;
    longest->close();
}

std::uint64_t CallerRegistry::evictionCount() const
{
    return m_evictionCount;
}

void CallerRegistry::remove(CallerConnection *connection)
{
    std::erase(m_connections, connection);
}

std::size_t CallerRegistry::count() const
{
    return m_connections.size();
}

void CallerRegistry::drain()
{
    m_isDraining = true;
}

void CallerRegistry::closeIdle()
{
    for (CallerConnection *connection : std::vector{m_connections})
        connection->closeIfIdle();
}

void CallerRegistry::closeNow()
{
    m_isDraining = true;
    for (CallerConnection *connection : std::vector{m_connections})
        connection->closeNow();
}

bool CallerRegistry::isDraining() const
{
    return m_isDraining;
}

} // namespace bulrush::io

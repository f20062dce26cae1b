#include "connection/uploadlink.h"

#include "connection/callerconnection.h"
#include "connection/transporterror.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace bulrush::io {

UploadLink::UploadLink(std::shared_ptr<CallerConnection> connection, std::string firstBytes,
                       std::uint64_t length, ProgressLimits limits,
                       std::shared_ptr<void> lifetimeMonitor)
    : m_connection(std::move(connection))
    , m_lifetimeMonitor(std::move(lifetimeMonitor))
    , m_limits(limits)
    , m_readTimer(m_connection->socket().get_executor())
    , m_writeTimer(m_connection->socket().get_executor())
    , m_firstBytes(std::move(firstBytes))
    , m_length(length)
    , m_bytesLeft(length - m_firstBytes.size())
{ }

UploadLink::~UploadLink()
{
    if (!m_isFinished)
        m_connection->closeNow();
}

void UploadLink::readBody(BodyHandler handler)
{
    m_bodyHandler = std::move(handler);
    if (m_isFinished)
        postBodyResult(TransportError::CallerDisconnected, {});
    else if (!m_firstBytes.empty())
        postBodyResult({}, std::exchange(m_firstBytes, {}));
    else if (m_bytesLeft == 0)
        postBodyResult({}, {});
    else
        readMore();
}

void UploadLink::write(std::string bytes, WritePart part, WrittenHandler handler)
{
    m_writes.push_back({std::move(bytes), part, std::move(handler)});
    if (m_writes.size() == 1)
        writeNext();
}

void UploadLink::abort()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_readTimer.cancel();
    m_writeTimer.cancel();
    m_connection->closeNow();
}

bool UploadLink::decideClose(bool)
{
    return true;
}

bool UploadLink::hasCallerClosed()
{
    return m_connection->hasCallerClosed();
}

Transfer UploadLink::bodyTransfer()
{
    return {[weak = weak_from_this()]() -> std::optional<std::uint64_t> {
                const auto self = weak.lock();
                if (!self || !self->m_bodyHandler || self->m_bytesLeft == 0)
                    return std::nullopt;
                return self->m_length - self->m_bytesLeft;
            },
            [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->stopReading();
            }};
}

Transfer UploadLink::answerTransfer()
{
    return m_connection->answerTransfer();
}

/** Ends the read with an error; the caller can still receive an answer. */
void UploadLink::stopReading()
{
    asio::error_code ignored;
    m_hasStalled = true;
    m_connection->socket().cancel(ignored);
}

void UploadLink::readMore()
{
    m_readTimer.expires_after(m_limits.bodyIdleTimeout);
    m_readTimer.async_wait([weak = weak_from_this()](asio::error_code error) {
        if (const auto self = weak.lock(); self && !error)
            self->stopReading();
    });
    m_buffer.resize(static_cast<std::size_t>(std::min<std::uint64_t>(maxReadBytes, m_bytesLeft)));
    m_connection->socket().async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](asio::error_code error, std::size_t length) {
            self->m_readTimer.cancel();
            self->handleBodyRead(error, length);
        });
}

void UploadLink::handleBodyRead(std::error_code error, std::size_t length)
{
    if (error) {
        const auto handler = std::exchange(m_bodyHandler, nullptr);
        if (handler)
            handler(TransportError::RequestTruncated, {});
        if (!m_hasStalled)
            handleDisconnect(); // a stalled caller can still receive an answer
        return;
    }
    m_bytesLeft -= length;
    m_buffer.resize(length);
    if (m_bytesLeft == 0)
        watchForClose();
    if (const auto handler = std::exchange(m_bodyHandler, nullptr))
        handler({}, std::exchange(m_buffer, {}));
}

void UploadLink::watchForClose()
{
    if (std::exchange(m_isWatchingForClose, true) || m_isFinished)
        return;
    auto &socket = m_connection->socket();
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [weak = weak_from_this()](std::error_code error) {
                          const auto self = weak.lock();
                          if (error || !self || self->m_isFinished)
                              return;
                          char byte = 0;
                          const int descriptor = self->m_connection->socket().native_handle();
                          if (::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
                              self->handleDisconnect();
                      });
}

void UploadLink::handleDisconnect()
{
    if (m_isFinished)
        return;
    abort();
    notifyDisconnect();
}

void UploadLink::writeNext()
{
    if (m_isFinished) {
        asio::post(m_connection->socket().get_executor(), [self = shared_from_this()] {
            self->handleWritten(TransportError::CallerDisconnected);
        });
        return;
    }
    m_writeTimer.expires_after(m_limits.writeTimeout);
    m_writeTimer.async_wait([weak = weak_from_this()](asio::error_code error) {
        if (const auto self = weak.lock(); self && !error)
            self->handleDisconnect();
    });
    asio::async_write(m_connection->socket(), asio::buffer(m_writes.front().bytes),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          self->m_writeTimer.cancel();
                          self->handleWritten(
                              error ? make_error_code(TransportError::CallerDisconnected)
                                    : std::error_code{});
                      });
}

void UploadLink::handleWritten(std::error_code error)
{
    const Write write = std::move(m_writes.front());
    m_writes.pop_front();
    if (!m_writes.empty())
        asio::post(m_connection->socket().get_executor(),
                   [self = shared_from_this()] { self->writeNext(); });
    if (write.handler)
        write.handler(error);
    if (error) {
        handleDisconnect();
    } else if (write.part != WritePart::More && !m_isFinished) {
        m_isFinished = true;
        m_connection->lingerAndClose();
    }
}

void UploadLink::postBodyResult(std::error_code error, std::string bytes)
{
    asio::post(m_connection->socket().get_executor(),
               [self = shared_from_this(), error, bytes = std::move(bytes)]() mutable {
                   if (const auto handler = std::exchange(self->m_bodyHandler, nullptr))
                       handler(error, std::move(bytes));
               });
}

} // namespace bulrush::io

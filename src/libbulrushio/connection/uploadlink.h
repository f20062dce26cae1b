#pragma once

#include "connection/callerlink.h"
#include "process/clock.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace bulrush::io {

class CallerConnection;

/** Time-outs of a caller's connection without progress. */
struct ProgressLimits
{
    Duration bodyIdleTimeout;
    Duration writeTimeout;
};

/**
 * The link of a request with a large body. It reads from the caller's socket only when readBody()
 * requests more, and closes the connection after the answer.
 */
class UploadLink
    : public CallerLink
    , public std::enable_shared_from_this<UploadLink>
{
public:
    /**
     * \a lifetimeMonitor is kept until the link is destroyed, so that the connection counts towards
     * the server's connection limit.
     */
    UploadLink(std::shared_ptr<CallerConnection> connection, std::string firstBytes,
               std::uint64_t length, ProgressLimits limits, std::shared_ptr<void> lifetimeMonitor);
    ~UploadLink() override;

    void readBody(BodyHandler handler) override;
    void write(std::string bytes, WritePart part, WrittenHandler handler) override;
    void abort() override;
    bool decideClose(bool isCloseRequested) override;
    bool hasCallerClosed() override;
    Transfer bodyTransfer() override;
    Transfer answerTransfer() override;

private:
    struct Write
    {
        std::string bytes;
        WritePart part;
        WrittenHandler handler;
    };

    void readMore();
    void stopReading();
    void handleBodyRead(std::error_code error, std::size_t length);
    void watchForClose();
    void handleDisconnect();
    void writeNext();
    void handleWritten(std::error_code error);
    void postBodyResult(std::error_code error, std::string bytes);

    static constexpr std::size_t maxReadBytes = std::size_t{64} * 1024;

    std::shared_ptr<CallerConnection> m_connection;
    std::shared_ptr<void> m_lifetimeMonitor;
    ProgressLimits m_limits;
    asio::steady_timer m_readTimer;
    asio::steady_timer m_writeTimer;
    std::string m_firstBytes;
    std::uint64_t m_length;
    std::uint64_t m_bytesLeft;
    std::string m_buffer;
    BodyHandler m_bodyHandler;
    std::deque<Write> m_writes;
    bool m_hasStalled = false;
    bool m_isWatchingForClose = false;
    bool m_isFinished = false;
};

} // namespace bulrush::io

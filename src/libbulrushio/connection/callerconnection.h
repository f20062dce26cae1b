#pragma once

#include "admission/memoryholder.h"
#include "connection/callerlink.h"
#include "process/clock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace bulrush::io {

class CallerRegistry;

/**
 * A caller's socket together with the state that the server keeps outside the HTTP parser: the
 * refusal to send before a close that the caller has caused, and the links of its open requests.
 *
 * Must be used on the event loop's thread only.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    explicit CallerConnection(asio::io_context &loop);
    ~CallerConnection();

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    asio::ip::tcp::socket &socket();

    /** \returns whether the connection can still be used. */
    bool isOpen() const;

    /**
     * \returns whether the caller has closed the connection, also if the close was not read yet, or
     * isOpen() is false. Reads nothing from the socket.
     */
    bool hasCallerClosed();

    /** Registers the connection with \a registry, and keeps the server alive, until destruction. */
    void registerWith(const std::shared_ptr<CallerRegistry> &registry);

    /**
     * \returns the length up to which request bodies on this connection are buffered completely.
     */
    std::uint64_t bufferedBodyLimit() const;

    /**
     * Makes room for the first \a length bytes of the body that is being received.
     * \returns false if there is none.
     */
    bool reserveBody(std::uint64_t length);

    /** \returns what the body that has been received holds. */
    MemoryHolder takeBodyMemory();

    /** \returns the transfer of answers to the caller. It may outlive this object. */
    Transfer answerTransfer();

    /** Records the result of a read of \a length bytes. */
    void recordRead(std::error_code error, std::size_t length);

    /** Records that a request is complete, including its body if that is buffered. */
    void recordRequest();

    /** Records that the handler of the request reads its body of \a length. */
    void recordUpload(std::uint64_t length);

    /** \returns the length set by recordUpload() and clears it. */
    std::optional<std::uint64_t> takeUpload();

    /** Sets the status that close() sends to a caller whose request is refused by the parser. */
    void refuse(int status);

    /** Sends 100 Continue to a caller that waits for it before it sends its body. */
    void sendContinue();

    /**
     * Counts a request as open; \a link is notified if the caller disconnects.
     * \returns the ordinal of the request on this connection.
     */
    int beginExchange(const std::shared_ptr<CallerLink> &link);

    /** Counts a request as finished. */
    void endExchange();

    /**
     * Decides whether the connection closes after the answer to request \a number: if
     * \a isCloseRequested, or if the server drains and no later request has arrived. If so, no
     * further request is accepted.
     */
    bool decideClose(int number, bool isCloseRequested);

    /** Makes the current request the last one; later requests are dropped. */
    void stopAcceptingRequests();

    /** \returns whether further requests are accepted. */
    bool acceptsRequests() const;

    /** \returns since when no request of the caller is open; nothing while one is. */
    std::optional<Instant> waitingSince() const;

    /** Closes the connection if no request is open or being received. */
    void closeIfIdle();

    /**
     * Closes the connection on behalf of the server. If the caller caused the close, a refusal is
     * sent first, and the caller gets time to read it.
     */
    void close();

    /** Closes after all written bytes were sent; bytes received until then are discarded. */
    void lingerAndClose();

    /** Closes immediately. */
    void closeNow();

    /** Makes the connection the current one of this thread during the scope's lifetime. */
    class Scope
    {
    public:
        explicit Scope(CallerConnection *connection);
        ~Scope();

        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        CallerConnection *m_outer;
    };

    /** \returns the connection whose event is being handled on this thread, or null. */
    static CallerConnection *current();

private:
    Transfer bodyTransfer();
    std::optional<int> pendingRefusal() const;
    void notifyLinks();
    void discardIncoming();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_lingerTimer;
    std::weak_ptr<CallerRegistry> m_registry;
    std::shared_ptr<void> m_server;
    std::vector<std::weak_ptr<CallerLink>> m_links;
    std::string m_discardBuffer;
    std::uint64_t m_bufferedBodyLimit = 0;
    MemoryHolder m_bodyMemory;
    std::optional<std::uint64_t> m_upload;
    std::optional<int> m_refusal;
    std::size_t m_unhandledBytes = 0;
    std::size_t m_discardedBytes = 0;
    /** When the last open request ended; at first, when the connection was made. */
    Instant m_waitingSince;
    int m_openExchanges = 0;
    int m_exchanges = 0;
    bool m_hasReadFailed = false;
    bool m_acceptsRequests = true;
    bool m_isClosed = false;
};

/** The connections of one server. Must be used on the event loop's thread only. */
class CallerRegistry
{
public:
    /** Sets the server that the connections keep alive. */
    void setServer(std::weak_ptr<void> server);

    /** \returns an owning reference to the server, or null if it was destroyed. */
    std::shared_ptr<void> server() const;

    /** Sets the length up to which bodies are buffered completely. \pre no connection was added */
    void setBufferedBodyLimit(std::uint64_t limit);
    std::uint64_t bufferedBodyLimit() const;

    /** Sets the account of request bodies, if any. \pre no connection was added */
    void setMemory(std::shared_ptr<MemoryAccount> memory);
    MemoryHolder newBodyMemory() const;

    /**
     * Sets the number of connections above which each new one takes the place of the one that has
     * waited longest without an open request, if there is one.
     */
    void setEvictionThreshold(std::size_t count);

    void add(CallerConnection *connection);
    void remove(CallerConnection *connection);

    /** \returns the number of open connections. */
    std::size_t count() const;

    /** \returns how many connections were closed to make place for others. */
    std::uint64_t evictionCount() const;

    /** From now on, each answer closes its connection, unless a later request has arrived on it. */
    void drain();

    /** Closes the connections without an open request. */
    void closeIdle();

    /** Closes all connections immediately. */
    void closeNow();

    bool isDraining() const;

private:
    void evictLongestIdle();

    std::weak_ptr<void> m_server;
    std::vector<CallerConnection *> m_connections;
    std::size_t m_evictionThreshold = std::numeric_limits<std::size_t>::max();
    std::uint64_t m_evictionCount = 0;
    std::uint64_t m_bufferedBodyLimit = 0;
    std::shared_ptr<MemoryAccount> m_memory;
    bool m_isDraining = false;
};

} // namespace bulrush::io

#pragma once

#include "connection/servercall.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::io {

class ServerConnection;

/**
 * HTTP/1.1 client with persistent connections that sends each request once: if a reused connection
 * fails during a request, the call fails without a retry, as the server may have run the request.
 *
 * All methods must be called on the event loop's thread. Handlers run on the same thread, but never
 * from within a method. A handler must not destroy the client.
 */
class ServerClient
{
public:
    using CallId = std::uint64_t;

    /**
     * Connections leave from the address \a source; if it is empty, the system chooses. The bodies
     * of answers are counted in \a memory, if given.
     */
    explicit ServerClient(asio::io_context &loop, std::string source = {},
                          std::shared_ptr<MemoryAccount> memory = nullptr);

    /** Closes all connections; the handlers of open calls are not called. */
    ~ServerClient();

    ServerClient(const ServerClient &) = delete;
    ServerClient &operator=(const ServerClient &) = delete;

    /** Sends \a call and passes its result to \a handler, exactly once. */
    CallId send(ServerCall call, ServerCallHandler handler);

    /** Cancels a call: closes its connection and does not call its handler. */
    void cancel(CallId id);

    /** \returns whether bytes of an open call may have been sent; false if it is not open. */
    bool isSent(CallId id) const;

    /** \returns the times of the steps of the open call \a id so far; empty if it has ended. */
    CallTimes times(CallId id) const;

    /** Opens a connection for later calls to the server of \a like, unless there is one already. */
    void ensureConnected(const ServerCall &like);

    /**
     * Opens a connection to the server of \a like, whether or not there is one already, and passes
     * to \a handler whether it could be established. It is kept for later calls.
     */
    void probe(const ServerCall &like, std::function<void(bool isConnected)> handler);

    /** A change of the connectivity to a run of a server. */
    enum class ConnectionEvent {
        Connected, ///< the first connection was established
        Lost,      ///< the last connection was lost, or could not be established
        Refused,   ///< the address refuses connections: the run has stopped
    };

    /**
     * Receives changes of the connectivity; a loss is reported after the handler of the call on
     * that connection. A connection does not count as lost if the server closed it as announced, or
     * if the client closed it because a call timed out.
     */
    using ConnectionEventHandler =
        std::function<void(const std::string &run, ConnectionEvent event)>;

    /** Sets the handler of connectivity changes. */
    void setConnectionEventHandler(ConnectionEventHandler handler);

    /** \returns the number of connections opened so far. */
    std::uint64_t openedConnectionCount() const;

private:
    struct Pool;

    std::shared_ptr<ServerConnection> connectionFor(const ServerCall &call);
    std::shared_ptr<ServerConnection> createConnection(const Endpoint &server,
                                                       const std::string &run);

    asio::io_context &m_loop;
    std::string m_source;
    std::shared_ptr<MemoryAccount> m_memory;
    std::shared_ptr<Pool> m_pool;
    std::map<CallId, std::weak_ptr<ServerConnection>> m_calls;
    CallId m_nextId = 1;
    std::uint64_t m_openedCount = 0;
};

inline std::uint64_t ServerClient::openedConnectionCount() const
{
    return m_openedCount;
}

} // namespace bulrush::io

#pragma once

#include "connection/servercall.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace bulrush::io {

class ServerConnection;

/**
 * HTTP/1.1 client that keeps connections and sends each request once: a kept connection that dies
 * under a request ends the call, as the server may have done the work.
 *
 * All methods are called on the loop's thread, where the handlers run too, never from within a
 * call. A handler must not destroy the client.
 */
class ServerClient
{
public:
    using CallId = std::uint64_t;

    explicit ServerClient(asio::io_context &loop);

    /** Closes all connections; handlers of open calls are not called. */
    ~ServerClient();

    ServerClient(const ServerClient &) = delete;
    ServerClient &operator=(const ServerClient &) = delete;

    /** Sends \a call and hands its end to \a handler, once. */
    CallId send(ServerCall call, ServerCallHandler handler);

    /** Ends a call: its connection is closed, its handler not called any more. */
    void cancel(CallId id);

    /** \returns whether any of an open call may have gone out; false if it is not open. */
    bool isSent(CallId id) const;

    /** \returns when the call \a id took its steps so far; none if it has ended. */
    CallTimes times(CallId id) const;

    /** Connects as \a like would if there is no connection for it, for calls to come. */
    void keepConnected(const ServerCall &like);

    /** What became of the connections to a run of a server. */
    enum class Link {
        Made,    ///< one was made
        Lost,    ///< the last was lost, or could not be made
        Refused, ///< the same, as nobody listens at the address: the run has ended
    };

    /**
     * Told of changes of links; of a loss after the end of the call on it, if there was one.
     * Neither a connection that the server ended as it had said is a loss, nor one that was given
     * up with a call that got no answer in time.
     */
    using LinkHandler = std::function<void(const std::string &run, Link link)>;

    /** Sets who is told. */
    void setLinkHandler(LinkHandler handler);

    /** \returns how many connections were opened so far. */
    std::uint64_t openedCount() const;

private:
    struct Pool;

    std::shared_ptr<ServerConnection> connectionTo(const Endpoint &server, const std::string &run);
    std::shared_ptr<ServerConnection> made(const Endpoint &server, const std::string &run);

    asio::io_context &m_loop;
    std::shared_ptr<Pool> m_pool;
    std::map<CallId, std::weak_ptr<ServerConnection>> m_calls;
    CallId m_nextId = 1;
    std::uint64_t m_openedCount = 0;
};

inline std::uint64_t ServerClient::openedCount() const
{
    return m_openedCount;
}

} // namespace bulrush::io

#pragma once

#include "connection/servermanager.h"
#include "version/identifier.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace bulrush {

/** Permits a request to be sent now. */
struct DispatchPermit
{
    WorkId work = 0;
};

using QueueDecision = std::variant<DispatchPermit, RefuseWork>;

/**
 * The queue of one backend server that this daemon manages, with an exact count of the requests in
 * flight. Shared by all traffic threads. Thread safe.
 */
class ServerQueue
{
public:
    using Handler = std::function<void(const QueueDecision &)>;

    explicit ServerQueue(ServerManagerLimits limits);

    /**
     * Queues a request. \a handler is called once on \a loop, never from within this call, unless
     * the request is cancelled before.
     */
    WorkId submit(const RequestPolicy &policy, bool hasStreamedBody, asio::io_context &loop,
                  Handler handler, Instant now);

    /** Records that the streamed body of a request has been sent completely. */
    void recordBodySent(WorkId work, Instant now);

    /** Records the result of a request that was permitted. */
    void complete(WorkId work, WorkResult end, Instant now);

    /** Removes a request that has not been permitted yet. */
    void cancel(WorkId work);

    /** Records that the server answered a control call. */
    void recordServerAnswer(bool isDraining, Instant now);

    /** Refuses requests that can no longer be served in time. Call it every few milliseconds. */
    void advance(Instant now);

    /** \returns the load that an ordinary request would encounter. */
    ServerManagerLoad load() const;

private:
    struct QueuedWork
    {
        asio::io_context &loop;
        Handler handler;
    };

    void perform(const ServerManagerActions &actions);
    void deliverDecision(WorkId work, const QueueDecision &decision);

    mutable std::mutex m_mutex;
    ServerManager m_manager;
    std::map<WorkId, QueuedWork> m_queuedWork;
    WorkId m_lastWork = 0;
};

/** The queues of all backend servers; no entries are added or removed after start. */
using ServerQueues = std::map<ServerName, std::unique_ptr<ServerQueue>>;

} // namespace bulrush

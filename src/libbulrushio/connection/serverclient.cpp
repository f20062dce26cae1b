#include "connection/serverclient.h"

#include "connection/serverconnection.h"
#include "process/hostclock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bulrush::io {

using ConnectionPtr = std::shared_ptr<ServerConnection>;

/** The connections that live, and those of them that wait for a call. */
struct ServerClient::Pool
{
    std::set<ConnectionPtr> all;
    std::map<Endpoint, std::vector<ConnectionPtr>> idle;

    void update(const ConnectionPtr &connection)
    {
        std::vector<ConnectionPtr> &waiting = idle[connection->server()];
        std::erase(waiting, connection);
        if (connection->isClosed())
            all.erase(connection);
        else if (connection->isFree())
            waiting.push_back(connection);
        if (waiting.empty())
            idle.erase(connection->server());
    }
};

ServerClient::ServerClient(asio::io_context &loop)
    : m_loop(loop)
    , m_pool(std::make_shared<Pool>())
{ }

ServerClient::~ServerClient()
{
    for (const ConnectionPtr &connection : std::exchange(m_pool->all, {}))
        connection->close();
    m_pool->idle.clear();
}

ServerClient::CallId ServerClient::send(ServerCall call, ServerCallHandler handler)
{
    const CallId id = m_nextId++;
    const ConnectionPtr connection = connectionTo(call.server);
    m_calls.emplace(id, connection);
    connection->send(std::move(call), [this, id, handler = std::move(handler)](HttpResult result) {
        m_calls.erase(id);
        handler(std::move(result));
    });
    return id;
}

void ServerClient::cancel(CallId id)
{
    const auto call = m_calls.find(id);
    if (call == m_calls.end())
        return;
    const ConnectionPtr connection = call->second.lock();
    m_calls.erase(call);
    if (connection)
        connection->close();
}

bool ServerClient::isSent(CallId id) const
{
    const auto call = m_calls.find(id);
    const ConnectionPtr connection = call == m_calls.end() ? nullptr : call->second.lock();
    return connection && connection->stage() != TransferStage::NotConnected;
}

ConnectionPtr ServerClient::connectionTo(const Endpoint &server)
{
    const Instant now = hostNow();
    const auto waiting = m_pool->idle.find(server);
    while (waiting != m_pool->idle.end() && !waiting->second.empty()) {
        // The one used last: the others age until they are closed.
        ConnectionPtr connection = waiting->second.back();
        waiting->second.pop_back();
        if (connection->isFree() && now < connection->idleUntil())
            return connection;
        connection->close();
    }
    const std::weak_ptr<Pool> pool = m_pool;
    auto made =
        std::make_shared<ServerConnection>(m_loop, server, [pool](const ConnectionPtr &connection) {
            if (const auto held = pool.lock())
                held->update(connection);
        });
    m_pool->all.insert(made);
    ++m_openedCount;
    return made;
}

} // namespace bulrush::io

#include "connection/serverclient.h"

#include "connection/serverconnection.h"
#include "process/hostclock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bulrush::io {

using ConnectionPtr = std::shared_ptr<ServerConnection>;

namespace {

bool mustAvoid(const ServerCall &call, const ServerConnection &connection)
{
    return std::ranges::find(call.avoidedConnections, connection.number())
        != call.avoidedConnections.end();
}

} // namespace

/** All connections that are not closed, and the idle ones among them. */
struct ServerClient::Pool
{
    /** The address of a server and the name of its run. */
    using Target = std::pair<Endpoint, std::string>;

    std::set<ConnectionPtr> all;
    std::map<Target, std::vector<ConnectionPtr>> idle;
    std::set<Target> connectedTargets;
    ConnectionEventHandler connectionEventHandler;

    static Target targetFor(const ConnectionPtr &connection)
    {
        return {connection->server(), connection->run()};
    }

    void update(const ConnectionPtr &connection)
    {
        const Target target = targetFor(connection);
        std::vector<ConnectionPtr> &idleConnections = idle[target];
        std::erase(idleConnections, connection);
        if (connection->isClosed())
            all.erase(connection);
        else if (connection->isFree())
            idleConnections.push_back(connection);
        if (idleConnections.empty())
            idle.erase(target);
        updateConnectivity(connection, target);
    }

    void updateConnectivity(const ConnectionPtr &connection, const Target &target)
    {
        if (connection->isConnected()) {
            if (connectedTargets.insert(target).second)
                notify(target.second, ConnectionEvent::Connected);
        } else if (connection->isClosed() && !isConnectedTo(target)) {
            connectedTargets.erase(target);
            if (connection->isLost())
                notify(target.second,
                       connection->isRefused() ? ConnectionEvent::Refused : ConnectionEvent::Lost);
        }
    }

    bool isConnectedTo(const Target &target) const
    {
        return std::ranges::any_of(all, [&target](const ConnectionPtr &connection) {
            return connection->isConnected() && targetFor(connection) == target;
        });
    }

    bool hasConnectionTo(const Target &target) const
    {
        return connectedTargets.contains(target)
            || std::ranges::any_of(all, [&target](const auto &other) {
                   return !other->isClosed() && targetFor(other) == target;
               });
    }

    void notify(const std::string &run, ConnectionEvent event) const
    {
        if (connectionEventHandler)
            connectionEventHandler(run, event);
    }
};

ServerClient::ServerClient(asio::io_context &loop, std::string source,
                           std::shared_ptr<MemoryAccount> memory)
    : m_loop(loop)
    , m_source(std::move(source))
    , m_memory(std::move(memory))
    , m_pool(std::make_shared<Pool>())
{ }

ServerClient::~ServerClient()
{
    for (const ConnectionPtr &connection : std::exchange(m_pool->all, {}))
        connection->close();
    m_pool->idle.clear();
}

void ServerClient::setConnectionEventHandler(ConnectionEventHandler handler)
{
    m_pool->connectionEventHandler = std::move(handler);
}

void ServerClient::ensureConnected(const ServerCall &like)
{
    if (!m_pool->hasConnectionTo({like.server, like.run}))
        createConnection(like.server, like.run)->open(like);
}

void ServerClient::probe(const ServerCall &like, std::function<void(bool isConnected)> handler)
{
    createConnection(like.server, like.run)->open(like, std::move(handler));
}

ServerClient::CallId ServerClient::send(ServerCall call, ServerCallHandler handler)
{
    const CallId id = m_nextId++;
    const ConnectionPtr connection = connectionFor(call);
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

CallTimes ServerClient::times(CallId id) const
{
    const auto call = m_calls.find(id);
    const ConnectionPtr connection = call == m_calls.end() ? nullptr : call->second.lock();
    return connection ? connection->times() : CallTimes{};
}

ConnectionPtr ServerClient::connectionFor(const ServerCall &call)
{
    const Instant now = hostNow();
    const auto entry = m_pool->idle.find({call.server, call.run});
    if (entry == m_pool->idle.end())
        return createConnection(call.server, call.run);
    std::vector<ConnectionPtr> &idle = entry->second;
    // Takes the most recently used one, so that surplus connections time out.
    for (std::size_t i = idle.size(); i-- > 0;) {
        ConnectionPtr connection = idle[i];
        const bool isUsable = connection->isFree() && now < connection->idleUntil();
        if (isUsable && mustAvoid(call, *connection))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (isUsable)
            return connection;
        connection->close();
    }
    return createConnection(call.server, call.run);
}

ConnectionPtr ServerClient::createConnection(const Endpoint &server, const std::string &run)
{
    const std::weak_ptr<Pool> pool = m_pool;
    const ServerConnection::Target target{server, run, m_source, ++m_openedCount, m_memory};
    auto connection =
        std::make_shared<ServerConnection>(m_loop, target, [pool](const ConnectionPtr &changed) {
            if (const auto held = pool.lock())
                held->update(changed);
        });
    m_pool->all.insert(connection);
    return connection;
}

} // namespace bulrush::io

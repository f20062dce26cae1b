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
    /** The address of a server, and the run that is meant. */
    using Target = std::pair<Endpoint, std::string>;

    std::set<ConnectionPtr> all;
    std::map<Target, std::vector<ConnectionPtr>> idle;
    std::set<Target> linked;
    LinkHandler linkChanged;

    static Target targetOf(const ConnectionPtr &connection)
    {
        return {connection->server(), connection->run()};
    }

    void update(const ConnectionPtr &connection)
    {
        const Target target = targetOf(connection);
        std::vector<ConnectionPtr> &waiting = idle[target];
        std::erase(waiting, connection);
        if (connection->isClosed())
            all.erase(connection);
        else if (connection->isFree())
            waiting.push_back(connection);
        if (waiting.empty())
            idle.erase(target);
        updateLink(connection, target);
    }

    void updateLink(const ConnectionPtr &connection, const Target &target)
    {
        if (connection->isConnected()) {
            if (linked.insert(target).second)
                tell(target.second, Link::Made);
        } else if (connection->isClosed() && !isConnectedTo(target)) {
            linked.erase(target);
            if (connection->isLost())
                tell(target.second, connection->isRefused() ? Link::Refused : Link::Lost);
        }
    }

    bool isConnectedTo(const Target &target) const
    {
        return std::ranges::any_of(all, [&target](const ConnectionPtr &connection) {
            return connection->isConnected() && targetOf(connection) == target;
        });
    }

    bool hasAnyTo(const Target &target) const
    {
        return linked.contains(target) || std::ranges::any_of(all, [&target](const auto &other) {
                   return !other->isClosed() && targetOf(other) == target;
               });
    }

    void tell(const std::string &run, Link link) const
    {
        if (linkChanged)
            linkChanged(run, link);
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

void ServerClient::setLinkHandler(LinkHandler handler)
{
    m_pool->linkChanged = std::move(handler);
}

void ServerClient::keepConnected(const ServerCall &like)
{
    if (!m_pool->hasAnyTo({like.server, like.run}))
        made(like.server, like.run)->open(like);
}

ServerClient::CallId ServerClient::send(ServerCall call, ServerCallHandler handler)
{
    const CallId id = m_nextId++;
    const ConnectionPtr connection = connectionTo(call.server, call.run);
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

ConnectionPtr ServerClient::connectionTo(const Endpoint &server, const std::string &run)
{
    const Instant now = hostNow();
    const auto waiting = m_pool->idle.find({server, run});
    while (waiting != m_pool->idle.end() && !waiting->second.empty()) {
        // The one used last: the others age until they are closed.
        ConnectionPtr connection = waiting->second.back();
        waiting->second.pop_back();
        if (connection->isFree() && now < connection->idleUntil())
            return connection;
        connection->close();
    }
    return made(server, run);
}

ConnectionPtr ServerClient::made(const Endpoint &server, const std::string &run)
{
    const std::weak_ptr<Pool> pool = m_pool;
    auto connection = std::make_shared<ServerConnection>(m_loop, server, run,
                                                         [pool](const ConnectionPtr &changed) {
                                                             if (const auto held = pool.lock())
                                                                 held->update(changed);
                                                         });
    m_pool->all.insert(connection);
    ++m_openedCount;
    return connection;
}

} // namespace bulrush::io

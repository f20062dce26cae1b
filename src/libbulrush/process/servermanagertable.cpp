#include "process/servermanagertable.h"

#include "process/ownershipmap.h"

#include <algorithm>
#include <map>

namespace bulrush {

namespace {

/** Daemons by the number of servers that they manage, least busy first. */
class LoadRanking
{
public:
    explicit LoadRanking(const std::set<Incarnation> &daemons)
    {
        for (const Incarnation &daemon : daemons) {
            m_loads.emplace(daemon, 0);
            m_ranking.insert({0, daemon});
        }
    }

    void add(const Incarnation &daemon, int change)
    {
        std::size_t &load = m_loads.at(daemon);
        m_ranking.erase({load, daemon});
        load += static_cast<std::size_t>(change);
        m_ranking.insert({load, daemon});
    }

    std::size_t load(const Incarnation &daemon) const
    {
        return m_loads.at(daemon);
    }
    Incarnation leastBusy() const
    {
        return m_ranking.begin()->second;
    }
    std::size_t leastLoad() const
    {
        return m_ranking.begin()->first;
    }

private:
    std::map<Incarnation, std::size_t> m_loads;
    std::set<std::pair<std::size_t, Incarnation>> m_ranking;
};

} // namespace

ServerManagerTable::ServerManagerTable(std::vector<ManagedServer> managedServers)
    : m_managedServers(std::move(managedServers))
{ }

void ServerManagerTable::fit(const std::set<ServerName> &servers,
                             const std::set<Incarnation> &daemons)
{
    if (daemons.empty())
        return;

    LoadRanking ranking(daemons);
    std::vector<ManagedServer> updated;
    for (const ServerName &server : servers) {
        const Incarnation current = findManager(m_managedServers, server);
        const bool isKept = daemons.contains(current);
        updated.push_back({server, isKept ? current : Incarnation{}});
        if (isKept)
            ranking.add(current, 1);
    }
    for (ManagedServer &managedServer : updated) {
        if (!managedServer.manager.isEmpty())
            continue;
        managedServer.manager = ranking.leastBusy();
        ranking.add(managedServer.manager, 1);
    }
    for (ManagedServer &managedServer : updated) {
        if (ranking.load(managedServer.manager) < ranking.leastLoad() + 2)
            continue;
        ranking.add(managedServer.manager, -1);
        managedServer.manager = ranking.leastBusy();
        ranking.add(managedServer.manager, 1);
    }
    m_managedServers = std::move(updated);
}

} // namespace bulrush

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

ServerManagerTable::ServerManagerTable(std::vector<Attendance> attendances)
    : m_attendances(std::move(attendances))
{ }

void ServerManagerTable::fit(const std::set<ServerName> &servers,
                             const std::set<Incarnation> &daemons)
{
    if (daemons.empty())
        return;

    LoadRanking ranking(daemons);
    std::vector<Attendance> updated;
    for (const ServerName &server : servers) {
        const Incarnation current = attendantOf(m_attendances, server);
        const bool isKept = daemons.contains(current);
        updated.push_back({server, isKept ? current : Incarnation{}});
        if (isKept)
            ranking.add(current, 1);
    }
    for (Attendance &attendance : updated) {
        if (!attendance.attendant.isEmpty())
            continue;
        attendance.attendant = ranking.leastBusy();
        ranking.add(attendance.attendant, 1);
    }
    for (Attendance &attendance : updated) {
        if (ranking.load(attendance.attendant) < ranking.leastLoad() + 2)
            continue;
        ranking.add(attendance.attendant, -1);
        attendance.attendant = ranking.leastBusy();
        ranking.add(attendance.attendant, 1);
    }
    m_attendances = std::move(updated);
}

} // namespace bulrush

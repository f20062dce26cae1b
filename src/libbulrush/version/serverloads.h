#pragma once

#include "version/planner.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrush {

/**
 * The servers of a service and their load while a plan is made. Servers are identified by an index,
 * in the order of their names; lost and leaving servers receive no load.
 *
 * Not thread safe.
 */
class ServerLoads
{
public:
    /**
     * \pre \a servers outlive this object.
     */
    ServerLoads(const ServiceName &service, std::span<const ServerState> servers, double coldStep);

    /**
     * \returns the index of a server; an unknown server is added as lost.
     * \pre The name outlives this object.
     */
    std::uint32_t indexOf(const ServerName &server);

    /** Sets the load that each server has before the plan. */
    void setLoads(std::span<const double> loads);

    /** Records a move of \a load. */
    void move(std::size_t from, std::size_t to, double load);

    std::size_t count() const;
    /** \returns the number of servers that are neither lost nor leaving. */
    std::size_t usableCount() const;
    const ServerName &name(std::size_t index) const;
    bool isLost(std::size_t index) const;
    bool isCold(std::size_t index) const;
    /** \returns whether it is neither lost nor leaving. */
    bool isUsable(std::size_t index) const;
    double load(std::size_t index) const;
    /** \returns the load that the server would have if load were distributed by capacity. */
    double fairShare(std::size_t index) const;
    /** \returns the mean of the fair shares. */
    double averageShare() const;
    /** \returns the ratio of load to fair share, 0 for servers that receive no load. */
    double ratio(std::size_t index) const;

    /**
     * \returns the least loaded server that stays within \a limitRatio with \a load added, and
     * within its step if it is cold, or nothing.
     */
    std::optional<std::size_t> receiver(double load, double limitRatio) const;

    /** \returns the least loaded server, preferably one that is not cold, or nothing. */
    std::optional<std::size_t> leastLoaded() const;

    /** \returns how much load a server can receive up to \a limitRatio; never below 0. */
    double room(std::size_t index, double limitRatio) const;

private:
    struct Entry
    {
        const ServerName *name = nullptr;
        double capacity = 1.0;
        bool isUsable = false;
        bool isLost = true;
        bool isCold = false;
        double fairShare = 0;
        double load = 0;
        double receivedLoad = 0;
    };

    void changeLoad(std::size_t index, double change);

    double m_coldStep;
    double m_averageShare = 0;
    std::vector<Entry> m_entries;
    std::unordered_map<std::string_view, std::uint32_t> m_indexByName;
    std::set<std::pair<double, std::size_t>> m_byRatio;
};

inline std::size_t ServerLoads::count() const
{
    return m_entries.size();
}

inline const ServerName &ServerLoads::name(std::size_t index) const
{
    return *m_entries[index].name;
}

inline bool ServerLoads::isLost(std::size_t index) const
{
    return m_entries[index].isLost;
}

inline bool ServerLoads::isCold(std::size_t index) const
{
    return m_entries[index].isCold;
}

inline bool ServerLoads::isUsable(std::size_t index) const
{
    return m_entries[index].isUsable;
}

inline double ServerLoads::load(std::size_t index) const
{
    return m_entries[index].load;
}

inline double ServerLoads::averageShare() const
{
    return m_averageShare;
}

inline double ServerLoads::fairShare(std::size_t index) const
{
    return m_entries[index].fairShare;
}

} // namespace bulrush

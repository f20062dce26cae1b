#pragma once

#include "process/configbudget.h"
#include "process/drainbudget.h"
#include "process/routingknowledge.h"
#include "process/routingstate.h"
#include "process/serverdirectory.h"
#include "tablefollower.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrush {

/**
 * The control thread's part that learns of configurations and backend servers, and publishes what
 * requests are routed by. Versions of the configuration never go back.
 *
 * Used on the control thread.
 */
class StatePublisher
{
public:
    using PublishHandler = std::function<void(std::shared_ptr<const RoutingState>)>;

    /** Told how far what was published last can be relied on. */
    using KnowledgeHandler = std::function<void(const RoutingKnowledge &)>;

    /** Within which changes are to be known. */
    struct Budgets
    {
        DrainBudget servers;
        ConfigBudget configs;
    };

    StatePublisher(const FollowerDependencies &parts, const Budgets &budgets,
                   PublishHandler publish, KnowledgeHandler tellKnowledge);

    /** Sets who is told whenever servers were taken in. */
    void setServersHandler(std::function<void()> handler);

    /** Starts to follow configurations and servers. */
    void start();

    /** Takes in the assignment in force of a service. */
    void setAssignment(KeyAssignment assignment);

    /** Notes how many daemons there are. */
    void setDaemonCount(std::size_t count);

    /** Notes that the server \a id has ended, though its record may still be there. */
    void noteEnded(const ServerName &id);

    /** Lets what waits for time go on. To be called often. */
    void advance(Instant now);

    /** \returns the follower of \a table, or null if it is none that is followed here. */
    const TableFollower *follower(std::string_view table) const;

    const ServerDirectory &directory() const;

    /** \returns the routes in force, or null. */
    const std::shared_ptr<const RouteTable> &routes() const;

    /**
     * \returns lines for a metrics page: the version of the configuration in force, since when it
     * is, and how long ago the store is known to have had no later one.
     */
    std::string configMetrics(Instant now) const;

    /** \returns whether a configuration and the servers are known. */
    bool isComplete() const;

private:
    void takeConfig(const TableChange &change);
    void takeServers(const TableChange &change);
    void logSeen(const ServerRecord &record, std::uint64_t row, const TableChange &change) const;
    void publish();
    void tellKnowledge();

    PublishHandler m_publish;
    KnowledgeHandler m_tellKnowledge;
    std::function<void()> m_serversTaken;
    RoutingKnowledge m_knowledge;
    TableFollower m_configs;
    TableFollower m_servers;
    ServerDirectory m_directory;
    std::shared_ptr<const RouteTable> m_routes;
    /** When they came into force. */
    Instant m_routesSince;
    /** Until then the store is known to have held none later than those before. */
    Instant m_routesUnchangedUntil;
    std::map<ServiceName, std::shared_ptr<const KeyAssignment>> m_assignments;
    std::size_t m_daemonCount = 0;
    bool m_hasServers = false;
};

inline const ServerDirectory &StatePublisher::directory() const
{
    return m_directory;
}

inline const std::shared_ptr<const RouteTable> &StatePublisher::routes() const
{
    return m_routes;
}

inline bool StatePublisher::isComplete() const
{
    return m_routes && m_hasServers;
}

} // namespace bulrush

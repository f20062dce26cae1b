#pragma once

#include "process/configbudget.h"
#include "process/daemonlocation.h"
#include "process/drainbudget.h"
#include "process/routingdatafreshness.h"
#include "process/routingstate.h"
#include "process/serverdirectory.h"
#include "tablefollower.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/**
 * Follows configurations and backend servers on the control thread, and publishes the routing state
 * for the traffic thread. The version of the configuration never decreases.
 *
 * Used on the control thread.
 */
class StatePublisher
{
public:
    using PublishHandler = std::function<void(std::shared_ptr<const RoutingState>)>;

    /** Called with the age of the published routing data, and whether the store can confirm it. */
    using FreshnessHandler = std::function<void(const RoutingDataFreshness &)>;

    /**
     * How long operators may take to write rows again that the store lost by a restore. Forgetting
     * an evacuation early sends requests to servers that are being turned off; keeping one for
     * longer leaves capacity unused.
     */
    static constexpr Duration operatorRewritePeriod = std::chrono::seconds{10};

    /** Time limits within which changes must arrive. */
    struct Budgets
    {
        DrainBudget servers;
        ConfigBudget configs;
        RecordLifetime records;
    };

    /** \a self is the host of this daemon. */
    StatePublisher(const FollowerDependencies &deps, HostName self, const Budgets &budgets,
                   PublishHandler publish, FreshnessHandler freshnessHandler);

    /** Sets the handler that is called after each change of servers. */
    void setServersHandler(std::function<void()> handler);

    /** \returns until when the records of servers were as in directory(). */
    Instant serversConfirmedAt() const;

    /** Starts to follow configurations and servers. */
    void start();

    /** Sets the assignment in force of a service, and publishes it. */
    void setAssignment(KeyAssignment assignment);

    /**
     * Sets the daemons that have rows, which may not include this one yet, and the other daemons
     * that relay requests, and publishes them if they have changed.
     */
    void setDaemons(std::vector<DaemonLocation> daemons, std::vector<RelayDaemon> relays);

    /** Records that the server \a id has stopped, even if its record still exists. */
    void recordServerStopped(const ServerName &id);

    /** Records that the server \a id announced to some daemon that it leaves. */
    void recordServerLeaving(const ServerName &id);

    /** Handles what has become due by \a now. To be called often. */
    void advance(Instant now);

    /** \returns the follower of \a table, or null if this object does not follow it. */
    const TableFollower *follower(std::string_view table) const;

    const ServerDirectory &directory() const;

    /** \returns the routes in force, or null. */
    const std::shared_ptr<const RouteTable> &routes() const;

    /**
     * \returns lines for a metrics page: the version of the configuration in force, how long it has
     * been in force, and the time since the store last confirmed that there is no later one.
     */
    std::string configMetrics(Instant now) const;

    /** \returns whether a configuration and the servers are loaded. */
    bool isComplete() const;

private:
    void applyOperatorRows(const TableChange &change);
    void applyConfig(const platform::StoreRow &row, const TableChange &change);
    void applyEvacuation(const platform::StoreRow &row, const TableChange &change);
    void applyEvacuations(const TableChange &change);
    void applyMissingEvacuations(const TableChange &change);
    void advanceEvacuations(Instant now);
    void applyReturn(const DomainName &domain);
    void applyServers(const TableChange &change);
    void logServerChange(const ServerRecord &record, const StoreVersion &row,
                         const TableChange &change) const;
    void publish();
    std::size_t daemonCount() const;
    void reportFreshness();

    PublishHandler m_publish;
    FreshnessHandler m_freshnessHandler;
    std::function<void()> m_serversHandler;
    RoutingDataFreshness m_reportedFreshness;
    TableFollower m_configs;
    TableFollower m_servers;
    ServerDirectory m_directory;
    std::shared_ptr<const RouteTable> m_routes;
    /** When these routes were applied here. */
    Instant m_routesAppliedAt;
    /** The last instant at which the store was confirmed to hold the previous routes. */
    Instant m_routesUnchangedUntil;
    std::map<ServiceName, std::shared_ptr<const KeyAssignment>> m_assignments;
    HostName m_self;
    /** The daemons that have rows; nothing until these rows were received. */
    std::optional<std::vector<DaemonLocation>> m_daemons;
    std::vector<RelayDaemon> m_relays;
    bool m_hasServers = false;
    /**
     * Set after the store was restored: until then rows of evacuations that differ from what was
     * known count as outdated, as operators write theirs again.
     */
    std::optional<Instant> m_evacuationsDueAt;
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

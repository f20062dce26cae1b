#pragma once

#include "process/assignmentrecovery.h"
#include "process/daemonsettings.h"
#include "process/handover.h"
#include "process/leaderelectionaction.h"
#include "process/memberrecord.h"
#include "process/servermanagertable.h"
#include "version/loadreporttable.h"
#include "version/planner.h"

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace bulrush {

struct ControlContext;
struct OrderResult;
class ServerControl;
class LeaderElection;

/** Access of a domain leader to the state of its daemon. */
struct DomainLeaderCallbacks
{
    /** Daemons that may manage the servers that the leader assigns. */
    std::function<std::vector<MemberRecord>()> daemons;
    /** Services that are divided by key, with the planning preference of each. */
    std::function<std::map<ServiceName, Preference>()> keyedServices;
    /** A server's manager by the latest assignment of any domain; may be empty. */
    std::function<Incarnation(const ServerName &)> managerOf;
    /** Servers that the platform lists as leaving. */
    std::function<std::set<ServerName>()> leavingServers;
    /** Called when an assignment is in force and is to be published to routers. */
    std::function<void(const Assignment &)> onAssignmentInForce;
    /** The latest assignment of the domain that this daemon routes by, or an empty one. */
    std::function<Assignment()> localAssignment;
};

/**
 * The tasks of one failure domain's leader during one epoch: recovers the assignment in force,
 * plans, grants leases and coordinates moves of slices. The object exists for one epoch only.
 *
 * Used on the control thread.
 */
class DomainLeader
{
public:
    /** \pre \a leadership outlives this object; \a began is the start of its current epoch. */
    DomainLeader(ControlContext &context, ServerControl &servers, const LeaderElection &leadership,
                 DomainName domain, const LeadershipStarted &began,
                 DomainLeaderCallbacks callbacks);

    DomainLeader(const DomainLeader &) = delete;
    DomainLeader &operator=(const DomainLeader &) = delete;

    /**
     * Performs the tasks that are due. \a isPlatformOut says whether the leadership is extended by
     * promises only, as during an outage of the platform.
     */
    void tick(Instant now, bool isPlatformOut);

    /** Answers a daemon's pull; \returns nothing while the leader may not grant leases. */
    std::optional<LeaseReply> answerPull(const LeaseRequest &request, Instant now);

    /** Applies the result of an order that a daemon executed. */
    void handleOrderResult(OrderId order, const OrderResult &result);

    /** Records the load that \a daemon counted for the servers that it manages. */
    void recordLoads(const Incarnation &daemon, std::map<ServiceName, LoadReport> reports,
                     Instant now);

    std::uint64_t epoch() const;

    /** \returns how many moves of slices are in progress. */
    std::size_t moveCount() const;

private:
    /** Callbacks hold a weak pointer to it, so that they do nothing after the epoch. */
    struct LifetimeToken
    { };

    void readPublished();
    void applyPublishedRow(const Json::Value &value, std::uint64_t rowVersion);
    void readAssignmentObject(const std::string &name);
    void startRecovery(Assignment published);
    void requestView(const MemberRecord &member);
    void readGrantsOf(const ServerName &server);
    std::vector<SliceOwner> ownGrants(std::span<const SliceOwner> grants) const;
    void finishRecovery(Instant now);

    void planIfDue(Instant now);
    void readPartition(const ServiceName &service);
    void createPartition(const ServiceName &service);
    void applyPartition(const ServiceName &service, const Json::Value &value);
    std::vector<SliceOwner> plannedSlices(const ServiceName &service, Preference preference,
                                          const std::vector<ServerState> &servers, Instant now);
    std::vector<ServerState> serverStates() const;
    std::vector<ManagedServer> plannedManagedServers(const std::vector<ServerState> &servers);
    bool isManaged(const BackendServer &server) const;
    void detectSilentDaemons(Instant now);
    void markAbsentManagersLost();
    void markManagerLost(const Incarnation &daemon);
    void updateLostServers(const LeaseRequest &request);

    void handle(const HandoverEvent &event);
    void perform(const HandoverAction &action);
    void performAction(const ServerOrder &order);
    void performAction(const CommitAssignment &commit);
    void performAction(const ReadPublishedVersion &action);
    void performAction(const AssignmentInForce &action);
    void performAction(const PromptLeasePull &action);
    void performAction(const LeadershipSuperseded &action);
    void publishRow(const CommitAssignment &commit, const std::string &object);
    void handleCommitResult(const CommitAssignment &commit, CommitOutcome outcome);

    template<typename Handler>
    auto whileAlive(Handler handler) const;

    ControlContext &m_context;
    ServerControl &m_servers;
    const LeaderElection &m_leadership;
    DomainName m_domain;
    std::uint64_t m_epoch;
    Instant m_mayGrantFrom;
    DomainLeaderCallbacks m_callbacks;
    std::shared_ptr<LifetimeToken> m_lifetime = std::make_shared<LifetimeToken>();

    RoutingLeaseTimings m_terms;
    RoutingLeaseTable m_leases;
    std::optional<AssignmentRecovery> m_recovery;
    std::unique_ptr<Handover> m_handover;
    ServerManagerTable m_managedServers;
    std::map<ServiceName, Planner> m_planners;
    LoadReportTable m_loads;
    /** The domain's ranges of key hashes for each service, from the platform's partition rows. */
    std::map<ServiceName, std::vector<SliceRange>> m_partitionRanges;
    std::set<ServiceName> m_requestedPartitions;

    /** Version of the assignment in the platform's row, as of the last read or write. */
    Fence m_publishedVersion;
    std::vector<SliceOwner> m_publishedSlices;
    std::uint64_t m_publishedRowVersion = 0;
    bool m_isReading = false;
    bool m_isPlatformOut = false;
    std::optional<Instant> m_lastPlanAt;
    std::map<Incarnation, std::set<ServerName>> m_lostServersByDaemon;
    std::set<ServerName> m_lostServers;
    std::set<Incarnation> m_silentDaemons;
    /** Daemons that have pulled in this epoch. */
    std::set<Incarnation> m_pulledDaemons;
    /** Whether managers from before this epoch that have not pulled since were checked. */
    bool m_hasCheckedAbsentManagers = false;
    /** When this leader started to grant leases. */
    Instant m_recoveredAt;
};

inline std::uint64_t DomainLeader::epoch() const
{
    return m_epoch;
}

/** \returns the terms of routing leases that follow from the settings. */
RoutingLeaseTimings leaseTerms(const LeaseTimings &leases);

} // namespace bulrush

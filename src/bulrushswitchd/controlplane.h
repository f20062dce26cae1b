#pragma once

#include "connection/rpcdispatcher.h"
#include "controlcontext.h"
#include "dispatchgate.h"
#include "leadershipservice.h"
#include "leaseservice.h"
#include "limitregistry.h"
#include "loadrecorder.h"
#include "process/membership.h"
#include "process/versionstore.h"
#include "request/claim.h"
#include "routingview.h"
#include "servercontrol.h"
#include "serverqueue.h"
#include "serverstatusregistry.h"
#include "sharedburnrecorder.h"
#include "shareservice.h"
#include "viewholder.h"

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bulrush {

class DomainLeader;

/** State that the control thread shares with the traffic threads. Each part is thread safe. */
struct SharedState
{
    DispatchGate &gate;
    ServerStatusRegistry &serverStatuses;
    ViewHolder<RoutingView> &view;
    SharedBurnRecorder &burnRecorder;
    ServerQueues &serverQueues;
    LimitRegistry &limits;
    LoadRecorder &loads;
};

/**
 * The control state of a daemon: membership, contracts, domain leadership, leases and the servers
 * that it manages.
 *
 * Used on the control thread; it passes data to the traffic threads through SharedState.
 */
class ControlPlane
{
public:
    /** \a onDeparture is called when an operator has scheduled the departure of this host. */
    ControlPlane(ControlContext &context, SharedState shared, std::function<void()> onDeparture);
    ~ControlPlane();

    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Starts the periodic tasks. */
    void start();

    /** Answers the call \a text of another daemon. */
    std::string answerCall(const std::string &text);

    /** Notifies peers that this daemon leaves, and releases its leaderships. */
    void leave();

    /** Sends the final departure messages; no other messages follow. */
    void stop();

    /** \returns whether this daemon holds no leadership any more, and so may stop. */
    bool isDepartureComplete() const;

    /**
     * \returns whether this daemon can serve requests: it has contracts, the assignment of its
     * domain and shares of the limits.
     */
    bool isReady() const;

    /** \returns whether a newer daemon on this host has superseded this one. */
    bool isSuperseded() const;

    /** \returns the status page for operators; docs/operators/status.md describes it. */
    Json::Value status() const;

    /** \returns the membership state of the daemon that made a claim. */
    HolderState holderState(const Incarnation &holder) const;

    /** \returns the service-level counts in a format that can be merged across daemons. */
    std::string burnSnapshot() const;

    /** \returns the assignment of \a domain as JSON, or null. */
    Json::Value assignment(const DomainName &domain) const;

private:
    void addProcedures();
    void tickServices();
    void tickMembership();
    void readHosts();
    void readDepartures();
    void addDepartures(std::vector<ListedHost> &hosts) const;
    void probeServers();
    void updateLivePeers();
    void reportLoads();

    void perform(const MembershipActions &actions);
    void performAction(const OutgoingMessage &action);
    void performAction(const ReadPlatform &action);
    void performAction(const ApplyItem &action);
    void performAction(const MemberChanged &action);
    void performAction(const Superseded &action);
    void applyContract(const VersionedItem &item);
    void applyAssignment(const VersionedItem &item);

    Json::Value handleMemberMessage(const Json::Value &parameters);
    Json::Value handleLeasePull(const DomainName &domain, const Json::Value &request);
    Json::Value handlePromiseRequest(const Json::Value &promiseRequest);
    Json::Value handlePromiseRelease(const Json::Value &parameters);
    Json::Value handleLeaderAnnouncement(const Json::Value &parameters);
    Json::Value handleServerOrder(const Json::Value &parameters);
    Json::Value handleServerOrderResult(const Json::Value &parameters);
    Json::Value handleShareRenewal(const Json::Value &parameters);
    Json::Value handleLoadReport(const Json::Value &parameters);

    LeadershipService &service(const DomainName &domain);
    void handleLeadershipBegan(const DomainName &domain, const LeadershipStarted &began);
    void handleLeaderChange(const DomainName &domain, const AnnounceLeader &announcement);
    void adoptAssignment(const Assignment &assignment);
    void fetchAssignment(const DomainName &domain);
    void rebuildView();
    bool isInOwnDomain(const std::string &address) const;
    bool managesServersIn(const Assignment &assignment) const;
    std::vector<MemberRecord> daemonsFor(const DomainName &domain) const;
    std::map<ServiceName, Preference> keyedServices() const;

    Json::Value leaderStatus() const;
    Json::Value assignmentStatus() const;
    Json::Value serverStatus() const;
    Json::Value peerStatus() const;

    ControlContext &m_context;
    SharedState m_shared;
    std::function<void()> m_onDeparture;
    io::RpcDispatcher m_dispatcher;
    VersionStore m_versions;
    Membership m_membership;
    ServerControl m_servers;
    LeaseService m_leases;
    ShareService m_shares;
    std::map<DomainName, std::unique_ptr<LeadershipService>> m_leadershipServices;
    std::map<DomainName, std::unique_ptr<DomainLeader>> m_leaders;
    std::map<DomainName, Assignment> m_assignments;
    ContractMap m_contracts;
    std::set<ServerName> m_leavingServers;
    /** Hosts whose departure operators have scheduled. */
    std::set<HostName> m_departures;
    bool m_isLeaving = false;
    bool m_isViewStale = false;
};

} // namespace bulrush

#pragma once

#include "admission/callershares.h"
#include "admission/keygate.h"
#include "admission/ownerpressure.h"
#include "admission/requestedkeys.h"
#include "connection/serverclient.h"
#include "entrycounters.h"
#include "hostadmission.h"
#include "pacing/coldstarts.h"
#include "pacing/fullserver.h"
#include "pacing/slowstart.h"
#include "process/crashwatch.h"
#include "process/domainreach.h"
#include "process/entrysettings.h"
#include "process/looptimers.h"
#include "process/permit.h"
#include "process/requestadmission.h"
#include "process/retrybudgets.h"
#include "process/routingdatafreshness.h"
#include "process/routingstate.h"
#include "process/servergauges.h"
#include "process/serverlimits.h"
#include "process/servernotices.h"
#include "process/serverreach.h"
#include "process/serverstatement.h"
#include "request/relaychooser.h"
#include "request/requestqueue.h"
#include "version/keyassignment.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

class ForwardExchange;

/** Handlers for what requests did to servers. */
struct CrashHandlers
{
    /** Called when servers have crashed during requests. */
    std::function<void(std::vector<CrashReport>)> reported;
    /** Called when a request during which servers have crashed was answered. */
    std::function<void(const RequestFingerprint &)> answered;
};

/** Passes a query for a permit on; the answer comes later, on the thread of the query. */
using PermitHandler =
    std::function<void(const PermitQuery &, std::function<void(const PermitAnswer &)>)>;

/**
 * The state that the requests of one traffic thread share. All of it lives as long as the thread
 * and is used only there, except for the counters.
 */
struct ForwardContext
{
    ForwardContext(asio::io_context &loop, const EntrySettings &settings, EntryCounters &counters);

    asio::io_context &loop;
    /** What callers' requests and servers' answers hold. */
    std::shared_ptr<MemoryAccount> memory;
    io::ServerClient servers;
    io::LoopTimers timers;
    EntryCounters &counters;
    /** The host of this daemon. */
    HostName self;
    /** Which requests this host handles, by its size and load. */
    HostAdmission host;
    /** The latest state published by the control thread; set by setState(). */
    std::shared_ptr<const RoutingState> state;
    ServerGauges gauges;
    SlowStart slowStart;
    ColdStarts coldStarts;
    ServerLimits limits;
    ServerNotices notices;
    ServerReach reach;
    DomainReach domains;
    FullServer fullServers;
    ServerPicker picker;
    RequestQueue queue;
    RelayChooser relays;
    /** Requests of other daemons that have no answer yet. */
    std::size_t openRelayCount = 0;
    /** When a server last answered a request that another daemon relayed for this one. */
    Instant relayAnsweredAt;
    RetryBudgets retries;
    KeyGate keyGate;
    CallerShares callerShares;
    OwnerPressure ownerPressure;
    CrashWatch crashes;
    /** The latest quarantine published by the control thread; set by setQuarantine(). */
    std::shared_ptr<const Quarantine> quarantine = std::make_shared<const Quarantine>();
    AnsweredRequests answeredRequests;
    /** Suspect requests that are at a server; only one copy of each may be at a time. */
    std::set<RequestFingerprint> probes;
    /** Called on this thread. */
    CrashHandlers crashHandlers;
    /** Called on this thread. */
    PermitHandler permits;
    /** Called on this thread when the planner is to learn at once that an owner of keys leaves. */
    std::function<void()> leavingHandler;
    /** Servers that were found to be replaced, since the last report to the planner. */
    std::map<ServiceName, std::set<ServerName>> stoppedServers;
    /** Requests that were refused because the owner asked for a pause, since the last report. */
    std::map<ServerName, std::uint32_t> refusedForBackoff;
    /** Requested keys of services that are divided by key, since the last report to the planner. */
    std::map<ServiceName, RequestedKeys> requestedKeys;
    /** Requests that have no answer yet, by ticket. */
    std::map<std::uint64_t, std::shared_ptr<ForwardExchange>> openRequests;
    std::uint64_t nextTicket = 1;
    /** The process is about to stop, so that requests that arrive now could not be completed. */
    bool isRefusing = false;

    /** Applies the state that the control thread published. */
    void setState(std::shared_ptr<const RoutingState> published);

    /** Applies the published quarantine, and refuses queued requests that it blocks. */
    void setQuarantine(std::shared_ptr<const Quarantine> published);

    /**
     * Counts a request of \a caller, and decides whether to admit it. Logs the begin and the end of
     * a shortage.
     */
    CallerAdmission admitCaller(const ServiceName &service, std::string_view caller,
                                std::uint64_t hash, Instant now);

    /** Records that a caller's request for \a service was refused for lack of capacity. */
    void recordLackOfCapacity(const ServiceName &service, Instant now);

    /** \returns whether \a request may go to a server now. */
    RequestAdmission admission(const RequestFingerprint &request) const;

    /**
     * Records that the run \a server has stopped, and reports the requests that it was processing.
     * \a sign is logged as the reason for this conclusion.
     */
    void recordServerStopped(const ServerName &server, std::string_view sign);

    /** An answer of a server that is not evaluated yet. */
    struct Answer
    {
        ServerName server;
        int status = 0;
        /** The request that it answers. */
        std::string request;
        Instant sentAt;
        ServiceName service = {};
        /** Name of the request's route; empty if unknown. */
        std::string_view route = {};
    };

    /** Applies what \a answer states about its server. \returns what changed about its limit. */
    LimitChange recordStatement(const Answer &answer, const ServerStatement &statement);

    /** Records that \a server announced in the answer to \a request that it leaves. */
    void recordLeaving(const ServerName &server, const std::string &request);

    /** Records that \a server answered, or that a connection to it was established. */
    void recordServerReached(const ServerName &server);

    /** Records that \a server could not be reached, or did not answer. */
    void recordServerFailure(const ServerName &server);

    /**
     * \returns what the end of an attempt, sent to \a server of \a service at \a sentAt and still
     * counted in the gauges, indicates: an unsent one that the server was not reached, and a reset
     * that it is full, has failed or lost its path. Counts those at full servers.
     */
    AttemptOutcome outcomeOfBroken(const ServiceName &service, const ServerName &server,
                                   Instant sentAt, const io::HttpResult &result);

    /** \returns whether this daemon reaches no server although another one reached some just now.
     */
    bool isCutOff(Instant now) const;

    /** \returns which servers are out of reach, and the use of relays, for the operators' page. */
    std::string pathsText(Instant now) const;

    /** \returns the pauses and announcements of servers, for the operators' page. */
    std::string noticesText(Instant now) const;

    /** \returns the shares and loads that the planner stated, for the operators' page. */
    std::string admissionText(Instant now) const;

    /** Ends the pause that \a server asked for. \returns whether there was one. */
    bool endBackoff(const ServerName &server);

    /** Tries to connect to servers that could not be reached. To be called often. */
    void probeServers(Instant now);

    /** Logs and counts the slow starts that began or ended since the last call. */
    void reportPaceChanges();

    /** Counts and logs what found no room in memory, or was evicted from it, since the last call.
     */
    void reportMemory();

    /** Logs fields of a server's answer that this daemon does not know, each name once. */
    void logUnknownFields(const ServerName &server, std::span<const std::string_view> names);

    /** Applies the age of the published routing data, and whether the store can confirm it. */
    void setFreshness(const RoutingDataFreshness &freshness);

    /** \returns whether a later configuration may be in force elsewhere. */
    bool mayConfigBeOutdated(Instant now) const;

    /** Sends the requests that may be sent, and refuses those that can no longer be served. */
    void dispatch(Instant now);

    /** Schedules one dispatch, however often it is called before that runs. */
    void scheduleDispatch();

private:
    void handleConnectionEvent(const std::string &run, io::ServerClient::ConnectionEvent event);
    const ServerRecord *findServer(const ServerName &server) const;
    void recordLoad(const Answer &answer, const ServerStatement &statement);
    static void logShortage(const ServiceName &service, ShortageChange change);
    LimitChange recordLimit(const Answer &answer, const ServerStatement &statement);
    void recordBackoff(const Answer &answer, const BackoffStatement &statement);
    Duration timeForAllDaemons(const ServerName &server) const;
    void reportLeavingEarly(const ServerName &server);
    void removeStaleNotices();
    void handleRemovedServers();
    void logRoutes(const RoutingState &published);
    void probe(const ServerRecord &server, std::function<void(bool isConnected)> handler = {});
    void confirmStopped(const ServerName &server);
    void probeNextServer(Instant now);
    void probeNextServerIn(const DomainName &domain);
    void handleDomainReached(const DomainName &domain);
    void handleDomainOutOfReach(const DomainName &domain);
    std::vector<ServerName> serversIn(const DomainName &domain) const;

    ConfigBudget m_configBudget;
    std::uint64_t m_reportedRequestsWithoutRoom = 0;
    std::uint64_t m_reportedAnswersWithoutRoom = 0;
    std::uint64_t m_reportedEvictions = 0;
    /** The last instant at which the store was confirmed to hold no later configuration. */
    Instant m_configConfirmedAt;
    Instant m_leavingReportedAt;
    std::set<std::string, std::less<>> m_loggedFields;
    /** The server that was probed last because all are out of reach. */
    ServerName m_probedServer;
    Instant m_probedAt;
    /** The server that was probed last in each failure domain that was out of reach. */
    std::map<DomainName, ServerName> m_probedIn;
    Instant m_dispatchScheduledAt;
    bool m_isDispatchScheduled = false;
    bool m_isDispatchTimerSet = false;
};

} // namespace bulrush

#pragma once

#include "connection/serverclient.h"
#include "entrycounters.h"
#include "process/crashwatch.h"
#include "process/entrysettings.h"
#include "process/looptimers.h"
#include "process/requestpassage.h"
#include "process/retrybudgets.h"
#include "process/routingknowledge.h"
#include "process/routingstate.h"
#include "process/servergauges.h"
#include "request/requestqueue.h"
#include "version/keyadmission.h"
#include "version/keyassignment.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

class ForwardExchange;

/** Who is told of what requests did to servers. */
struct CrashHandlers
{
    /** Servers have ended under requests. */
    std::function<void(std::vector<CrashReport>)> reported;
    /** A request under which servers have ended was answered. */
    std::function<void(const RequestFingerprint &)> answered;
};

/**
 * What the requests of one traffic thread share. Everything lives as long as the thread and is used
 * on it alone, but for the counters.
 */
struct ForwardContext
{
    ForwardContext(asio::io_context &loop, const EntrySettings &settings, EntryCounters &counters);

    asio::io_context &loop;
    io::ServerClient servers;
    io::LoopTimers timers;
    EntryCounters &counters;
    /** The latest that the control thread published; set by setState(). */
    std::shared_ptr<const RoutingState> state;
    ServerGauges gauges;
    ServerPicker picker;
    RequestQueue queue;
    RetryBudgets retries;
    KeyGate keyGate;
    CrashWatch crashes;
    /** The latest that the control thread published; set by setQuarantine(). */
    std::shared_ptr<const Quarantine> quarantine = std::make_shared<const Quarantine>();
    AnsweredRequests answered;
    /** Suspects that are at a server: one copy of each at a time. */
    std::set<RequestFingerprint> trials;
    /** Told on this thread. */
    CrashHandlers crashHandlers;
    /** In whose places others answered, since that was last told to the planner. */
    std::map<ServiceName, std::set<ServerName>> endedServers;
    /** Of services that are divided by key, since they were last told to the planner. */
    std::map<ServiceName, std::vector<KeyPlace>> askedKeys;
    /** Requests that have no answer yet, by ticket. */
    std::map<std::uint64_t, std::shared_ptr<ForwardExchange>> open;
    std::uint64_t nextTicket = 1;
    /** The process is about to end: requests that come now could not be finished. */
    bool isRefusing = false;

    /** Takes in what the control thread published. */
    void setState(std::shared_ptr<const RoutingState> published);

    /** Takes in which requests are kept from servers, and refuses those that wait here. */
    void setQuarantine(std::shared_ptr<const Quarantine> published);

    /** \returns whether \a request may go to a server now. */
    RequestPassage passage(const RequestFingerprint &request) const;

    /** Notes that the run \a server has ended, by what shows it, and reports what it was at. */
    void serverEnded(const ServerName &server, std::string_view sign);

    /** Takes in how far what was published can be relied on. */
    void setKnowledge(const RoutingKnowledge &knowledge);

    /** \returns whether a later configuration may be in force elsewhere. */
    bool isConfigInDoubt(Instant now) const;

    /** Sends what may be sent, and refuses what can't be served any more. */
    void dispatch(Instant now);

    /** Dispatches soon, once for all that ask for it. */
    void dispatchSoon();

private:
    void linkChanged(const std::string &run, io::ServerClient::Link link);
    const ServerRecord *findServer(const ServerName &server) const;
    void noteGoneServers();
    void noteRoutes(const RoutingState &published);

    ConfigBudget m_configBudget;
    /** At that instant the store held no later configuration. */
    Instant m_configAsOf;
    bool m_isDispatchDue = false;
    bool m_isLookDue = false;
};

} // namespace bulrush

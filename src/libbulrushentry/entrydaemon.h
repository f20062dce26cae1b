#pragma once

#include "connection/callerserver.h"
#include "connection/serverclient.h"
#include "crashcontrol.h"
#include "entrycounters.h"
#include "entrypages.h"
#include "forwardworker.h"
#include "keycontrol.h"
#include "peerservice.h"
#include "permitcontrol.h"
#include "platform/storeclient.h"
#include "process/entrysettings.h"
#include "process/looptimers.h"
#include "statepublisher.h"
#include "storecalls.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace bulrush {

/** How an entry daemon stopped. */
enum class EntryResult {
    Drained,      ///< with nothing in flight
    ListenFailed, ///< an address can't be listened on
    CutOff,       ///< with requests in flight, because the drain time was over
};

/**
 * An entry daemon on the users' platform. It has two threads: the control thread, which is the one
 * that calls run(), and the traffic thread.
 */
class EntryDaemon
{
public:
    explicit EntryDaemon(EntrySettings settings);
    ~EntryDaemon();

    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    /** Listens, serves until a signal stops it, and drains. */
    EntryResult run();

private:
    FollowerDependencies followerDependencies();
    std::error_code listen();
    std::unique_ptr<io::CallerServer> createPageServer(const Endpoint &address);
    void printAddresses() const;
    void awaitSignal();
    void beginDrain();
    void watchDrain();
    void finish(EntryResult result);
    void advance(Instant now);
    void collectLoads();
    void reportLoads(std::vector<LoadSample> samples);
    bool isReady() const;
    void connectCrashControl();
    void connectPermitControl();

    EntrySettings m_settings;
    EntryCounters m_counters;
    asio::io_context m_loop{1};
    io::LoopTimers m_timers;
    io::ServerClient m_client;
    platform::StoreClient m_store;
    StoreCalls m_storeCalls;
    RowsClient m_rowsClient;
    StoreClock m_storeClock;
    ForwardWorker m_worker;
    FollowPlan m_plan;
    FollowerGroup m_followers;
    StatePublisher m_state;
    KeyControl m_keys;
    PermitControl m_permits;
    CrashControl m_crashes;
    std::unique_ptr<io::CallerServer> m_operators;
    std::unique_ptr<io::CallerServer> m_metrics;
    PeerService m_peerService;
    EntryPages m_pages;
    asio::signal_set m_signals;
    std::optional<Instant> m_drainingSince;
    bool m_isRefusing = false;
    bool m_isAnsweringOpen = false;
    /** Requests were still open at the end of the drain time. */
    bool m_isCutOff = false;
    /** The planner's last answer had shares by priority. */
    bool m_hasSharesByPriority = false;
    EntryResult m_result = EntryResult::Drained;
};

} // namespace bulrush

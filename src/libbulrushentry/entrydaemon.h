#pragma once

#include "connection/callerserver.h"
#include "connection/serverclient.h"
#include "crashcontrol.h"
#include "entrycounters.h"
#include "forwardworker.h"
#include "keycontrol.h"
#include "peerdesk.h"
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

/** How the run of an entry daemon ended. */
enum class EntryEnd {
    Drained,      ///< with nothing in flight
    ListenFailed, ///< an address can't be listened on
    CutOff,       ///< with requests in flight, as its time was up
};

/**
 * An entry daemon on the users' platform: the control thread, which is the one that calls run(),
 * and the traffic thread.
 */
class EntryDaemon
{
public:
    explicit EntryDaemon(EntrySettings settings);
    ~EntryDaemon();

    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    /** Listens, serves until a signal ends it, and drains. */
    EntryEnd run();

private:
    FollowerDependencies followerDependencies();
    std::error_code listen();
    std::unique_ptr<io::CallerServer> pagesAt(const Endpoint &address);
    void printAddresses() const;
    void awaitSignal();
    void beginDrain();
    void watchDrain();
    void finish(EntryEnd end);
    void advance(Instant now);
    void collectLoads();
    void tellLoads(std::vector<LoadSample> samples);
    bool isReady() const;
    void handOnCrashes();
    void answer(const io::IncomingRequest &request, io::ResponseWriter &writer);
    io::HttpResponse lift(const io::IncomingRequest &request);
    std::string metricsText() const;
    std::string statusText() const;

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
    CrashControl m_crashes;
    std::unique_ptr<io::CallerServer> m_operators;
    std::unique_ptr<io::CallerServer> m_metrics;
    PeerDesk m_peers;
    asio::signal_set m_signals;
    std::optional<Instant> m_drainingSince;
    bool m_isRefusing = false;
    EntryEnd m_end = EntryEnd::Drained;
};

} // namespace bulrush

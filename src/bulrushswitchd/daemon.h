#pragma once

#include "claimhandler.h"
#include "claimservice.h"
#include "connection/peerclient.h"
#include "controlplane.h"
#include "loadrecorder.h"
#include "operatorpages.h"
#include "process/counters.h"
#include "process/drain.h"
#include "process/looptimers.h"
#include "sharedburnrecorder.h"
#include "trafficworker.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace bulrush {

/** Result of a daemon's run; the values are the exit codes of the process. */
enum class ExitCode : int {
    Ok = 0,         ///< drained, or stopped with no requests in flight
    Usage = 2,      ///< invalid command line
    Settings = 3,   ///< invalid settings
    Listen = 4,     ///< cannot listen on an address
    CutOff = 5,     ///< stopped by a second signal with requests in flight
    Superseded = 6, ///< superseded by a newer daemon on this host
};

/**
 * A daemon: the control thread, which is the thread that calls run(), and the traffic threads.
 */
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Listens, serves requests until a signal arrives, and then drains. */
    ExitCode run();

private:
    std::error_code listen();
    void createClaimServices();
    void createControlPlane();
    io::HttpClient::TransferId fetchFromPlatform(io::HttpRequest request,
                                                 io::HttpClient::Handler handler);
    void printAddresses() const;
    void awaitSignal();
    void startDrain();
    void checkDrain();
    void finish(ExitCode code);

    DaemonSettings m_settings;
    MemberRecord m_self;
    Counters m_counters;
    ServerStatusRegistry m_serverStatuses;
    DispatchGate m_gate;
    ViewHolder<RoutingView> m_view;
    ServerQueues m_serverQueues;
    SharedBurnRecorder m_burnRecorder;
    LimitRegistry m_limits;
    LoadRecorder m_loads;
    std::atomic<bool> m_isRefusing{false};
    std::atomic<std::size_t> m_openRequests{0};
    std::vector<std::unique_ptr<TrafficWorker>> m_workers;
    TrafficPorts m_ports;

    asio::io_context m_loop{1};
    io::HttpClient m_http;
    /** Index of the platform endpoint in use. */
    std::size_t m_platformEndpoint = 0;
    io::LoopTimers m_timers;
    io::PeerClient m_peers;
    std::unique_ptr<io::PlatformClient> m_platform;
    std::unique_ptr<ControlContext> m_context;
    std::unique_ptr<ControlPlane> m_control;
    std::unique_ptr<ClaimService> m_claimService;
    std::unique_ptr<ClaimHandler> m_claims;
    std::unique_ptr<OperatorPages> m_pages;
    std::unique_ptr<io::CallerServer> m_peerServer;
    std::unique_ptr<io::CallerServer> m_operatorServer;
    asio::signal_set m_signals;
    std::optional<Instant> m_drainStartedAt;
    bool m_isOverdue = false;
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace bulrush

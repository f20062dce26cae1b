#pragma once

#include "connection/callerserver.h"
#include "connection/httpclient.h"
#include "process/looptimers.h"
#include "process/retrybudget.h"
#include "trafficcontext.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <memory>
#include <system_error>
#include <thread>

namespace bulrush {

/** Ports on which a traffic thread listens; the operating system chooses a port for 0. */
struct TrafficPorts
{
    std::uint16_t callers = 0;
    std::uint16_t relay = 0;
};

/**
 * A traffic thread with its event loop, its HTTP servers for callers and other daemons, and its
 * HTTP client for backend servers.
 *
 * Created, started and destroyed on one thread; requests are handled on the thread of the worker.
 */
class TrafficWorker
{
public:
    explicit TrafficWorker(const TrafficShared &shared);
    ~TrafficWorker();

    TrafficWorker(const TrafficWorker &) = delete;
    TrafficWorker &operator=(const TrafficWorker &) = delete;

    /** Listens; call it before start(). Sets \a ports to the ports in use. */
    std::error_code listen(TrafficPorts &ports);

    /** Runs the loop on a new thread. */
    void start();

    /** Stops accepting connections and lets pending requests complete. Thread safe. */
    void drain();

    /** Stops the loop and joins the thread. */
    void stop();

private:
    io::CallerServerSettings serverSettings(const Endpoint &endpoint) const;

    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    io::HttpClient m_http;
    io::LoopTimers m_timers;
    RetryBudget m_retries;
    TrafficContext m_context;
    std::unique_ptr<io::CallerServer> m_callers;
    std::unique_ptr<io::CallerServer> m_relay;
    std::thread m_thread;
};

} // namespace bulrush

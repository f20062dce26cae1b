#pragma once

#include "connection/callerserver.h"
#include "forwardcontext.h"
#include "process/entrysettings.h"
#include "version/serviceload.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>
#include <thread>
#include <vector>

namespace bulrush {

/**
 * The thread that carries traffic: its loop, its server towards callers and its connections to
 * backend servers.
 *
 * Made, started and stopped on the control thread; the rest happens on its own.
 */
class ForwardWorker
{
public:
    using LoadHandler = std::function<void(std::vector<LoadSample>)>;

    ForwardWorker(const EntrySettings &settings, EntryCounters &counters);
    ~ForwardWorker();

    ForwardWorker(const ForwardWorker &) = delete;
    ForwardWorker &operator=(const ForwardWorker &) = delete;

    /** Listens for callers, before the thread runs. */
    std::error_code listen();

    /** \returns the port listened on. \pre listen() succeeded */
    std::uint16_t port() const;

    void start();

    /** Hands the thread what it routes by from now on. Thread safe. */
    void setState(std::shared_ptr<const RoutingState> state);

    /** Hands the thread how far what it routes by can be relied on. Thread safe. */
    void setKnowledge(const RoutingKnowledge &knowledge);

    /** Hands the thread what part of the requests for hot keys to let in. Thread safe. */
    void setKeyShares(std::vector<KeyShares> shares);

    /** Hands the thread which requests are kept from servers. Thread safe. */
    void setQuarantine(std::shared_ptr<const Quarantine> quarantine);

    /** Sets who is told, on the thread, of what requests did to servers. \pre before start() */
    void setCrashHandlers(CrashHandlers handlers);

    /** Has each answer from now on end its connection. Thread safe. */
    void drain();

    /** Takes no further connections or requests: those that still come did not run. Thread safe. */
    void refuseNew();

    /** Hands what was seen since the last call to \a handler, on the thread. Thread safe. */
    void collectLoads(LoadHandler handler);

    /** \returns how many requests have no answer yet. Thread safe. */
    std::size_t openCount() const;

    /** \returns how many connections of callers are open, as of some milliseconds ago. Thread safe.
     */
    std::size_t connectionCount() const;

    /** Ends the loop and its thread. */
    void stop();

private:
    io::CallerServerSettings serverSettings() const;
    void watch(Instant now);
    std::vector<LoadSample> takeLoads();
    std::optional<ServiceName> keyedServiceOf(const ServerName &server) const;

    EntrySettings m_settings;
    EntryCounters &m_counters;
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    ForwardContext m_context;
    std::unique_ptr<io::CallerServer> m_callers;
    std::atomic<std::size_t> m_openCount{0};
    std::atomic<std::size_t> m_connectionCount{0};
    std::uint64_t m_countedConnections = 0;
    std::thread m_thread;
};

inline std::size_t ForwardWorker::connectionCount() const
{
    return m_connectionCount;
}

inline std::size_t ForwardWorker::openCount() const
{
    return m_openCount;
}

} // namespace bulrush

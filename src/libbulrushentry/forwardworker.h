#pragma once

#include "connection/callerserver.h"
#include "forwardcontext.h"
#include "process/entrysettings.h"
#include "process/evacuationreport.h"
#include "version/serviceload.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <system_error>
#include <thread>
#include <vector>

namespace bulrush {

/**
 * The traffic thread, with its event loop, its server for callers and its connections to backend
 * servers.
 *
 * Created, started and stopped on the control thread; all else runs on the traffic thread.
 */
class ForwardWorker
{
public:
    using LoadHandler = std::function<void(std::vector<LoadSample>)>;

    ForwardWorker(const EntrySettings &settings, EntryCounters &counters);
    ~ForwardWorker();

    ForwardWorker(const ForwardWorker &) = delete;
    ForwardWorker &operator=(const ForwardWorker &) = delete;

    /** Listens for callers, and for requests that other daemons relay. \pre start() was not called
     */
    std::error_code listen();

    /** \returns the port listened on. \pre listen() succeeded */
    std::uint16_t port() const;

    void start();

    /** Passes new routing state to the thread. Thread safe. */
    void setState(std::shared_ptr<const RoutingState> state);

    /** Passes the age of the routing state, and whether it can be confirmed. Thread safe. */
    void setFreshness(const RoutingDataFreshness &freshness);

    /** Passes the shares of requests to admit, and the loads of owners. Thread safe. */
    void setKeyShares(std::vector<KeyShares> shares);

    /** Passes the requests that must not be sent to servers. Thread safe. */
    void setQuarantine(std::shared_ptr<const Quarantine> quarantine);

    /** Sets handlers, called on the traffic thread, for crashes. \pre start() was not called */
    void setCrashHandlers(CrashHandlers handlers);

    /**
     * Sets the handler, called on the traffic thread, for queries of permits. It has to pass each
     * answer to handlePermit(). \pre start() was not called
     */
    void setPermitHandler(PermitHandler handler);

    /**
     * Sets the handler, called on the traffic thread, that reports the loads early because an owner
     * of keys has announced that it leaves. \pre start() was not called
     */
    void setLeavingHandler(std::function<void()> handler);

    /** Passes \a answer to \a handler on the traffic thread. Thread safe. */
    void handlePermit(const PermitAnswer &answer,
                      std::function<void(const PermitAnswer &)> handler);

    /** Makes each later answer close its connection. Thread safe. */
    void drain();

    /**
     * Accepts no further connections, and passes no further request on: refuses those that still
     * arrive, and those that wait for the rest of their body or for a server. Thread safe.
     */
    void refuseNew();

    /** Answers the requests that are still open, with an unknown outcome if needed. Thread safe. */
    void answerOpen();

    /** Passes the loads since the last call to \a handler, on the traffic thread. Thread safe. */
    void collectLoads(LoadHandler handler);

    using ServiceUseHandler = std::function<void(std::vector<ServiceUse>)>;

    /** Passes the use of the backend servers to \a handler, on the traffic thread. Thread safe. */
    void collectServiceUse(ServiceUseHandler handler);

    using LimitsHandler = std::function<void(std::map<ServerName, KnownLimit>)>;

    /** Passes the known limits of servers to \a handler, on the traffic thread. Thread safe. */
    void collectLimits(LimitsHandler handler);

    using TextHandler = std::function<void(std::string)>;

    /** Passes the text of the page of paths to \a handler, on the traffic thread. Thread safe. */
    void collectPaths(TextHandler handler);

    /** Passes the text of the page of notices to \a handler, on the traffic thread. Thread safe. */
    void collectNotices(TextHandler handler);

    /** Passes the text of the page of admission to \a handler, on the traffic thread. Thread safe.
     */
    void collectAdmission(TextHandler handler);

    /**
     * Ends the pause that \a server asked for, and passes to \a handler, on the traffic thread,
     * whether there was one. Thread safe.
     */
    void endBackoff(const ServerName &server, std::function<void(bool wasPaused)> handler);

    /** \returns how many requests have no answer yet. Thread safe. */
    std::size_t openCount() const;

    /** \returns the account of the memory for requests and answers. */
    const MemoryAccount &memory() const;

    /** \returns how many connections of callers were open at the last update. Thread safe. */
    std::size_t connectionCount() const;

    /**
     * \returns whether no server could be reached at the last update although other daemons
     * reached some. Thread safe.
     */
    bool isCutOff() const;

    /** Stops the event loop and joins the thread. */
    void stop();

private:
    io::CallerServerSettings serverSettings(const Endpoint &address) const;
    void handleRelayed(std::shared_ptr<io::IncomingRequest> request,
                       std::shared_ptr<io::ResponseWriter> writer);
    void updateMeasurements(Instant now);
    std::vector<LoadSample> collectSamples();
    std::optional<ServiceName> keyedServiceOf(const ServerName &server) const;

    EntrySettings m_settings;
    EntryCounters &m_counters;
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    ForwardContext m_context;
    std::unique_ptr<io::CallerServer> m_callers;
    /** Takes the requests that other daemons relay; null if there is no address for them. */
    std::unique_ptr<io::CallerServer> m_relays;
    std::atomic<std::size_t> m_openCount{0};
    std::atomic<std::size_t> m_connectionCount{0};
    std::atomic<bool> m_isCutOff{false};
    std::uint64_t m_countedConnections = 0;
    std::uint64_t m_countedEvictions = 0;
    std::thread m_thread;
};

inline std::size_t ForwardWorker::connectionCount() const
{
    return m_connectionCount;
}

inline bool ForwardWorker::isCutOff() const
{
    return m_isCutOff;
}

inline const MemoryAccount &ForwardWorker::memory() const
{
    return *m_context.memory;
}

inline std::size_t ForwardWorker::openCount() const
{
    return m_openCount;
}

} // namespace bulrush

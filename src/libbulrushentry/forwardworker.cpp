#include "forwardworker.h"

#include "connection/httpstatus.h"
#include "forwardexchange.h"
#include "process/hostclock.h"
#include "refusal.h"

#include <asio/post.hpp>

#include <map>
#include <utility>

namespace bulrush {

namespace {

/** Interval at which gauges and counters are updated. */
constexpr Duration updateInterval = std::chrono::milliseconds{100};
/** Bodies up to this length are buffered completely before their request is handled. */
constexpr std::uint64_t bufferedBodyLimit = std::uint64_t{1} << 20;
/** Callers keep idle connections for some 15 s; this is longer, so that the caller closes first. */
constexpr Duration callerIdleTimeout = std::chrono::seconds{25};
constexpr int badRequest = 400;

} // namespace

ForwardWorker::ForwardWorker(const EntrySettings &settings, EntryCounters &counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_guard(asio::make_work_guard(m_loop))
    , m_context(m_loop, settings, counters)
{ }

ForwardWorker::~ForwardWorker()
{
    stop();
}

std::error_code ForwardWorker::listen()
{
    m_callers = std::make_unique<io::CallerServer>(
        m_loop, serverSettings(m_settings.callers), [this](auto request, auto writer) {
            std::make_shared<ForwardExchange>(m_context, std::move(request), std::move(writer))
                ->start();
            m_openCount = m_context.openRequests.size();
        });
    if (const std::error_code error = m_callers->listen())
        return error;
    if (m_settings.relays.port == 0)
        return {};
    m_relays = std::make_unique<io::CallerServer>(
        m_loop, serverSettings(m_settings.relays), [this](auto request, auto writer) {
            handleRelayed(std::move(request), std::move(writer));
        });
    return m_relays->listen();
}

void ForwardWorker::handleRelayed(std::shared_ptr<io::IncomingRequest> request,
                                  std::shared_ptr<io::ResponseWriter> writer)
{
    std::optional<RelayTerms> terms = relayTerms(request->head().headers);
    if (!terms) {
        writer->send(io::plainTextResponse(badRequest, "only daemons relay requests here\n"));
        return;
    }
    std::make_shared<ForwardExchange>(m_context, std::move(request), std::move(writer),
                                      std::move(terms))
        ->start();
}

std::uint16_t ForwardWorker::port() const
{
    return m_callers->port();
}

void ForwardWorker::start()
{
    m_context.timers.every(updateInterval, [this](Instant now) { updateMeasurements(now); });
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
}

void ForwardWorker::setState(std::shared_ptr<const RoutingState> state)
{
    asio::post(m_loop, [this, state = std::move(state)]() mutable {
        m_context.setState(std::move(state));
    });
}

void ForwardWorker::setFreshness(const RoutingDataFreshness &freshness)
{
    asio::post(m_loop, [this, freshness] { m_context.setFreshness(freshness); });
}

void ForwardWorker::setKeyShares(std::vector<KeyShares> shares)
{
    asio::post(m_loop, [this, shares = std::move(shares)] {
        const Instant now = io::hostNow();
        m_context.keyGate.set(shares, now);
        m_context.ownerPressure.set(shares, now);
    });
}

void ForwardWorker::setQuarantine(std::shared_ptr<const Quarantine> quarantine)
{
    asio::post(m_loop, [this, quarantine = std::move(quarantine)]() mutable {
        m_context.setQuarantine(std::move(quarantine));
    });
}

void ForwardWorker::setCrashHandlers(CrashHandlers handlers)
{
    m_context.crashHandlers = std::move(handlers);
}

void ForwardWorker::setPermitHandler(PermitHandler handler)
{
    m_context.permits = std::move(handler);
}

void ForwardWorker::setLeavingHandler(std::function<void()> handler)
{
    m_context.leavingHandler = std::move(handler);
}

void ForwardWorker::handlePermit(const PermitAnswer &answer,
                                 std::function<void(const PermitAnswer &)> handler)
{
    asio::post(m_loop, [answer, handler = std::move(handler)] { handler(answer); });
}

void ForwardWorker::drain()
{
    asio::post(m_loop, [this] {
        m_callers->drain();
        if (m_relays)
            m_relays->drain();
    });
}

void ForwardWorker::refuseNew()
{
    asio::post(m_loop, [this] {
        m_context.isRefusing = true;
        m_callers->stopListening();
        for (const auto &[ticket, exchange] : std::map{m_context.openRequests})
            exchange->refuseUnlessPassedOn();
        m_callers->closeIdle();
    });
}

void ForwardWorker::answerOpen()
{
    asio::post(m_loop, [this] {
        for (const auto &[ticket, exchange] : std::map{m_context.openRequests})
            exchange->refuse(refusal::shuttingDown);
    });
}

void ForwardWorker::collectLoads(LoadHandler handler)
{
    asio::post(m_loop, [this, handler = std::move(handler)] { handler(collectSamples()); });
}

void ForwardWorker::collectServiceUse(ServiceUseHandler handler)
{
    asio::post(m_loop, [this, handler = std::move(handler)] {
        const auto inFlight = [this](const ServerName &server) {
            return static_cast<std::uint64_t>(m_context.gauges.inFlight(server));
        };
        handler(m_context.state ? serviceUse(*m_context.state, inFlight)
                                : std::vector<ServiceUse>{});
    });
}

void ForwardWorker::collectLimits(LimitsHandler handler)
{
    asio::post(m_loop,
               [this, handler = std::move(handler)] { handler(m_context.limits.limits()); });
}

void ForwardWorker::collectPaths(TextHandler handler)
{
    asio::post(m_loop, [this, handler = std::move(handler)] {
        handler(m_context.pathsText(io::hostNow()));
    });
}

void ForwardWorker::collectNotices(TextHandler handler)
{
    asio::post(m_loop, [this, handler = std::move(handler)] {
        handler(m_context.noticesText(io::hostNow()));
    });
}

void ForwardWorker::collectAdmission(TextHandler handler)
{
    asio::post(m_loop, [this, handler = std::move(handler)] {
        handler(m_context.admissionText(io::hostNow()));
    });
}

void ForwardWorker::endBackoff(const ServerName &server,
                               std::function<void(bool wasPaused)> handler)
{
    asio::post(m_loop, [this, server, handler = std::move(handler)] {
        handler(m_context.endBackoff(server));
    });
}

void ForwardWorker::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
    for (const auto &[ticket, exchange] : m_context.openRequests)
        exchange->logUnfinished();
}

io::CallerServerSettings ForwardWorker::serverSettings(const Endpoint &address) const
{
    io::CallerServerSettings settings;
    settings.address = address.address;
    settings.port = address.port;
    settings.bufferedBodyLimit = bufferedBodyLimit;
    settings.requestReadTimeout = callerIdleTimeout;
    settings.bodyLimit = m_settings.limits.maxBodyBytes;
    settings.headerValueLimit = m_settings.limits.maxHeaderBytes;
    settings.memory = m_context.memory;
    return settings;
}

void ForwardWorker::updateMeasurements(Instant now)
{
    m_openCount = m_context.openRequests.size();
    m_connectionCount = m_callers->connectionCount();
    m_context.host.update(updateInterval, now);
    m_context.gauges.removeIdle(now);
    m_context.fullServers.removeIdle(now);
    m_context.slowStart.removeExpired(now);
    m_context.crashes.forget(now);
    m_context.probeServers(now);
    m_context.reportPaceChanges();
    m_isCutOff = m_context.isCutOff(now);
    m_context.memory->updateTransfers(now);
    m_context.reportMemory();
    const std::uint64_t opened = m_context.servers.openedConnectionCount();
    const std::uint64_t evictions = m_callers->evictionCount();
    m_counters.add(EntryCounter::ConnectionsGivenWay,
                   evictions - std::exchange(m_countedEvictions, evictions));
    m_counters.add(EntryCounter::ConnectionsOpened,
                   opened - std::exchange(m_countedConnections, opened));
}

std::vector<LoadSample> ForwardWorker::collectSamples()
{
    std::map<ServiceName, LoadSample> samples;
    const RouteTable *routes = m_context.state ? m_context.state->routes.get() : nullptr;
    for (auto &[service, requested] : std::exchange(m_context.requestedKeys, {})) {
        samples[service] = {service, std::move(requested.keys), {}, {}, {}};
        if (routes && routes->hasSeveralPriorities(service))
            samples[service].priorities = std::move(requested.priorities);
    }
    for (ServerWork &work : m_context.gauges.takeWork()) {
        const std::optional<ServiceName> service = keyedServiceOf(work.server);
        if (service) {
            LoadSample &sample = samples[*service];
            sample.service = *service;
            sample.work.push_back(std::move(work));
        }
    }
    for (LimitReport &report : m_context.limits.takeReports(io::hostNow())) {
        const std::optional<ServiceName> service = keyedServiceOf(report.server);
        if (service) {
            LoadSample &sample = samples[*service];
            sample.service = *service;
            sample.limits.push_back(std::move(report));
        }
    }
    for (const auto &[server, count] : std::exchange(m_context.refusedForBackoff, {})) {
        if (const std::optional<ServiceName> service = keyedServiceOf(server)) {
            LoadSample &sample = samples[*service];
            sample.service = *service;
            sample.backoffs.push_back(
                {server, count, m_context.notices.backoffLeft(server, io::hostNow())});
        }
    }
    for (const auto &[server, notice] : m_context.notices.notices()) {
        const std::optional<ServiceName> service = keyedServiceOf(server);
        if (service && notice.leavingSince) {
            LoadSample &sample = samples[*service];
            sample.service = *service;
            sample.leaving.push_back(server);
        }
    }
    for (auto &[service, servers] : std::exchange(m_context.stoppedServers, {})) {
        samples[service].service = service;
        samples[service].ended.assign(servers.begin(), servers.end());
    }
    std::vector<LoadSample> result;
    result.reserve(samples.size());
    for (auto &[service, sample] : samples)
        result.push_back(std::move(sample));
    return result;
}

/** \returns the service of \a server if the service is divided by key. */
std::optional<ServiceName> ForwardWorker::keyedServiceOf(const ServerName &server) const
{
    if (!m_context.state)
        return std::nullopt;
    for (const auto &[service, assignment] : m_context.state->assignments) {
        if (m_context.state->server(service, server))
            return service;
    }
    return std::nullopt;
}

} // namespace bulrush

#include "entrydaemon.h"

#include "connection/httpstatus.h"
#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "version/loadsamplecodec.h"

#include <asio/post.hpp>
#include <xxhash.h>

#include <csignal>
#include <iostream>
#include <random>
#include <utility>

namespace bulrush {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

/** Requests under which servers ended, for operators. */
constexpr std::string_view quarantinePath = "/quarantine";
/** Followed by the fingerprint of one that is to be let through again. */
constexpr std::string_view liftPath = "/quarantine/lift/";

/** How often control looks at what is due. */
constexpr Duration controlInterval = std::chrono::milliseconds{100};
/** Calls are logged once a second, so that a line is bounded however many they are. */
constexpr Duration callsInterval = std::chrono::seconds{1};
/** How often daemons tell the planner what they saw: hot keys come and go in some seconds. */
constexpr Duration loadInterval = std::chrono::milliseconds{600};
constexpr Duration drainInterval = std::chrono::milliseconds{50};
/**
 * The balancer asks once a second and takes a host out after two misses; callers may come until
 * then, and a while after. Where most hosts of a domain leave at once they come on and on.
 */
constexpr Duration balancerNotice = std::chrono::milliseconds{2700};
/** After new requests are refused, for callers that were just sending. */
constexpr Duration closeNotice = std::chrono::milliseconds{300};

Incarnation newIncarnation(const HostName &host)
{
    std::random_device random;
    return Incarnation{host.value() + '/' + std::to_string(random())};
}

Duration patienceOf(const EntrySettings &settings)
{
    const std::string &name = settings.host.value();
    return plannerPatience(XXH3_64bits(name.data(), name.size()), settings.processors);
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_timers(m_loop)
    , m_client(m_loop)
    , m_store(m_client, m_settings.store)
    , m_rowsClient(m_client, [this] { return m_keys.peers(); })
    , m_worker(m_settings, m_counters)
    , m_plan(m_settings.host, m_settings.domain, io::hostNow())
    , m_state(
          followerDependencies(),
          {DrainBudget{m_settings.serverDrain}, ConfigBudget{m_settings.configInForce}},
          [this](std::shared_ptr<const RoutingState> state) {
              m_worker.setState(std::move(state));
          },
          [this](const RoutingKnowledge &knowledge) { m_worker.setKnowledge(knowledge); })
    , m_keys({followerDependencies(), m_client, m_state},
             {m_settings.host, newIncarnation(m_settings.host), m_settings.domain, m_settings.peers,
              patienceOf(m_settings), m_settings.processors})
    , m_crashes(followerDependencies(), m_settings.host,
                [this](std::shared_ptr<const Quarantine> quarantine) {
                    m_worker.setQuarantine(std::move(quarantine));
                })
    , m_peers(m_keys, m_state, m_timers, m_followers, LinkBudget{m_settings.linkMegabits})
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{ }

EntryDaemon::~EntryDaemon() = default;

FollowerDependencies EntryDaemon::followerDependencies()
{
    return {m_store, m_timers, m_rowsClient, m_storeClock, m_plan, m_followers};
}

EntryEnd EntryDaemon::run()
{
    if (const std::error_code error = listen()) {
        io::logEvent(LogLevel::Error, "listen-failed", {{"error", error.message()}});
        return EntryEnd::ListenFailed;
    }
    printAddresses();
    io::logEvent(LogLevel::Info, "started",
                 {{"domain", m_settings.domain.value()}, {"store", toString(m_settings.store)}});
    awaitSignal();
    m_store.setCallObserver([this](const platform::StoreCallEnd &call) { m_storeCalls.add(call); });
    m_timers.every(callsInterval, [this](Instant) {
        m_storeCalls.log();
        m_peers.logServed();
    });
    handOnCrashes();
    m_worker.start();
    m_state.start();
    m_keys.start();
    m_timers.every(controlInterval, [this](Instant now) { advance(now); });
    m_timers.every(loadInterval, [this](Instant) { collectLoads(); });
    m_loop.run();
    m_worker.stop();
    io::logEvent(LogLevel::Info, "stopped", {{"in-flight", std::to_string(m_worker.openCount())}});
    return m_end;
}

/** Has what traffic sees of crashes told to control, and what others saw. */
void EntryDaemon::handOnCrashes()
{
    m_worker.setCrashHandlers(
        {[this](std::vector<CrashReport> reports) {
             asio::post(m_loop,
                        [this, reports = std::move(reports)] { m_crashes.applyReports(reports); });
         },
         [this](const RequestFingerprint &request) {
             asio::post(m_loop, [this, request] { m_crashes.recordAnswer(request); });
         }});
    m_keys.setChangeHandler([this](const TableChange &change) {
        m_crashes.setDaemons(m_keys.hosts());
        m_crashes.applyRows(change);
    });
}

std::error_code EntryDaemon::listen()
{
    m_operators = pagesAt(m_settings.operators);
    if (const std::error_code error = m_operators->listen())
        return error;
    if (m_settings.metrics.port != 0) {
        m_metrics = pagesAt(m_settings.metrics);
        if (const std::error_code error = m_metrics->listen())
            return error;
    }
    if (const std::error_code error = m_peers.listen(m_loop, m_settings.peers))
        return error;
    return m_worker.listen();
}

std::unique_ptr<io::CallerServer> EntryDaemon::pagesAt(const Endpoint &address)
{
    io::CallerServerSettings settings;
    settings.address = address.address;
    settings.port = address.port;
    return std::make_unique<io::CallerServer>(
        m_loop, settings,
        [this](const auto &request, const auto &writer) { answer(*request, *writer); });
}

void EntryDaemon::printAddresses() const
{
    std::cout << "listening callers " << toString({m_settings.callers.address, m_worker.port()})
              << '\n'
              << "listening operators "
              << toString({m_settings.operators.address, m_operators->port()}) << '\n'
              << "ready" << std::endl;
}

void EntryDaemon::awaitSignal()
{
    m_signals.async_wait([this](const std::error_code &error, int signal) {
        if (error)
            return;
        // Settings name addresses only, which do not change while the process runs.
        if (signal == SIGHUP)
            io::logEvent(LogLevel::Info, "reload", {{"changed", "nothing"}});
        else
            beginDrain();
        awaitSignal();
    });
}

void EntryDaemon::beginDrain()
{
    if (m_drainingSince)
        return;
    m_drainingSince = io::hostNow();
    io::logEvent(LogLevel::Info, "drain-began",
                 {{"in-flight", std::to_string(m_worker.openCount())}});
    m_keys.resign();
    m_worker.drain();
    m_timers.every(drainInterval, [this](Instant) { watchDrain(); });
}

void EntryDaemon::watchDrain()
{
    const Duration passed = io::hostNow() - *m_drainingSince;
    if (passed > m_settings.drainTime) {
        finish(m_worker.openCount() == 0 ? EntryEnd::Drained : EntryEnd::CutOff);
        return;
    }
    if (passed < balancerNotice)
        return;
    if (!std::exchange(m_isRefusing, true))
        m_worker.refuseNew();
    // An answer may be given and not yet be written. Each connection ends with its last answer.
    const bool isDone = m_worker.openCount() == 0 && m_worker.connectionCount() == 0;
    if (passed > balancerNotice + closeNotice && isDone)
        finish(EntryEnd::Drained);
}

void EntryDaemon::finish(EntryEnd end)
{
    m_end = end;
    m_loop.stop();
}

void EntryDaemon::advance(Instant now)
{
    m_state.advance(now);
    m_keys.advance(now);
    m_crashes.advance(now);
}

void EntryDaemon::collectLoads()
{
    m_worker.collectLoads([this](std::vector<LoadSample> samples) {
        asio::post(m_loop, [this, samples = std::move(samples)]() mutable {
            tellLoads(std::move(samples));
        });
    });
}

/** Hands \a samples to the planner; those that don't reach it are not missed for long. */
void EntryDaemon::tellLoads(std::vector<LoadSample> samples)
{
    m_keys.addLoads(samples);
    if (m_keys.isPlanning())
        m_worker.setKeyShares(m_keys.keyShares());
    const std::optional<Endpoint> planner = m_keys.plannerAddress();
    if (!planner || samples.empty())
        return;
    io::ServerCall call;
    call.server = *planner;
    call.method = "POST";
    call.target = loadsPath;
    call.headers = {{"Host", toString(*planner)}};
    call.body = std::make_shared<const std::string>(io::encodeLoadSamples(samples));
    call.timeout = loadInterval;
    m_client.send(std::move(call), [this](const io::HttpResult &result) {
        auto shares = io::decodeKeyShares(result.error ? "" : result.response.body);
        if (shares)
            m_worker.setKeyShares(std::move(*shares));
    });
}

bool EntryDaemon::isReady() const
{
    return m_state.isComplete() && !m_drainingSince;
}

io::HttpResponse EntryDaemon::lift(const io::IncomingRequest &request)
{
    const std::string_view target = request.head().target;
    const auto fingerprint = RequestFingerprint::fromString(target.substr(liftPath.size()));
    if (request.head().method != "POST" || !fingerprint)
        return io::textPage(badRequest, "use: POST /quarantine/lift/ and 16 hexadecimal digits\n");
    if (!m_crashes.lift(*fingerprint))
        return io::textPage(notFound, "no such request is suspect\n");
    return io::textPage(ok, "lifted\n");
}

void EntryDaemon::answer(const io::IncomingRequest &request, io::ResponseWriter &writer)
{
    const std::string &target = request.head().target;
    if (target == "/readyz")
        writer.send(io::textPage(isReady() ? ok : serviceUnavailable,
                                 isReady() ? "ready\n" : "not ready\n"));
    else if (target == "/metrics")
        writer.send(io::textPage(ok, metricsText()));
    else if (target == "/status")
        writer.send(io::textPage(ok, statusText()));
    else if (target == quarantinePath)
        writer.send(io::textPage(ok, m_crashes.page()));
    else if (target.starts_with(liftPath))
        writer.send(lift(request));
    else
        writer.send(io::textPage(notFound, "pages: /readyz, /metrics, /status, /quarantine\n"));
}

std::string EntryDaemon::metricsText() const
{
    return m_counters.text() + m_storeCalls.text() + m_peers.servedText()
        + "bulrush_log_lines_dropped_total " + std::to_string(io::droppedLogLines())
        + "\nbulrush_open_requests " + std::to_string(m_worker.openCount()) + '\n'
        + m_state.configMetrics(io::hostNow()) + "bulrush_planning "
        + (m_keys.isPlanning() ? "1" : "0") + "\nbulrush_store_reached "
        + (m_keys.isStoreReached() ? "1" : "0") + '\n';
}

std::string EntryDaemon::statusText() const
{
    const auto &routes = m_state.routes();
    std::string text = "host: " + m_settings.host.value() + '\n';
    text += "domain: " + m_settings.domain.value() + '\n';
    text += "config: " + std::to_string(routes ? routes->config().version : 0) + '\n';
    text += "servers: " + std::to_string(m_state.directory().servers().size()) + '\n';
    text += std::string{"planner: "} + (m_keys.isPlanning() ? "yes" : "no") + '\n';
    text += std::string{"store: "} + (m_keys.isStoreReached() ? "reached" : "lost") + '\n';
    text += "open: " + std::to_string(m_worker.openCount()) + '\n';
    return text;
}

} // namespace bulrush

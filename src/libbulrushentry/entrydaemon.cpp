#include "entrydaemon.h"

#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "version/loadsamplecodec.h"

#include <asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <utility>

namespace bulrush {

namespace {

/** Interval at which the control thread executes what is due. */
constexpr Duration controlInterval = std::chrono::milliseconds{100};
/** Store calls are logged as one summary a second, so that their number does not affect the log. */
constexpr Duration callLogInterval = std::chrono::seconds{1};
/** Interval of load reports to the planner: hot keys appear and disappear within some seconds. */
constexpr Duration loadInterval = std::chrono::milliseconds{600};
constexpr Duration drainInterval = std::chrono::milliseconds{50};
/**
 * The load balancer polls once a second and removes a host after two failures; requests may arrive
 * until then and a short time after. They continue to arrive if most hosts of a domain leave at
 * once.
 */
constexpr Duration balancerNoticePeriod = std::chrono::milliseconds{2700};
/** After the drain time, to write the answers to requests that are still open. */
constexpr Duration lastAnswerPeriod = std::chrono::milliseconds{200};
/** After new requests are refused, for callers that were sending a request at that moment. */
constexpr Duration closeGracePeriod = std::chrono::milliseconds{300};

Incarnation newIncarnation(const HostName &host)
{
    std::random_device random;
    return Incarnation{host.value() + '/' + std::to_string(random())};
}

Duration plannerDelayOf(const EntrySettings &settings)
{
    const std::string &name = settings.host.value();
    return plannerTakeoverDelay(XXH3_64bits(name.data(), name.size()), settings.processors);
}

KeyTimings keyTimingsOf(const EntrySettings &settings)
{
    KeyTimings timings;
    timings.records = settings.serverRecords;
    return timings;
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings settings)
    : m_settings(std::move(settings))
    , m_timers(m_loop)
    , m_client(m_loop, m_settings.outgoing.address)
    , m_store(m_client, m_settings.store)
    , m_rowsClient(m_client, [this] { return m_keys.peers(); })
    , m_worker(m_settings, m_counters)
    , m_plan(m_settings.host, m_settings.domain, io::hostNow())
    , m_state(
          followerDependencies(), m_settings.host,
          {DrainBudget{m_settings.serverDrain}, ConfigBudget{m_settings.configInForce},
           m_settings.serverRecords},
          [this](std::shared_ptr<const RoutingState> state) {
              m_worker.setState(std::move(state));
          },
          [this](const RoutingDataFreshness &freshness) { m_worker.setFreshness(freshness); })
    , m_keys({followerDependencies(), m_client, m_state},
             {m_settings.host, newIncarnation(m_settings.host), m_settings.domain, m_settings.peers,
              plannerDelayOf(m_settings), m_settings.processors, m_settings.relays},
             keyTimingsOf(m_settings))
    , m_permits(m_client, m_settings.host)
    , m_crashes(followerDependencies(), m_settings.host,
                [this](std::shared_ptr<const Quarantine> quarantine) {
                    m_worker.setQuarantine(std::move(quarantine));
                })
    , m_peerService(m_keys, m_permits, m_state, m_timers, m_followers,
                    LinkBudget{m_settings.linkMegabits})
    , m_pages({m_loop, m_settings, m_counters, m_storeCalls, m_peerService, m_worker, m_state,
               m_keys, m_crashes, m_permits},
              [this] { return isReady(); })
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
{ }

EntryDaemon::~EntryDaemon() = default;

FollowerDependencies EntryDaemon::followerDependencies()
{
    return {m_store, m_timers, m_rowsClient, m_storeClock, m_plan, m_followers};
}

EntryResult EntryDaemon::run()
{
    if (const std::error_code error = listen()) {
        io::logEvent(LogLevel::Error, "listen-failed", {{"error", error.message()}});
        return EntryResult::ListenFailed;
    }
    printAddresses();
    io::logEvent(LogLevel::Info, "started",
                 {{"domain", m_settings.domain.value()}, {"store", toString(m_settings.store)}});
    awaitSignal();
    m_store.setCallObserver(
        [this](const platform::StoreCallResult &call) { m_storeCalls.add(call); });
    m_timers.every(callLogInterval, [this](Instant) {
        m_storeCalls.log();
        m_peerService.logServed();
    });
    connectCrashControl();
    connectPermitControl();
    // The planner has to move the keys of a server that leaves while it still serves.
    m_worker.setLeavingHandler([this] { asio::post(m_loop, [this] { collectLoads(); }); });
    m_worker.start();
    m_state.start();
    m_keys.start();
    m_timers.every(controlInterval, [this](Instant now) { advance(now); });
    m_timers.every(loadInterval, [this](Instant) { collectLoads(); });
    m_loop.run();
    m_worker.stop();
    io::logEvent(LogLevel::Info, "stopped", {{"in-flight", std::to_string(m_worker.openCount())}});
    return m_result;
}

/** Forwards crashes seen by the traffic thread, and the crash rows of other daemons. */
void EntryDaemon::connectCrashControl()
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
        m_permits.setDaemons(m_keys.daemons());
        m_crashes.applyRows(change);
    });
}

/** Forwards the traffic thread's queries for permits, and their answers. */
void EntryDaemon::connectPermitControl()
{
    m_worker.setPermitHandler([this](const PermitQuery &query, auto handler) {
        asio::post(m_loop, [this, query, handler = std::move(handler)] {
            m_permits.query(query, [this, handler](const PermitAnswer &answer) {
                m_worker.handlePermit(answer, handler);
            });
        });
    });
}

std::error_code EntryDaemon::listen()
{
    m_operators = createPageServer(m_settings.operators);
    if (const std::error_code error = m_operators->listen())
        return error;
    if (m_settings.metrics.port != 0) {
        m_metrics = createPageServer(m_settings.metrics);
        if (const std::error_code error = m_metrics->listen())
            return error;
    }
    if (const std::error_code error = m_peerService.listen(m_loop, m_settings.peers))
        return error;
    return m_worker.listen();
}

std::unique_ptr<io::CallerServer> EntryDaemon::createPageServer(const Endpoint &address)
{
    io::CallerServerSettings settings;
    settings.address = address.address;
    settings.port = address.port;
    return std::make_unique<io::CallerServer>(
        m_loop, settings,
        [this](const auto &request, const auto &writer) { m_pages.answer(*request, writer); });
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
        // Nothing to reload: the settings are addresses, which can't change at run time.
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
        if (!std::exchange(m_isAnsweringOpen, true)) {
            m_isCutOff = m_worker.openCount() > 0;
            m_worker.answerOpen();
        }
        if (passed > m_settings.drainTime + lastAnswerPeriod || m_worker.connectionCount() == 0)
            finish(m_isCutOff ? EntryResult::CutOff : EntryResult::Drained);
        return;
    }
    // What is passed on later could hardly be answered before the end of the grace period.
    if (passed < std::min(balancerNoticePeriod, m_settings.drainTime / 2))
        return;
    if (!std::exchange(m_isRefusing, true))
        m_worker.refuseNew();
    // An answer may not be written to its connection yet, so the connections must be closed as
    // well. Each closes after its last answer.
    const bool isDone = m_worker.openCount() == 0 && m_worker.connectionCount() == 0;
    if (passed > balancerNoticePeriod + closeGracePeriod && isDone)
        finish(EntryResult::Drained);
}

void EntryDaemon::finish(EntryResult result)
{
    m_result = result;
    m_loop.stop();
}

void EntryDaemon::advance(Instant now)
{
    m_state.advance(now);
    m_keys.setCutOff(m_worker.isCutOff());
    m_keys.advance(now);
    m_crashes.advance(now);
    m_permits.advance(now);
}

void EntryDaemon::collectLoads()
{
    m_worker.collectLoads([this](std::vector<LoadSample> samples) {
        asio::post(m_loop, [this, samples = std::move(samples)]() mutable {
            reportLoads(std::move(samples));
        });
    });
}

/** Sends \a samples to the planner. Lost ones are not resent, as newer ones follow soon. */
void EntryDaemon::reportLoads(std::vector<LoadSample> samples)
{
    m_keys.addLoads(samples);
    if (m_keys.isPlanning())
        m_worker.setKeyShares(m_keys.keyShares());
    const std::optional<Endpoint> planner = m_keys.plannerAddress();
    // A daemon without requests keeps its shares valid, so that the next ones find them.
    if (!planner || (samples.empty() && !m_hasSharesByPriority))
        return;
    io::ServerCall call;
    call.server = *planner;
    call.method = "POST";
    call.target = loadsPath;
    call.headers = {{"Host", toString(*planner)}, {"Accept", std::string{io::detailedSharesType}}};
    call.body = std::make_shared<const std::string>(io::encodeLoadSamples(samples));
    call.timeout = loadInterval;
    m_client.send(std::move(call), [this](const io::HttpResult &result) {
        auto shares = io::decodeKeyShares(result.error ? "" : result.response.body);
        if (!shares)
            return;
        m_hasSharesByPriority = haveSharesByPriority(*shares);
        m_worker.setKeyShares(std::move(*shares));
    });
}

bool EntryDaemon::isReady() const
{
    return m_state.isComplete() && !m_drainingSince;
}

} // namespace bulrush

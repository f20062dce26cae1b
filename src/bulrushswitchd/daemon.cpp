#include "daemon.h"

#include "connection/wholebody.h"
#include "domainleader.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "process/platformclient.h"

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <utility>

namespace bulrush {

namespace {

/** Maximum connections of the control thread to each server, peer or platform endpoint. */
constexpr long controlConnectionsPerHost = 4;

constexpr Duration claimBatchInterval = std::chrono::milliseconds{2};
constexpr Duration stateCheckInterval = std::chrono::milliseconds{50};

/** How long new requests are still accepted after peers are notified of the departure. */
constexpr Duration departureNoticePeriod = std::chrono::seconds{2};

/** Maximum time for handing leadership over once all requests have completed. */
constexpr Duration handoverTimeout = std::chrono::seconds{3};

std::uint64_t currentGeneration()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

MemberRecord ownMemberRecord(const DaemonSettings &settings)
{
    MemberRecord self;
    self.host = settings.host;
    self.domain = settings.domain;
    self.generation = currentGeneration();
    self.incarnation = Incarnation{settings.host.value() + "#" + std::to_string(self.generation)
                                   + "." + std::to_string(::getpid())};
    return self;
}

ServerManagerLimits serverQueueLimits(const BackendServer &server)
{
    ServerManagerLimits limits;
    limits.slots = static_cast<int>(server.slots);
    limits.streamedBodyLimit = static_cast<int>(server.connectionLimit / 2);
    return limits;
}

std::string addressOf(const std::string &address, std::uint16_t port)
{
    return toString(Endpoint{address, port});
}

} // namespace

Daemon::Daemon(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_self(ownMemberRecord(m_settings))
    , m_gate(m_self.incarnation, leaseTerms(m_settings.leases))
    , m_view(std::make_shared<const RoutingView>(m_settings.servers))
    , m_burnRecorder(io::hostNow())
    , m_limits(m_settings.leases.driftPpm)
    , m_http(m_loop)
    , m_timers(m_loop)
    , m_peers(m_http, m_counters)
    , m_signals(m_loop, SIGTERM, SIGINT)
{
    // Hundreds of grants may be sent at once; the limit leaves a server's connections to requests.
    m_http.setConnectionsPerHost(controlConnectionsPerHost);
    for (const BackendServer &server : m_settings.servers)
        m_serverQueues.emplace(server.name,
                               std::make_unique<ServerQueue>(serverQueueLimits(server)));
}

Daemon::~Daemon() = default;

ExitCode Daemon::run()
{
    if (const std::error_code error = listen()) {
        std::cerr << "bulrushswitchd: cannot listen: " << error.message() << '\n';
        return ExitCode::Listen;
    }
    m_control->start();
    for (const auto &worker : m_workers)
        worker->start();
    awaitSignal();
    m_timers.every(stateCheckInterval, [this](Instant) {
        if (m_control->isSuperseded())
            finish(ExitCode::Superseded);
    });
    printAddresses();
    io::logEvent(LogLevel::Info, "started", {{"incarnation", m_self.incarnation.value()}});
    m_loop.run();
    for (const auto &worker : m_workers)
        worker->stop();
    io::logEvent(LogLevel::Info, "ended", {{"code", std::to_string(static_cast<int>(m_exitCode))}});
    return m_exitCode;
}

std::error_code Daemon::listen()
{
    m_ports.callers = m_settings.addresses.callers.port;
    const auto handlePeer = [this](const std::shared_ptr<io::IncomingRequest> &request,
                                   const std::shared_ptr<io::ResponseWriter> &writer) {
        // A large assignment exceeds the limit up to which the server buffers a request body.
        io::readCompleteBody(request,
                             [this, writer](std::error_code error, const std::string &body) {
                                 if (error)
                                     return; // releasing the writer closes the connection
                                 io::HttpResponse response;
                                 response.status = 200;
                                 response.headers = {{"Content-Type", "application/json"}};
                                 response.body = m_control->answerCall(body);
                                 writer->send(response);
                             });
    };
    io::CallerServerSettings peers;
    peers.address = m_settings.addresses.peers.address;
    peers.port = m_settings.addresses.peers.port;
    m_peerServer = std::make_unique<io::CallerServer>(m_loop, peers, handlePeer);
    if (const std::error_code error = m_peerServer->listen())
        return error;

    createClaimServices();
    for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i) {
        m_workers.push_back(std::make_unique<TrafficWorker>(TrafficShared{
            m_settings, m_self, m_counters, m_gate, m_serverStatuses, m_serverQueues, m_view,
            *m_claims, m_burnRecorder, m_limits, m_loads, m_isRefusing, m_openRequests}));
        if (const std::error_code error = m_workers.back()->listen(m_ports))
            return error;
    }
    m_self.address = addressOf(peers.address, m_peerServer->port());
    m_self.relayAddress = addressOf(m_settings.addresses.peers.address, m_ports.relay);
    createControlPlane();

    io::CallerServerSettings operators;
    operators.address = m_settings.addresses.operators.address;
    operators.port = m_settings.addresses.operators.port;
    m_operatorServer = std::make_unique<io::CallerServer>(
        m_loop, operators,
        [this](const std::shared_ptr<io::IncomingRequest> &request,
               const std::shared_ptr<io::ResponseWriter> &writer) {
            m_pages->answer(*request, *writer);
        });
    return m_operatorServer->listen();
}

void Daemon::createClaimServices()
{
    m_platform = std::make_unique<io::PlatformClient>(
        [this](io::HttpRequest request, io::HttpClient::Handler handler) {
            return fetchFromPlatform(std::move(request), std::move(handler));
        },
        io::PlatformAccess{});
    m_context = std::make_unique<ControlContext>(
        ControlContext{m_settings, m_self, m_timers, m_http, m_peers, *m_platform, m_counters});
    m_claimService = std::make_unique<ClaimService>(
        *m_context, [this](const Incarnation &holder) { return m_control->holderState(holder); });
    m_claims = std::make_unique<ClaimHandler>(m_loop, *m_claimService);
    m_timers.every(claimBatchInterval, [this](Instant now) { m_claimService->tick(now); });
}

io::HttpClient::TransferId Daemon::fetchFromPlatform(io::HttpRequest request,
                                                     io::HttpClient::Handler handler)
{
    const std::size_t endpoint = m_platformEndpoint;
    request.url = "http://" + toString(m_settings.platform[endpoint]) + request.url;
    return m_http.fetch(
        std::move(request), [this, endpoint, handler = std::move(handler)](io::HttpResult result) {
            const bool isReached = !result.error || result.stage != io::TransferStage::NotConnected;
            // Several calls may fail at once; only the first failure selects the next endpoint.
            if (!isReached && endpoint == m_platformEndpoint)
                m_platformEndpoint = (endpoint + 1) % m_settings.platform.size();
            handler(std::move(result));
        });
}

void Daemon::createControlPlane()
{
    m_context->self = m_self;
    m_control =
        std::make_unique<ControlPlane>(*m_context,
                                       SharedState{m_gate, m_serverStatuses, m_view, m_burnRecorder,
                                                   m_serverQueues, m_limits, m_loads},
                                       [this] { startDrain(); });
    m_pages = std::make_unique<OperatorPages>(*m_control, m_counters);
}

void Daemon::printAddresses() const
{
    const std::string &callers = m_settings.addresses.callers.address;
    std::cout << "listening callers " << addressOf(callers, m_ports.callers) << '\n'
              << "listening peers " << m_self.address << '\n'
              << "listening relay " << m_self.relayAddress << '\n'
              << "listening operators "
              << addressOf(m_settings.addresses.operators.address, m_operatorServer->port()) << '\n'
              << "ready" << std::endl;
}

void Daemon::awaitSignal()
{
    m_signals.async_wait([this](const std::error_code &error, int /*signal*/) {
        if (error)
            return;
        if (m_drainStartedAt)
            finish(m_openRequests == 0 ? ExitCode::Ok : ExitCode::CutOff);
        else
            startDrain();
        awaitSignal();
    });
}

void Daemon::startDrain()
{
    if (m_drainStartedAt)
        return;
    m_drainStartedAt = io::hostNow();
    io::logEvent(LogLevel::Info, "drain-began", {});
    m_control->leave();
    m_timers.after(departureNoticePeriod, [this](Instant) {
        m_isRefusing = true;
        for (const auto &worker : m_workers)
            worker->drain();
    });
    m_timers.every(stateCheckInterval, [this](Instant) { checkDrain(); });
}

void Daemon::checkDrain()
{
    const Duration passed = io::hostNow() - *m_drainStartedAt;
    if (passed > m_settings.drainTime && !std::exchange(m_isOverdue, true)) {
        // Requests in flight continue; only a second signal stops the daemon with requests in
        // flight.
        io::logEvent(LogLevel::Warning, "drain-overdue",
                     {{"requests", std::to_string(m_openRequests)}});
    }
    const bool isIdle = m_isRefusing && m_openRequests == 0 && m_gate.flightCount() == 0
        && m_claimService->openCount() == 0;
    if (isIdle
        && (m_control->isDepartureComplete() || passed > departureNoticePeriod + handoverTimeout))
        finish(ExitCode::Ok);
}

void Daemon::finish(ExitCode code)
{
    if (m_loop.stopped())
        return;
    m_exitCode = code;
    m_control->stop();
    // Lets the loop send the departure messages before it stops.
    m_timers.after(stateCheckInterval, [this](Instant) { m_loop.stop(); });
}

} // namespace bulrush

#include "daemon.h"

#include "connection/wholebody.h"
#include "domainsteward.h"
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

/** Connections of the control thread to one server, peer or platform. */
constexpr long controlConnections = 4;

constexpr Duration claimInterval = std::chrono::milliseconds{2};
constexpr Duration watchInterval = std::chrono::milliseconds{50};

/** How long new work is still taken after the departure was told. */
constexpr Duration announcement = std::chrono::seconds{2};

/** How long a stewardship may take to be handed over once all requests have ended. */
constexpr Duration handoverPatience = std::chrono::seconds{3};

std::uint64_t generationNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

MemberRecord describedSelf(const DaemonSettings &settings)
{
    MemberRecord self;
    self.host = settings.host;
    self.domain = settings.domain;
    self.generation = generationNow();
    self.incarnation = Incarnation{settings.host.value() + "#" + std::to_string(self.generation)
                                   + "." + std::to_string(::getpid())};
    return self;
}

AttendantLimits attendantLimits(const BackendServer &server)
{
    AttendantLimits limits;
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
    , m_self(describedSelf(m_settings))
    , m_gate(m_self.incarnation, leaseTerms(m_settings.leases))
    , m_view(std::make_shared<const RoutingView>(m_settings.servers))
    , m_burn(io::hostNow())
    , m_limits(m_settings.leases.driftPpm)
    , m_http(m_loop)
    , m_timers(m_loop)
    , m_peers(m_http, m_counters)
    , m_signals(m_loop, SIGTERM, SIGINT)
{
    // Grants come by the hundred; the server's connections are for work.
    m_http.setConnectionsPerHost(controlConnections);
    for (const BackendServer &server : m_settings.servers)
        m_lanes.emplace(server.name, std::make_unique<ServerLane>(attendantLimits(server)));
}

Daemon::~Daemon() = default;

ExitCode Daemon::run()
{
    if (const std::error_code error = listen()) {
        std::cerr << "bulrushswitchd: can't listen: " << error.message() << '\n';
        return ExitCode::Listen;
    }
    m_control->start();
    for (const auto &worker : m_workers)
        worker->start();
    awaitSignal();
    m_timers.every(watchInterval, [this](Instant) {
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
        // An assignment at the users' sizes is longer than what is held whole.
        io::readCompleteBody(request,
                             [this, writer](std::error_code error, const std::string &body) {
                                 if (error)
                                     return; // letting go of the writer closes the connection
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

    makeClaims();
    for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i) {
        m_workers.push_back(std::make_unique<TrafficWorker>(
            TrafficShared{m_settings, m_self, m_counters, m_gate, m_board, m_lanes, m_view,
                          *m_claims, m_burn, m_limits, m_loads, m_isRefusing, m_openRequests}));
        if (const std::error_code error = m_workers.back()->listen(m_ports))
            return error;
    }
    m_self.address = addressOf(peers.address, m_peerServer->port());
    m_self.relayAddress = addressOf(m_settings.addresses.peers.address, m_ports.relay);
    makeControl();

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

void Daemon::makeClaims()
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
    m_claims = std::make_unique<ClaimDesk>(m_loop, *m_claimService);
    m_timers.every(claimInterval, [this](Instant now) { m_claimService->tick(now); });
}

io::HttpClient::TransferId Daemon::fetchFromPlatform(io::HttpRequest request,
                                                     io::HttpClient::Handler handler)
{
    const std::size_t endpoint = m_platformEndpoint;
    request.url = "http://" + toString(m_settings.platform[endpoint]) + request.url;
    return m_http.fetch(
        std::move(request), [this, endpoint, handler = std::move(handler)](io::HttpResult result) {
            const bool isReached = !result.error || result.stage != io::TransferStage::NotConnected;
            // Several calls may fail at once; only the first moves on.
            if (!isReached && endpoint == m_platformEndpoint)
                m_platformEndpoint = (endpoint + 1) % m_settings.platform.size();
            handler(std::move(result));
        });
}

void Daemon::makeControl()
{
    m_context->self = m_self;
    m_control = std::make_unique<ControlPlane>(
        *m_context, SharedState{m_gate, m_board, m_view, m_burn, m_lanes, m_limits, m_loads},
        [this] { beginDrain(); });
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
            beginDrain();
        awaitSignal();
    });
}

void Daemon::beginDrain()
{
    if (m_drainStartedAt)
        return;
    m_drainStartedAt = io::hostNow();
    io::logEvent(LogLevel::Info, "drain-began", {});
    m_control->leave();
    m_timers.after(announcement, [this](Instant) {
        m_isRefusing = true;
        for (const auto &worker : m_workers)
            worker->drain();
    });
    m_timers.every(watchInterval, [this](Instant) { watchDrain(); });
}

void Daemon::watchDrain()
{
    const Duration passed = io::hostNow() - *m_drainStartedAt;
    if (passed > m_settings.drainTime && !std::exchange(m_isOverdue, true)) {
        // Nothing is cut off: ending with requests in flight is for whoever sends the next signal.
        io::logEvent(LogLevel::Warning, "drain-overdue",
                     {{"requests", std::to_string(m_openRequests)}});
    }
    const bool isIdle = m_isRefusing && m_openRequests == 0 && m_gate.flightCount() == 0
        && m_claimService->openCount() == 0;
    if (isIdle && (m_control->isDepartureComplete() || passed > announcement + handoverPatience))
        finish(ExitCode::Ok);
}

void Daemon::finish(ExitCode code)
{
    if (m_loop.stopped())
        return;
    m_exitCode = code;
    m_control->stop();
    // The goodbyes are on their way once the loop has run what they started.
    m_timers.after(watchInterval, [this](Instant) { m_loop.stop(); });
}

} // namespace bulrush

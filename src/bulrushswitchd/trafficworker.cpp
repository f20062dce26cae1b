#include "trafficworker.h"

#include "callerexchange.h"
#include "process/hostclock.h"
#include "relayedexchange.h"

#include <asio/post.hpp>

#include <utility>

namespace bulrush {

namespace {

constexpr Duration queueAdvanceInterval = std::chrono::milliseconds{5};

} // namespace

TrafficWorker::TrafficWorker(const TrafficShared &shared)
    : m_guard(asio::make_work_guard(m_loop))
    , m_http(m_loop)
    , m_timers(m_loop)
    , m_context{shared, m_loop, m_http, m_timers, m_retries}
{ }

TrafficWorker::~TrafficWorker()
{
    stop();
}

std::error_code TrafficWorker::listen(TrafficPorts &ports)
{
    m_callers = std::make_unique<io::CallerServer>(
        m_loop, serverSettings({m_context.settings.addresses.callers.address, ports.callers}),
        [this](auto request, auto writer) {
            std::make_shared<CallerExchange>(m_context,
                                             CallerStreams{std::move(request), std::move(writer)})
                ->start();
        });
    m_relay = std::make_unique<io::CallerServer>(
        m_loop, serverSettings({m_context.settings.addresses.peers.address, ports.relay}),
        [this](auto request, auto writer) {
            std::make_shared<RelayedExchange>(m_context,
                                              CallerStreams{std::move(request), std::move(writer)})
                ->start();
        });
    if (const std::error_code error = m_callers->listen())
        return error;
    if (const std::error_code error = m_relay->listen())
        return error;
    ports.callers = m_callers->port();
    ports.relay = m_relay->port();
    return {};
}

void TrafficWorker::start()
{
    m_timers.every(queueAdvanceInterval, [this](Instant now) {
        for (auto &[server, queue] : m_context.serverQueues)
            queue->advance(now);
    });
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
}

void TrafficWorker::drain()
{
    asio::post(m_loop, [this] {
        m_callers->drain();
        m_relay->drain();
    });
}

void TrafficWorker::stop()
{
    if (!m_thread.joinable())
        return;
    m_loop.stop();
    m_thread.join();
}

io::CallerServerSettings TrafficWorker::serverSettings(const Endpoint &endpoint) const
{
    io::CallerServerSettings settings;
    settings.address = endpoint.address;
    settings.port = endpoint.port;
    settings.isPortShared = true;
    settings.bodyLimit = m_context.settings.limits.maxBodyBytes;
    settings.requestReadTimeout = m_context.settings.limits.headerTime;
    settings.headerValueLimit = m_context.settings.limits.maxHeaderBytes;
    return settings;
}

} // namespace bulrush

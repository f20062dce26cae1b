#include "forwardcontext.h"

#include "forwardexchange.h"
#include "process/hostclock.h"
#include "process/logging.h"

#include <asio/post.hpp>

#include <utility>

namespace bulrush {

namespace {

/** Requests that wait are looked at again after this time, if nothing else happens before. */
constexpr Duration lookAgain = std::chrono::milliseconds{15};

} // namespace

ForwardContext::ForwardContext(asio::io_context &ownLoop, const EntrySettings &settings,
                               EntryCounters &ownCounters)
    : loop(ownLoop)
    , servers(ownLoop)
    , timers(ownLoop)
    , counters(ownCounters)
    , picker(gauges, settings.domain, DrainBudget{settings.serverDrain})
    , queue(picker)
    , retries(settings.retries)
    , answered(io::hostNow())
    , m_configBudget(settings.configInForce)
{
    servers.setLinkHandler(
        [this](const std::string &run, io::ServerClient::Link link) { linkChanged(run, link); });
}

void ForwardContext::setState(std::shared_ptr<const RoutingState> published)
{
    if (state && published->routes && state->routes != published->routes)
        noteRoutes(*published);
    state = std::move(published);
    retries.setDaemonCount(state->daemonCount);
    gauges.setDaemonCount(state->daemonCount);
    noteGoneServers();
    dispatchSoon();
}

/** Tells that requests go by other routes from now on, and how late at the most. */
void ForwardContext::noteRoutes(const RoutingState &published)
{
    const Instant now = io::hostNow();
    // The first routes of a daemon were in force elsewhere before it started.
    const bool isFirst = !state->routes;
    const Duration delay = now - published.routesUnchangedUntil;
    if (!isFirst)
        counters.recordConfigDelay(delay);
    io::logEvent(LogLevel::Info, "config-in-force",
                 {{"version", std::to_string(published.routes->config().version)},
                  {"handed-ms", io::millisecondsText(now - published.routesTakenAt)},
                  {"late-ms-at-most", isFirst ? "unknown" : io::millisecondsText(delay)}});
}

void ForwardContext::setQuarantine(std::shared_ptr<const Quarantine> published)
{
    quarantine = std::move(published);
    std::vector<std::shared_ptr<ForwardExchange>> waiting;
    for (const auto &[ticket, exchange] : open)
        waiting.push_back(exchange);
    for (const auto &exchange : waiting)
        exchange->quarantineChanged();
}

RequestPassage ForwardContext::passage(const RequestFingerprint &request) const
{
    return passageOf(request, *quarantine, answered, io::hostNow());
}

void ForwardContext::serverEnded(const ServerName &server, std::string_view sign)
{
    std::vector<CrashReport> reports = crashes.serverEnded(server, io::hostNow());
    if (reports.empty())
        return;
    std::string requests;
    for (const CrashReport &report : reports)
        requests += (requests.empty() ? "" : ",") + report.request.toString();
    io::logEvent(LogLevel::Info, "server-ended",
                 {{"server", server.value()},
                  {"sign", std::string{sign}},
                  {"requests", std::move(requests)}});
    crashHandlers.reported(std::move(reports));
}

/** A server that requests broke at is connected to: it has ended if nobody listens there. */
void ForwardContext::linkChanged(const std::string &run, io::ServerClient::Link link)
{
    const ServerName server{run};
    if (link == io::ServerClient::Link::Refused)
        serverEnded(server, "refused");
    if (link != io::ServerClient::Link::Lost)
        return;
    const ServerRecord *record = findServer(server);
    if (!record || !crashes.takeLook(server, io::hostNow()))
        return;
    io::ServerCall like;
    like.server = record->address;
    like.run = run;
    servers.keepConnected(like);
}

const ServerRecord *ForwardContext::findServer(const ServerName &server) const
{
    if (!state)
        return nullptr;
    for (const auto &[service, known] : state->servers) {
        const KnownServer *found = state->server(service, server);
        if (found)
            return &found->record;
    }
    return nullptr;
}

/** A server that requests broke at, and whose record is gone, has ended as well. */
void ForwardContext::noteGoneServers()
{
    for (const ServerName &server : crashes.doubted()) {
        if (!findServer(server))
            serverEnded(server, "record-gone");
    }
}

void ForwardContext::setKnowledge(const RoutingKnowledge &knowledge)
{
    m_configAsOf = knowledge.configAsOf;
    picker.setKnowledge(knowledge.servers);
    if (queue.size() > 0)
        dispatchSoon();
}

bool ForwardContext::isConfigInDoubt(Instant now) const
{
    return now - m_configAsOf > m_configBudget.doubtAfter();
}

void ForwardContext::dispatch(Instant now)
{
    if (!state || queue.size() == 0)
        return;
    const std::vector<GivenUp> givenUp =
        queue.dispatch(*state, now, [this](std::uint64_t ticket, const ServerRecord &server) {
            if (const auto exchange = open.find(ticket); exchange != open.end())
                exchange->second->sendTo(server);
        });
    for (const GivenUp &request : givenUp) {
        const auto place = open.find(request.ticket);
        if (place == open.end())
            continue;
        // The refusal takes it out of the open ones.
        const std::shared_ptr<ForwardExchange> exchange = place->second;
        exchange->refuse(nameOf(request.reason));
    }
    if (queue.size() > 0 && !std::exchange(m_isLookDue, true))
        timers.after(lookAgain, [this](Instant later) {
            m_isLookDue = false;
            dispatch(later);
        });
}

void ForwardContext::dispatchSoon()
{
    if (std::exchange(m_isDispatchDue, true))
        return;
    asio::post(loop, [this] {
        m_isDispatchDue = false;
        dispatch(io::hostNow());
    });
}

} // namespace bulrush

#include "entrypages.h"

#include "connection/httpstatus.h"
#include "platform/tables.h"
#include "process/evacuationreport.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "version/evacuationreportcodec.h"

#include <asio/post.hpp>

#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

/** The page of evacuations and the servers that they concern, as JSON. */
constexpr std::string_view evacuationsPath = "/evacuations";
/** The page of the limits that servers name. */
constexpr std::string_view limitsPath = "/limits";
/** The page of pauses that servers asked for, and of servers that announced that they leave. */
constexpr std::string_view noticesPath = "/notices";
/** The page of the shares of requests to admit, and of owners near their capacity. */
constexpr std::string_view admissionPath = "/admission";
/** Followed by the server whose pause is to end. */
constexpr std::string_view endBackoffPath = "/notices/end-backoff/";
/** The page of servers that are out of reach, and of relayed requests. */
constexpr std::string_view pathsPath = "/paths";
/** The page of requests during which servers crashed, for operators. */
constexpr std::string_view quarantinePath = "/quarantine";
/** Followed by the fingerprint of the request to admit again. */
constexpr std::string_view liftPath = "/quarantine/lift/";

} // namespace

EntryPages::EntryPages(const Sources &sources, std::function<bool()> isReady)
    : m_sources(sources)
    , m_isReady(std::move(isReady))
{ }

io::HttpResponse EntryPages::lift(const io::IncomingRequest &request)
{
    const std::string_view target = request.head().target;
    const auto fingerprint = RequestFingerprint::fromString(target.substr(liftPath.size()));
    if (request.head().method != "POST" || !fingerprint)
        return io::plainTextResponse(badRequest,
                                     "use: POST /quarantine/lift/ and 16 hexadecimal digits\n");
    if (!m_sources.crashes.lift(*fingerprint))
        return io::plainTextResponse(notFound, "no such request is suspect\n");
    return io::plainTextResponse(ok, "lifted\n");
}

void EntryPages::answer(const io::IncomingRequest &request,
                        const std::shared_ptr<io::ResponseWriter> &writer)
{
    const std::string &target = request.head().target;
    if (target == "/readyz")
        writer->send(io::plainTextResponse(m_isReady() ? ok : serviceUnavailable,
                                           m_isReady() ? "ready\n" : "not ready\n"));
    else if (target == "/metrics")
        writer->send(io::plainTextResponse(ok, metricsText()));
    else if (target == "/status")
        writer->send(io::plainTextResponse(ok, statusText()));
    else if (target == evacuationsPath)
        answerEvacuations(writer);
    else if (target == limitsPath)
        answerLimits(writer);
    else if (target == pathsPath)
        m_sources.worker.collectPaths(textHandler(writer));
    else if (target == noticesPath)
        m_sources.worker.collectNotices(textHandler(writer));
    else if (target == admissionPath)
        m_sources.worker.collectAdmission(textHandler(writer));
    else if (target.starts_with(endBackoffPath))
        endBackoff(request, writer);
    else if (target == quarantinePath)
        writer->send(io::plainTextResponse(ok, m_sources.crashes.page()));
    else if (target.starts_with(liftPath))
        writer->send(lift(request));
    else
        writer->send(io::plainTextResponse(
            notFound,
            "pages: /readyz, /metrics, /status, /admission, /evacuations, /limits, /notices, "
            "/paths, /quarantine\n"));
}

/** Answers with the evacuations and the use of the servers, for `bulrushctl evacuation`. */
void EntryPages::answerEvacuations(const std::shared_ptr<io::ResponseWriter> &writer)
{
    m_sources.worker.collectServiceUse([this, writer](std::vector<ServiceUse> services) {
        asio::post(m_sources.loop, [this, writer, services = std::move(services)]() mutable {
            const EvacuationReport report{
                m_sources.settings.host,
                evacuatedDomains(m_sources.state.directory(), io::hostNow()), std::move(services)};
            writer->send(
                {ok, {{"Content-Type", "application/json"}}, io::encodeEvacuationReport(report)});
        });
    });
}

/** Answers with the limits that this daemon knows, and the permits that it has issued. */
void EntryPages::answerLimits(const std::shared_ptr<io::ResponseWriter> &writer)
{
    m_sources.worker.collectLimits([this, writer](std::map<ServerName, KnownLimit> limits) {
        asio::post(m_sources.loop, [this, writer, limits = std::move(limits)] {
            writer->send(io::plainTextResponse(ok, limitsText(limits)));
        });
    });
}

/** \returns a handler that sends its text as the answer, from any thread. */
ForwardWorker::TextHandler
EntryPages::textHandler(const std::shared_ptr<io::ResponseWriter> &writer) const
{
    return [this, writer](std::string text) {
        asio::post(m_sources.loop, [writer, text = std::move(text)]() mutable {
            writer->send(io::plainTextResponse(ok, std::move(text)));
        });
    };
}

void EntryPages::endBackoff(const io::IncomingRequest &request,
                            const std::shared_ptr<io::ResponseWriter> &writer)
{
    const std::string_view target = request.head().target;
    const ServerName server{std::string{target.substr(endBackoffPath.size())}};
    if (request.head().method != "POST" || server.isEmpty()) {
        writer->send(io::plainTextResponse(
            badRequest, "use: POST /notices/end-backoff/ and the id of a server\n"));
        return;
    }
    m_sources.worker.endBackoff(server, [this, writer](bool wasPaused) {
        asio::post(m_sources.loop, [writer, wasPaused] {
            writer->send(wasPaused ? io::plainTextResponse(ok, "ended\n")
                                   : io::plainTextResponse(
                                       notFound, "that server has not asked for a pause\n"));
        });
    });
}

std::string EntryPages::limitsText(const std::map<ServerName, KnownLimit> &limits) const
{
    const Instant now = io::hostNow();
    std::string text;
    for (const auto &[server, limit] : limits)
        text += "limit: " + server.value() + " per-second=" + std::to_string(limit.perSecond)
            + " since-ms=" + io::millisecondsText(now - limit.since)
            + " named-ms-ago=" + io::millisecondsText(now - limit.namedAt)
            + " sent=" + std::to_string(limit.sentCount) + '\n';
    for (const IssuedPermits &permits : m_sources.permits.issued(now))
        text += "issued: " + permits.server.value()
            + " per-second=" + (permits.perSecond ? std::to_string(*permits.perSecond) : "none")
            + " in-4s=" + std::to_string(permits.recentCount) + '\n';
    return text;
}

std::string EntryPages::metricsText() const
{
    return m_sources.counters.text() + m_sources.storeCalls.text()
        + m_sources.peerService.servedText() + m_sources.permits.metricsText()
        + "bulrush_log_lines_dropped_total " + std::to_string(io::droppedLogLineCount())
        + "\nbulrush_open_requests " + std::to_string(m_sources.worker.openCount()) + '\n'
        + m_sources.state.configMetrics(io::hostNow()) + "bulrush_planning "
        + (m_sources.keys.isPlanning() ? "1" : "0") + "\nbulrush_store_reached "
        + (m_sources.keys.isStoreReached() ? "1" : "0") + "\nbulrush_rows_followed "
        + (m_sources.keys.areRowsFollowed() ? "1" : "0") + '\n';
}

std::string EntryPages::statusText() const
{
    const auto &routes = m_sources.state.routes();
    std::string text = "host: " + m_sources.settings.host.value() + '\n';
    text += "domain: " + m_sources.settings.domain.value() + '\n';
    text += "config: " + std::to_string(routes ? routes->config().version : 0) + '\n';
    for (const auto &[domain, evacuation] : m_sources.state.directory().evacuations())
        text += "evacuated: " + domain.value() + '\n';
    text += "servers: " + std::to_string(m_sources.state.directory().servers().size()) + '\n';
    text += std::string{"planner: "} + (m_sources.keys.isPlanning() ? "yes" : "no") + '\n';
    text += std::string{"store: "} + (m_sources.keys.isStoreReached() ? "reached" : "lost") + '\n';
    text += std::string{"rows: "} + (m_sources.keys.areRowsFollowed() ? "followed" : "lost") + '\n';
    text += versionsText();
    text += std::string{"assignments: "}
        + (m_sources.keys.areAssignmentsConfirmed() ? "confirmed" : "unconfirmed") + '\n';
    text += "open: " + std::to_string(m_sources.worker.openCount()) + '\n';
    const MemoryAccount &memory = m_sources.worker.memory();
    text += "memory: " + std::to_string(memory.held()) + " of " + std::to_string(memory.capacity())
        + " bytes held\n";
    return text;
}

/** \returns a line with the era and version of the store that each table has reached here. */
std::string EntryPages::versionsText() const
{
    std::string text{"store-versions:"};
    for (const std::string_view table :
         {platform::operatorTable, platform::serverTable, platform::ownershipTable}) {
        const TableFollower *inState = m_sources.state.follower(table);
        const TableFollower *follower = inState ? inState : m_sources.keys.follower(table);
        if (follower)
            text.append(" ").append(table).append("=").append(toString(follower->version()));
    }
    return text + '\n';
}

} // namespace bulrush

#include "servercontrol.h"

#include "connection/httpclient.h"
#include "controlcontext.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/logging.h"
#include "version/assignmentcodec.h"

#include <memory>
#include <utility>

namespace bulrush {

namespace {

constexpr int httpOk = 200;
constexpr int httpConflict = 409;

/** A server that does not answer for this long is marked as lost. */
constexpr Duration serverSilenceTimeout = std::chrono::milliseconds{1000};

std::string urlOf(const BackendServer &server, const std::string &path)
{
    return "http://" + toString(server.address) + path;
}

io::HttpRequest controlRequest(const BackendServer &server, const std::string &path,
                               std::string body)
{
    io::HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.url = urlOf(server, "/_control/" + path);
    request.body = std::move(body);
    request.timeout = serverCallTimeout;
    if (request.method == "POST")
        request.headers = {{"Content-Type", "application/json"}};
    return request;
}

/**
 * Applies a load report. Its clock reading is dated as of the answer's arrival, although the server
 * read its clock earlier.
 */
void applyLoadReport(ServerStatus &status, const io::HttpResult &result, Instant arrivedAt)
{
    const Json::Value json = io::parseJson(result.response.body);
    io::JsonReader reader{json};
    const std::uint64_t clockMs = reader.number("clockMs");
    const std::uint64_t load = reader.number("running") + reader.number("queued");
    const bool isDraining = reader.flag("draining");
    const bool isCold = reader.flag("cold");
    if (!reader.isValid())
        return;

    status.clock = ServerClockReading{std::chrono::milliseconds{clockMs}, arrivedAt};
    status.reportedLoad = static_cast<std::uint32_t>(load);
    status.isDraining = isDraining;
    status.isCold = isCold;
}

std::string orderBody(const SliceOwner &slice, const Incarnation &sender)
{
    Json::Value json{Json::objectValue};
    json["service"] = slice.service.value();
    json["begin"] = io::hashToHex(slice.range.begin);
    json["end"] = io::hashToHex(slice.range.end);
    json["fence"] = io::encodeFence(slice.fence);
    json["sender"] = sender.value();
    return io::toCompactJson(json);
}

std::optional<SliceOwner> decodeGrant(const Json::Value &json, const ServerName &server)
{
    Json::Value withServer = json;
    if (!withServer.isObject())
        return std::nullopt;
    withServer["server"] = server.value();
    return io::decodeSliceOwner(withServer);
}

std::vector<SliceOwner> decodeGrants(const std::string &body, const ServerName &server)
{
    const Json::Value json = io::parseJson(body);
    io::JsonReader reader{json};
    std::vector<SliceOwner> grants;
    for (const Json::Value &entry : reader.list("grants")) {
        if (auto grant = decodeGrant(entry, server))
            grants.push_back(*std::move(grant));
    }
    return grants;
}

} // namespace

struct ServerControl::PendingOrder
{
    ServerOrder order;
    OrderHandler handler;
    std::size_t waiting = 0;
    OrderResult result;
};

ServerControl::ServerControl(ControlContext &context, ServerStatusRegistry &statuses,
                             LossHandler onLoss, AnswerHandler onAnswer)
    : m_context(context)
    , m_serverStatuses(statuses)
    , m_onLoss(std::move(onLoss))
    , m_onAnswer(std::move(onAnswer))
{ }

void ServerControl::probe(const std::set<ServerName> &servers, Instant now)
{
    std::erase_if(m_probes, [&](const auto &entry) { return !servers.contains(entry.first); });
    for (const ServerName &name : servers) {
        const BackendServer *server = find(name);
        if (!server)
            continue;
        const auto [entry, isNew] = m_probes.try_emplace(name);
        if (isNew)
            entry->second.silentSince = now;
        updateLoss(name, entry->second, now);
        if (!entry->second.isWaiting)
            sendProbe(*server, entry->second);
    }
}

void ServerControl::sendProbe(const BackendServer &server, Probe &probe)
{
    probe.isWaiting = true;
    const ServerName name = server.name;
    m_context.http.fetch(controlRequest(server, "load", {}),
                         [this, name](const io::HttpResult &result) {
                             const auto found = m_probes.find(name);
                             if (found == m_probes.end())
                                 return;
                             Probe &answered = found->second;
                             answered.isWaiting = false;
                             if (result.error || result.response.status != httpOk)
                                 return;

                             const Instant now = io::hostNow();
                             answered.silentSince = now;
                             applyLoadReport(answered.status, result, now);
                             updateLoss(name, answered, now);
                             m_onAnswer(name, answered.status.isDraining);
                         });
}

void ServerControl::updateLoss(const ServerName &server, Probe &probe, Instant now)
{
    const bool isLost = now - probe.silentSince > serverSilenceTimeout;
    if (isLost != probe.status.isLost) {
        probe.status.isLost = isLost;
        io::logEvent(isLost ? LogLevel::Warning : LogLevel::Info,
                     isLost ? "server-lost" : "server-found", {{"server", server.value()}});
        m_onLoss(server, isLost);
    }
    m_serverStatuses.setStatus(server, probe.status);
}

void ServerControl::execute(const OrderSource &source, const ServerOrder &order,
                            OrderHandler handler)
{
    const BackendServer *server = find(order.server);
    // Servers have no call that loads state ahead of a grant, so this step is confirmed at once.
    if (!server || order.kind == ServerOrderKind::Prepare || order.slices.empty()) {
        handler(OrderResult{server != nullptr, 0, std::nullopt});
        return;
    }

    if (!m_runningOrders[source].insert(order.order).second)
        return;
    auto pending = std::make_shared<PendingOrder>();
    pending->order = order;
    pending->handler = [this, source, id = order.order,
                        handler = std::move(handler)](const OrderResult &result) {
        m_runningOrders[source].erase(id);
        handler(result);
    };
    pending->waiting = order.slices.size();
    pending->result.isConfirmed = true;
    for (const SliceOwner &slice : order.slices)
        sendSlice(*server, pending, slice);
}

void ServerControl::sendSlice(const BackendServer &server,
                              const std::shared_ptr<PendingOrder> &pending, const SliceOwner &slice)
{
    const char *const path = pending->order.kind == ServerOrderKind::Grant ? "grant" : "revoke";
    io::HttpRequest request =
        controlRequest(server, path, orderBody(slice, m_context.self.incarnation));
    m_context.http.fetch(std::move(request), [pending](const io::HttpResult &result) {
        const Json::Value json = io::parseJson(result.response.body);
        io::JsonReader reader{json};
        if (!result.error && result.response.status == httpConflict)
            pending->result.highest = reader.fence("highest");
        if (result.error || result.response.status != httpOk)
            pending->result.isConfirmed = false;
        else if (pending->order.kind == ServerOrderKind::Revoke)
            pending->result.running += static_cast<std::uint32_t>(reader.number("running"));
        if (--pending->waiting == 0)
            pending->handler(pending->result);
    });
}

void ServerControl::readGrants(const ServerName &server, GrantsHandler handler)
{
    const BackendServer *found = find(server);
    if (!found) {
        handler(false, {});
        return;
    }

    m_context.http.fetch(controlRequest(*found, "grants", {}),
                         [server, handler = std::move(handler)](const io::HttpResult &result) {
                             const bool isAnswered =
                                 !result.error && result.response.status == httpOk;
                             const std::vector<SliceOwner> grants = isAnswered
                                 ? decodeGrants(result.response.body, server)
                                 : std::vector<SliceOwner>{};
                             handler(isAnswered, grants);
                         });
}

const BackendServer *ServerControl::find(const ServerName &server) const
{
    for (const BackendServer &candidate : m_context.settings.servers) {
        if (candidate.name == server)
            return &candidate;
    }
    return nullptr;
}

} // namespace bulrush

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

/** A server without an answer for this long is taken for lost. */
constexpr Duration silenceLimit = std::chrono::milliseconds{1000};

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

/** Reads a load report; the clock counts as of the answer's arrival, which is later. */
void takeReport(ServerReading &reading, const io::HttpResult &result, Instant arrivedAt)
{
    const Json::Value json = io::parseJson(result.response.body);
    io::JsonReader reader{json};
    const std::uint64_t clockMs = reader.number("clockMs");
    const std::uint64_t load = reader.number("running") + reader.number("queued");
    const bool isDraining = reader.flag("draining");
    const bool isCold = reader.flag("cold");
    if (!reader.isValid())
        return;

    reading.clock = ServerClockReading{std::chrono::milliseconds{clockMs}, arrivedAt};
    reading.reportedLoad = static_cast<std::uint32_t>(load);
    reading.isDraining = isDraining;
    reading.isCold = isCold;
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

struct ServerControl::OpenOrder
{
    ServerOrder order;
    OrderHandler handler;
    std::size_t waiting = 0;
    OrderEnd end;
};

ServerControl::ServerControl(ControlContext &context, ServerBoard &board, LossHandler onLoss,
                             AnswerHandler onAnswer)
    : m_context(context)
    , m_board(board)
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
        judge(name, entry->second, now);
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
                             takeReport(answered.reading, result, now);
                             judge(name, answered, now);
                             m_onAnswer(name, answered.reading.isDraining);
                         });
}

void ServerControl::judge(const ServerName &server, Probe &probe, Instant now)
{
    const bool isLost = now - probe.silentSince > silenceLimit;
    if (isLost != probe.reading.isLost) {
        probe.reading.isLost = isLost;
        io::logEvent(isLost ? LogLevel::Warning : LogLevel::Info,
                     isLost ? "server-lost" : "server-found", {{"server", server.value()}});
        m_onLoss(server, isLost);
    }
    m_board.setReading(server, probe.reading);
}

void ServerControl::execute(const OrderGiver &giver, const ServerOrder &order, OrderHandler handler)
{
    const BackendServer *server = find(order.server);
    // No server of the brief's can be asked to load state ahead; the step costs nothing.
    if (!server || order.kind == ServerOrderKind::Prepare || order.slices.empty()) {
        handler(OrderEnd{server != nullptr, 0, std::nullopt});
        return;
    }

    if (!m_running[giver].insert(order.order).second)
        return;
    auto open = std::make_shared<OpenOrder>();
    open->order = order;
    open->handler = [this, giver, id = order.order,
                     handler = std::move(handler)](const OrderEnd &end) {
        m_running[giver].erase(id);
        handler(end);
    };
    open->waiting = order.slices.size();
    open->end.isConfirmed = true;
    for (const SliceOwner &slice : order.slices)
        sendSlice(*server, open, slice);
}

void ServerControl::sendSlice(const BackendServer &server, const std::shared_ptr<OpenOrder> &open,
                              const SliceOwner &slice)
{
    const char *const path = open->order.kind == ServerOrderKind::Grant ? "grant" : "revoke";
    io::HttpRequest request =
        controlRequest(server, path, orderBody(slice, m_context.self.incarnation));
    m_context.http.fetch(std::move(request), [open](const io::HttpResult &result) {
        const Json::Value json = io::parseJson(result.response.body);
        io::JsonReader reader{json};
        if (!result.error && result.response.status == httpConflict)
            open->end.highest = reader.fence("highest");
        if (result.error || result.response.status != httpOk)
            open->end.isConfirmed = false;
        else if (open->order.kind == ServerOrderKind::Revoke)
            open->end.running += static_cast<std::uint32_t>(reader.number("running"));
        if (--open->waiting == 0)
            open->handler(open->end);
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

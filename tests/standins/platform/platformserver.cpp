#include "platform/platformserver.h"

#include "http/json.h"
#include "platform/tablemessages.h"

#include <asio/steady_timer.hpp>

#include <utility>
#include <variant>

namespace bulrush::standins {

namespace {

constexpr std::string_view objectsPath = "/objects/";

Answer jsonAnswer(int status, const Json::Value &body)
{
    return Answer{status, {{"Content-Type", "application/json"}}, toJsonText(body)};
}

Answer errorAnswer(int status, const std::string &error)
{
    Json::Value body;
    body["error"] = error;
    return jsonAnswer(status, body);
}

Answer notJson()
{
    return errorAnswer(400, "the body must be a JSON object");
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &loop, HostList hosts)
    : m_loop(loop)
    , m_hosts(std::move(hosts))
{ }

PlatformServer::~PlatformServer() = default;

std::string PlatformServer::listen(const std::string &name, const ListenerSettings &settings)
{
    auto entrance = std::make_unique<Entrance>();
    entrance->name = name;
    entrance->listener = std::make_unique<Listener>(
        m_loop, settings,
        [this, place = entrance.get()](const RequestHandle &request) { serve(*place, request); },
        [](ConnectionLimiter::ConnectionId) {});
    m_entrances.push_back(std::move(entrance));
    return m_entrances.back()->listener->address();
}

void PlatformServer::serve(Entrance &entrance, const RequestHandle &request)
{
    if (request->header().path() == "/_faults") {
        Listener::send(request, changeFaults(request->body()));
        return;
    }
    if (std::holds_alternative<Down>(entrance.faults.mode)) {
        entrance.listener->closeWithoutAnswer(request);
        return;
    }

    ++entrance.counters.requests;
    entrance.counters.bytesIn += request->body().size();
    const Reply reply = replyTo(entrance, request);
    if (reply.hasCommitted && entrance.faults.answersToLose > 0) {
        --entrance.faults.answersToLose;
        entrance.listener->closeWithoutAnswer(request);
        return;
    }

    finish(entrance, request, reply.answer);
}

PlatformServer::Reply PlatformServer::replyTo(Entrance &entrance, const RequestHandle &request)
{
    const std::string path{request->header().path()};
    const std::string method{request->header().method().c_str()};
    const std::string call = method + " " + path;
    const bool isObject = path.starts_with(objectsPath) && path.size() > objectsPath.size();

    if (call == "GET /_counters")
        return {counters()};
    if (call == "POST /_hosts")
        return {changeHosts(request->body())};
    if (call == "POST /table/transact") {
        ++entrance.counters.writes;
        return transact(request->body());
    }
    if (isObject && method == "PUT") {
        ++entrance.counters.writes;
        return {putObject(path.substr(objectsPath.size()), request->body())};
    }

    ++entrance.counters.reads;
    if (call == "GET /hosts")
        return {hosts()};
    if (call == "POST /table/read")
        return {read(request->body())};
    if (call == "POST /table/scan")
        return {scan(request->body())};
    if (isObject && method == "GET")
        return {getObject(path.substr(objectsPath.size()))};

    return {errorAnswer(404, "no such call")};
}

void PlatformServer::finish(Entrance &entrance, const RequestHandle &request, const Answer &answer)
{
    entrance.counters.bytesOut += answer.body.size();
    if (const auto *slow = std::get_if<Slow>(&entrance.faults.mode)) {
        sendLater(request, answer, slow->delay);
        return;
    }

    Listener::send(request, answer);
}

void PlatformServer::sendLater(const RequestHandle &request, Answer answer,
                               std::chrono::milliseconds delay)
{
    auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, request, answer = std::move(answer)](asio::error_code error) {
        if (!error)
            Listener::send(request, answer);
    });
}

Answer PlatformServer::changeFaults(std::string_view body)
{
    const auto change = parsedJsonObject(body);
    if (!change || !(*change)["listener"].isString())
        return notJson();

    const std::string name = (*change)["listener"].asString();
    std::size_t matches = 0;
    for (const auto &entrance : m_entrances) {
        if (name != "*" && name != entrance->name)
            continue;

        const auto faults = changedFaults(entrance->faults, *change);
        if (!faults)
            return errorAnswer(400, "mode is none, down or slow with slowMs; loseAnswers a number");
        entrance->faults = *faults;
        ++matches;
    }
    if (matches == 0)
        return errorAnswer(404, "no listener " + name);

    return jsonAnswer(200, Json::objectValue);
}

Answer PlatformServer::counters() const
{
    Json::Value listeners{Json::objectValue};
    for (const auto &entrance : m_entrances) {
        Json::Value &entry = listeners[entrance->name];
        entry["requests"] = Json::UInt64{entrance->counters.requests};
        entry["reads"] = Json::UInt64{entrance->counters.reads};
        entry["writes"] = Json::UInt64{entrance->counters.writes};
        entry["bytesIn"] = Json::UInt64{entrance->counters.bytesIn};
        entry["bytesOut"] = Json::UInt64{entrance->counters.bytesOut};
    }
    Json::Value body;
    body["listeners"] = listeners;
    return jsonAnswer(200, body);
}

Answer PlatformServer::hosts()
{
    return jsonAnswer(200, m_hosts.served(std::chrono::steady_clock::now()));
}

Answer PlatformServer::changeHosts(std::string_view body)
{
    const auto change = parsedJsonObject(body);
    if (!change)
        return notJson();
    if (!m_hosts.change((*change)["hosts"], std::chrono::steady_clock::now()))
        return errorAnswer(400, "hosts must be an array of objects with a name");

    return jsonAnswer(200, Json::objectValue);
}

PlatformServer::Reply PlatformServer::transact(std::string_view body)
{
    const auto message = parsedJsonObject(body);
    if (!message)
        return {notJson()};

    const auto transaction = transactionFrom(*message);
    if (const auto *malformed = std::get_if<Malformed>(&transaction))
        return {errorAnswer(400, malformed->error)};

    const Outcome outcome = m_table.transact(std::get<Transaction>(transaction));
    if (const auto *conflicted = std::get_if<Conflicted>(&outcome))
        return {jsonAnswer(409, toJson(*conflicted))};

    return {jsonAnswer(200, toJson(std::get<Committed>(outcome))), true};
}

Answer PlatformServer::read(std::string_view body) const
{
    const auto message = parsedJsonObject(body);
    if (!message)
        return notJson();

    const auto ids = rowIdsFrom(*message);
    if (const auto *malformed = std::get_if<Malformed>(&ids))
        return errorAnswer(400, malformed->error);

    std::vector<Row> rows;
    for (const RowId &id : std::get<std::vector<RowId>>(ids))
        rows.push_back(m_table.read(id));
    Json::Value answer;
    answer["rows"] = toJson(rows);
    return jsonAnswer(200, answer);
}

Answer PlatformServer::scan(std::string_view body) const
{
    const auto message = parsedJsonObject(body);
    if (!message)
        return notJson();

    const auto parsed = scanRangeFrom(*message);
    if (const auto *malformed = std::get_if<Malformed>(&parsed))
        return errorAnswer(400, malformed->error);

    const auto &range = std::get<ScanRange>(parsed);
    Json::Value answer;
    answer["rows"] = toJson(m_table.scan(range.table, range.prefix, range.after, range.limit));
    return jsonAnswer(200, answer);
}

Answer PlatformServer::putObject(const std::string &name, const std::string &body)
{
    const auto [object, isNew] = m_objects.try_emplace(name, body);
    if (!isNew && object->second != body)
        return errorAnswer(409, "objects are never changed");

    return jsonAnswer(201, Json::objectValue);
}

Answer PlatformServer::getObject(const std::string &name) const
{
    const auto object = m_objects.find(name);
    if (object == m_objects.end())
        return errorAnswer(404, "no such object");

    return Answer{200, {{"Content-Type", "application/octet-stream"}}, object->second};
}

} // namespace bulrush::standins

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

Answer notJsonAnswer()
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
    auto state = std::make_unique<ListenerState>();
    state->name = name;
    state->listener = std::make_unique<Listener>(
        m_loop, settings,
        [this, listenerState = state.get()](const RequestHandle &request) {
            serve(*listenerState, request);
        },
        [](ConnectionLimiter::ConnectionId) {});
    m_listenerStates.push_back(std::move(state));
    return m_listenerStates.back()->listener->address();
}

void PlatformServer::serve(ListenerState &state, const RequestHandle &request)
{
    if (request->header().path() == "/_faults") {
        Listener::send(request, handleFaults(request->body()));
        return;
    }
    if (std::holds_alternative<Down>(state.faults.mode)) {
        state.listener->closeWithoutAnswer(request);
        return;
    }

    ++state.counters.requests;
    state.counters.bytesIn += request->body().size();
    const Reply reply = handleRequest(state, request);
    if (reply.hasCommitted && state.faults.answersToLose > 0) {
        --state.faults.answersToLose;
        state.listener->closeWithoutAnswer(request);
        return;
    }

    sendReply(state, request, reply.answer);
}

PlatformServer::Reply PlatformServer::handleRequest(ListenerState &state,
                                                    const RequestHandle &request)
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
        ++state.counters.writes;
        return transact(request->body());
    }
    if (isObject && method == "PUT") {
        ++state.counters.writes;
        return {putObject(path.substr(objectsPath.size()), request->body())};
    }

    ++state.counters.reads;
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

void PlatformServer::sendReply(ListenerState &state, const RequestHandle &request,
                               const Answer &answer)
{
    state.counters.bytesOut += answer.body.size();
    if (const auto *slow = std::get_if<Slow>(&state.faults.mode)) {
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

Answer PlatformServer::handleFaults(std::string_view body)
{
    const auto change = parsedJsonObject(body);
    if (!change || !(*change)["listener"].isString())
        return notJsonAnswer();

    const std::string name = (*change)["listener"].asString();
    std::size_t matches = 0;
    for (const auto &state : m_listenerStates) {
        if (name != "*" && name != state->name)
            continue;

        const auto faults = changedFaults(state->faults, *change);
        if (!faults)
            return errorAnswer(400, "mode is none, down or slow with slowMs; loseAnswers a number");
        state->faults = *faults;
        ++matches;
    }
    if (matches == 0)
        return errorAnswer(404, "no listener " + name);

    return jsonAnswer(200, Json::objectValue);
}

Answer PlatformServer::counters() const
{
    Json::Value listeners{Json::objectValue};
    for (const auto &state : m_listenerStates) {
        Json::Value &entry = listeners[state->name];
        entry["requests"] = Json::UInt64{state->counters.requests};
        entry["reads"] = Json::UInt64{state->counters.reads};
        entry["writes"] = Json::UInt64{state->counters.writes};
        entry["bytesIn"] = Json::UInt64{state->counters.bytesIn};
        entry["bytesOut"] = Json::UInt64{state->counters.bytesOut};
    }
    Json::Value body;
    body["listeners"] = listeners;
    return jsonAnswer(200, body);
}

Answer PlatformServer::hosts()
{
    return jsonAnswer(200, m_hosts.toJson(std::chrono::steady_clock::now()));
}

Answer PlatformServer::changeHosts(std::string_view body)
{
    const auto change = parsedJsonObject(body);
    if (!change)
        return notJsonAnswer();
    if (!m_hosts.applyChanges((*change)["hosts"], std::chrono::steady_clock::now()))
        return errorAnswer(400, "hosts must be an array of objects with a name");

    return jsonAnswer(200, Json::objectValue);
}

PlatformServer::Reply PlatformServer::transact(std::string_view body)
{
    const auto message = parsedJsonObject(body);
    if (!message)
        return {notJsonAnswer()};

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
        return notJsonAnswer();

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
        return notJsonAnswer();

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

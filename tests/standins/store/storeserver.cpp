#include "store/storeserver.h"

#include "http/json.h"
#include "platform/base64.h"

#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrush::standins {

namespace {

constexpr std::size_t pageRows = 500;

Answer jsonAnswer(int status, const Json::Value &body)
{
    return Answer{status, {{"Content-Type", "application/json"}}, toJsonText(body)};
}

Json::Value jsonOf(const HeldRow &row)
{
    Json::Value json;
    json["table"] = row.table;
    json["part"] = "";
    json["key"] = row.key;
    json["rowVersion"] = Json::UInt64{row.version};
    if (row.isRemoved)
        json["tombstone"] = true;
    else
        json["value"] = platform::toBase64(row.value);
    return json;
}

Json::Value jsonOf(const std::vector<HeldRow> &rows, std::uint64_t version)
{
    Json::Value list{Json::arrayValue};
    for (const HeldRow &row : rows)
        list.append(jsonOf(row));
    Json::Value json;
    json["rows"] = std::move(list);
    json["rowVersion"] = Json::UInt64{version};
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    json["nowS"] = std::chrono::duration<double>(now).count();
    return json;
}

std::vector<RowCondition> conditionsOf(const Json::Value &json)
{
    std::vector<RowCondition> conditions;
    for (const Json::Value &entry : json["expected"])
        conditions.push_back(
            {entry["table"].asString(), entry["key"].asString(), entry["rowVersion"].asUInt64()});
    return conditions;
}

std::vector<HeldRow> changesOf(const Json::Value &json)
{
    std::vector<HeldRow> rows;
    for (const Json::Value &entry : json["writes"]) {
        const auto value = platform::fromBase64(entry["value"].asString());
        rows.push_back(
            {entry["table"].asString(), entry["key"].asString(), value.value_or(""), 0, false});
    }
    for (const Json::Value &entry : json["deletes"])
        rows.push_back({entry["table"].asString(), entry["key"].asString(), {}, 0, true});
    return rows;
}

StoreMode modeOf(const std::string &name)
{
    static const std::map<std::string, StoreMode> modes = {
        {"busy", StoreMode::Busy},     {"many", StoreMode::Many}, {"reset", StoreMode::Reset},
        {"silent", StoreMode::Silent}, {"deaf", StoreMode::Deaf},
    };
    const auto found = modes.find(name);
    return found == modes.end() ? StoreMode::Normal : found->second;
}

std::string argument(const restinio::query_string_params_t &query, std::string_view name)
{
    return query.has(name) ? std::string{query[name]} : std::string{};
}

} // namespace

StoreServer::StoreServer(asio::io_context &loop)
    : m_loop(loop)
{ }

StoreServer::~StoreServer() = default;

std::string StoreServer::listen(const std::string &name, const ListenerSettings &settings)
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

void StoreServer::serve(Entrance &entrance, const RequestHandle &request)
{
    const std::string path{request->header().path()};
    if (path == "/_control") {
        Listener::send(request, control(request->body()));
        return;
    }
    ++entrance.calls;
    if (turnAway(entrance, request))
        return;
    if (path == "/api/rows-tx")
        transact(entrance, request);
    else if (path == "/api/rows-get")
        get(entrance, request);
    else if (path == "/api/rows-feed")
        follow(entrance, request);
    else
        Listener::send(request, {404, {}, {}});
}

bool StoreServer::turnAway(Entrance &entrance, const RequestHandle &request)
{
    switch (entrance.mode) {
    case StoreMode::Normal:
    case StoreMode::Deaf:
        return false;
    case StoreMode::Busy:
        Listener::send(request, {503, {}, {}});
        return true;
    case StoreMode::Many:
        Listener::send(request, {429, {}, {}});
        return true;
    case StoreMode::Reset:
        entrance.listener->resetConnection(request);
        return true;
    case StoreMode::Silent:
        // Kept, so that the connection stays open without an answer.
        m_waiting.push_back(std::make_shared<Waiting>(Waiting{&entrance, request, {}, 0, nullptr}));
        return true;
    }
    return false;
}

void StoreServer::transact(Entrance &entrance, const RequestHandle &request)
{
    const auto json = parsedJsonObject(request->body());
    if (!json) {
        Listener::send(request, {400, {}, {}});
        return;
    }
    const auto apply = [this, json = *json] {
        const std::vector<HeldRow> wrong = m_rows.mismatches(conditionsOf(json));
        if (!wrong.empty())
            return jsonAnswer(412, jsonOf(wrong, m_rows.version()));
        Json::Value done;
        done["rowVersion"] = Json::UInt64{m_rows.apply(changesOf(json))};
        answerWaiting();
        return jsonAnswer(200, done);
    };
    if (entrance.writesToDelay > 0) {
        --entrance.writesToDelay;
        auto timer = std::make_shared<asio::steady_timer>(m_loop, entrance.delay);
        timer->async_wait([timer, apply](const asio::error_code &) { apply(); });
        entrance.listener->closeWithoutAnswer(request);
        return;
    }
    const Answer answer = apply();
    if (entrance.answersToLose > 0) {
        --entrance.answersToLose;
        entrance.listener->closeWithoutAnswer(request);
        return;
    }
    Listener::send(request, answer);
}

void StoreServer::get(const Entrance &entrance, const RequestHandle &request)
{
    const auto query = restinio::parse_query(request->header().query());
    std::vector<HeldRow> rows = m_rows.rows(argument(query, "table"), argument(query, "from"));
    const bool isTruncated = rows.size() > pageRows;
    if (isTruncated)
        rows.resize(pageRows);
    Json::Value json = jsonOf(rows, m_rows.version());
    json["truncated"] = isTruncated;
    if (entrance.readsToDelay != argument(query, "table")) {
        Listener::send(request, jsonAnswer(200, json));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, entrance.delay);
    timer->async_wait([timer, request, json](const asio::error_code &) {
        Listener::send(request, jsonAnswer(200, json));
    });
}

void StoreServer::follow(Entrance &entrance, const RequestHandle &request)
{
    const auto query = restinio::parse_query(request->header().query());
    const auto waiting = std::make_shared<Waiting>();
    waiting->entrance = &entrance;
    waiting->request = request;
    waiting->table = argument(query, "table");
    waiting->after = std::stoull(argument(query, "after"));
    const auto changes = m_rows.changes(waiting->table, waiting->after);
    if (!changes || (!changes->empty() && entrance.mode != StoreMode::Deaf)) {
        answerFeed(*waiting);
        return;
    }
    const std::chrono::milliseconds wait{std::stoll(argument(query, "waitMs"))};
    waiting->timer = std::make_unique<asio::steady_timer>(m_loop, wait);
    m_waiting.push_back(waiting);
    // It may have been answered when the timer runs out, or in the moment after that.
    waiting->timer->async_wait(
        [this, weak = std::weak_ptr{waiting}](const asio::error_code &error) {
            const std::shared_ptr<Waiting> held = weak.lock();
            if (error || !held || held->entrance->mode == StoreMode::Silent)
                return; // in silence it stays without an answer, as its connection stays open
            answerFeed(*held);
            m_waiting.remove(held);
        });
}

void StoreServer::answerWaiting()
{
    for (auto place = m_waiting.begin(); place != m_waiting.end();) {
        const auto next = std::next(place);
        Waiting &waiting = **place;
        const bool isFeed = waiting.timer && waiting.entrance->mode == StoreMode::Normal;
        const auto changes = isFeed ? m_rows.changes(waiting.table, waiting.after) : std::nullopt;
        if (changes && !changes->empty() && !isLost(waiting)) {
            answerFeed(waiting);
            m_waiting.erase(place);
        }
        place = next;
    }
}

/** \returns whether the answer to \a waiting is lost; its connection then says nothing further. */
bool StoreServer::isLost(Waiting &waiting)
{
    if (waiting.entrance->feedToLose != waiting.table)
        return false;
    waiting.entrance->feedToLose.clear();
    waiting.timer.reset();
    return true;
}

void StoreServer::answerFeed(const Waiting &waiting)
{
    const auto changes = m_rows.changes(waiting.table, waiting.after);
    if (!changes) {
        Listener::send(waiting.request, {410, {}, {}});
        return;
    }
    const bool isDeaf = waiting.entrance->mode == StoreMode::Deaf;
    const std::uint64_t version = isDeaf ? waiting.after : m_rows.version();
    Listener::send(waiting.request,
                   jsonAnswer(200, jsonOf(isDeaf ? std::vector<HeldRow>{} : *changes, version)));
}

Answer StoreServer::control(std::string_view body)
{
    const auto json = parsedJsonObject(body);
    if (!json)
        return {400, {}, {}};
    std::vector<HeldRow> rows;
    for (const Json::Value &entry : (*json)["put"])
        rows.push_back(
            {entry["table"].asString(), entry["key"].asString(),
             entry.isMember("text") ? entry["text"].asString() : toJsonText(entry["value"]), 0,
             false});
    for (const Json::Value &entry : (*json)["remove"])
        rows.push_back({entry["table"].asString(), entry["key"].asString(), {}, 0, true});
    if (!rows.empty()) {
        m_rows.apply(rows);
        answerWaiting();
    }
    if (json->isMember("faults"))
        setFaults((*json)["faults"]);
    if ((*json)["dropHistory"].asBool()) {
        m_rows.dropHistory();
        for (const std::shared_ptr<Waiting> &waiting : std::exchange(m_waiting, {})) {
            if (waiting->timer)
                waiting->entrance->listener->resetConnection(waiting->request);
        }
    }
    return jsonAnswer(200, counts());
}

void StoreServer::setFaults(const Json::Value &json)
{
    for (const auto &entrance : m_entrances) {
        const std::string name = json["entrance"].asString();
        if (name != "*" && name != entrance->name)
            continue;
        entrance->mode = modeOf(json["mode"].asString());
        entrance->answersToLose = json["loseAnswers"].asInt();
        entrance->writesToDelay = json["delayWrites"].asInt();
        entrance->delay = std::chrono::milliseconds{json["delayMs"].asInt()};
        entrance->feedToLose = json["loseFeedOf"].asString();
        entrance->readsToDelay = json["delayReadsOf"].asString();
        if (entrance->mode != StoreMode::Reset)
            continue;
        for (auto place = m_waiting.begin(); place != m_waiting.end();) {
            const auto next = std::next(place);
            if ((*place)->entrance == entrance.get()) {
                entrance->listener->resetConnection((*place)->request);
                m_waiting.erase(place);
            }
            place = next;
        }
    }
}

Json::Value StoreServer::counts() const
{
    Json::Value json;
    for (const auto &entrance : m_entrances)
        json["calls"][entrance->name] = Json::UInt64{entrance->calls};
    json["rowVersion"] = Json::UInt64{m_rows.version()};
    return json;
}

} // namespace bulrush::standins

#include "store/storeserver.h"

#include "http/json.h"
#include "platform/base64.h"

#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrush::standins {

namespace {

constexpr std::size_t maxRowsPerPage = 500;

Answer jsonAnswer(int status, const Json::Value &body)
{
    return Answer{status, {{"Content-Type", "application/json"}}, toJsonText(body)};
}

Json::Value toJson(const VersionedRow &row)
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

Json::Value toJson(const std::vector<VersionedRow> &rows, std::uint64_t version)
{
    Json::Value list{Json::arrayValue};
    for (const VersionedRow &row : rows)
        list.append(toJson(row));
    Json::Value json;
    json["rows"] = std::move(list);
    json["rowVersion"] = Json::UInt64{version};
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    json["nowS"] = std::chrono::duration<double>(now).count();
    return json;
}

std::vector<RowCondition> parsedConditions(const Json::Value &json)
{
    std::vector<RowCondition> conditions;
    for (const Json::Value &entry : json["expected"])
        conditions.push_back(
            {entry["table"].asString(), entry["key"].asString(), entry["rowVersion"].asUInt64()});
    return conditions;
}

std::vector<VersionedRow> parsedChanges(const Json::Value &json)
{
    std::vector<VersionedRow> rows;
    for (const Json::Value &entry : json["writes"]) {
        const auto value = platform::fromBase64(entry["value"].asString());
        rows.push_back(
            {entry["table"].asString(), entry["key"].asString(), value.value_or(""), 0, false});
    }
    for (const Json::Value &entry : json["deletes"])
        rows.push_back({entry["table"].asString(), entry["key"].asString(), {}, 0, true});
    return rows;
}

StoreMode parsedMode(const std::string &name)
{
    static const std::map<std::string, StoreMode> modes = {
        {"busy", StoreMode::Unavailable}, {"many", StoreMode::TooManyRequests},
        {"reset", StoreMode::Reset},      {"silent", StoreMode::NoAnswer},
        {"deaf", StoreMode::NoChanges},
    };
    const auto found = modes.find(name);
    return found == modes.end() ? StoreMode::Normal : found->second;
}

std::string queryParameter(const restinio::query_string_params_t &query, std::string_view name)
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
    auto state = std::make_unique<ListenerState>();
    state->name = name;
    state->listener = std::make_unique<Listener>(
        m_loop, settings,
        [this, entry = state.get()](const RequestHandle &request) { serve(*entry, request); },
        [](ConnectionLimiter::ConnectionId) {});
    m_listenerStates.push_back(std::move(state));
    return m_listenerStates.back()->listener->address();
}

/** Sends \a answer with the store's era. */
void StoreServer::send(const RequestHandle &request, const Answer &answer) const
{
    send(request, answer, m_era);
}

void StoreServer::send(const RequestHandle &request, Answer answer, std::uint64_t era)
{
    answer.headers.push_back({"Store-Era", std::to_string(era)});
    Listener::send(request, answer);
}

/**
 * Replaces all rows by the copy. Requests that wait for changes lose their connections, or stay
 * open without an answer if \a areWaitsHanging.
 */
void StoreServer::restoreCopy(bool areWaitsHanging)
{
    m_rows = m_copy;
    ++m_era;
    if (!areWaitsHanging) {
        resetPendingFeeds();
        return;
    }
    for (const std::shared_ptr<PendingRequest> &pending : m_pendingRequests)
        pending->timer.reset();
}

void StoreServer::resetPendingFeeds()
{
    for (const std::shared_ptr<PendingRequest> &pending : std::exchange(m_pendingRequests, {})) {
        if (pending->timer)
            pending->state->listener->resetConnection(pending->request);
    }
}

void StoreServer::serve(ListenerState &state, const RequestHandle &request)
{
    const std::string path{request->header().path()};
    if (path == "/_control") {
        Listener::send(request, handleControl(request->body()));
        return;
    }
    ++state.requestCount;
    if (handleFaultMode(state, request))
        return;
    if (path == "/api/rows-tx")
        transact(state, request);
    else if (path == "/api/rows-get")
        get(state, request);
    else if (path == "/api/rows-feed")
        followChanges(state, request);
    else
        send(request, {404, {}, {}});
}

bool StoreServer::handleFaultMode(ListenerState &state, const RequestHandle &request)
{
    switch (state.mode) {
    case StoreMode::Normal:
    case StoreMode::NoChanges:
        return false;
    case StoreMode::Unavailable:
        send(request, {503, {}, {}});
        return true;
    case StoreMode::TooManyRequests:
        send(request, {429, {}, {}});
        return true;
    case StoreMode::Reset:
        state.listener->resetConnection(request);
        return true;
    case StoreMode::NoAnswer:
        // Keeping the request keeps its connection open without an answer.
        m_pendingRequests.push_back(
            std::make_shared<PendingRequest>(PendingRequest{&state, request, {}, 0, nullptr}));
        return true;
    }
    return false;
}

void StoreServer::transact(ListenerState &state, const RequestHandle &request)
{
    const auto json = parsedJsonObject(request->body());
    if (!json) {
        send(request, {400, {}, {}});
        return;
    }
    const auto apply = [this, json = *json] {
        const std::vector<VersionedRow> conflicts = m_rows.conflictingRows(parsedConditions(json));
        if (!conflicts.empty())
            return jsonAnswer(412, toJson(conflicts, m_rows.version()));
        Json::Value done;
        done["rowVersion"] = Json::UInt64{m_rows.apply(parsedChanges(json))};
        answerPendingFeeds();
        return jsonAnswer(200, done);
    };
    if (state.writesToDelay > 0) {
        --state.writesToDelay;
        auto timer = std::make_shared<asio::steady_timer>(m_loop, state.delay);
        timer->async_wait([timer, apply](const asio::error_code &) { apply(); });
        state.listener->closeWithoutAnswer(request);
        return;
    }
    const Answer answer = apply();
    if (state.answersToLose > 0) {
        --state.answersToLose;
        state.listener->closeWithoutAnswer(request);
        return;
    }
    send(request, answer);
}

void StoreServer::get(const ListenerState &state, const RequestHandle &request)
{
    const auto query = restinio::parse_query(request->header().query());
    std::vector<VersionedRow> rows =
        m_rows.rows(queryParameter(query, "table"), queryParameter(query, "from"));
    const bool isTruncated = rows.size() > maxRowsPerPage;
    if (isTruncated)
        rows.resize(maxRowsPerPage);
    Json::Value json = toJson(rows, m_rows.version());
    json["truncated"] = isTruncated;
    if (state.readTableToDelay != queryParameter(query, "table")) {
        send(request, jsonAnswer(200, json));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, state.delay);
    timer->async_wait([timer, request, json, era = m_era](const asio::error_code &) {
        send(request, jsonAnswer(200, json), era);
    });
}

void StoreServer::followChanges(ListenerState &state, const RequestHandle &request)
{
    const auto query = restinio::parse_query(request->header().query());
    const auto pending = std::make_shared<PendingRequest>();
    pending->state = &state;
    pending->request = request;
    pending->table = queryParameter(query, "table");
    pending->afterVersion = std::stoull(queryParameter(query, "after"));
    const auto changes = m_rows.changes(pending->table, pending->afterVersion);
    if (!changes || (!changes->empty() && state.mode != StoreMode::NoChanges)) {
        answerFeed(*pending);
        return;
    }
    const std::chrono::milliseconds wait{std::stoll(queryParameter(query, "waitMs"))};
    pending->timer = std::make_unique<asio::steady_timer>(m_loop, wait);
    m_pendingRequests.push_back(pending);
    // The request may be answered before the timer expires, or between expiry and this handler.
    pending->timer->async_wait(
        [this, weak = std::weak_ptr{pending}](const asio::error_code &error) {
            const std::shared_ptr<PendingRequest> feed = weak.lock();
            if (error || !feed || feed->state->mode == StoreMode::NoAnswer)
                return; // NoAnswer: the request stays unanswered and its connection open
            answerFeed(*feed);
            m_pendingRequests.remove(feed);
        });
}

void StoreServer::answerPendingFeeds()
{
    for (auto entry = m_pendingRequests.begin(); entry != m_pendingRequests.end();) {
        const auto next = std::next(entry);
        PendingRequest &pending = **entry;
        const bool isFeed = pending.timer && pending.state->mode == StoreMode::Normal;
        const auto changes =
            isFeed ? m_rows.changes(pending.table, pending.afterVersion) : std::nullopt;
        if (changes && !changes->empty() && !loseFeedAnswer(pending)) {
            answerFeed(pending);
            m_pendingRequests.erase(entry);
        }
        entry = next;
    }
}

/**
 * Drops the answer to \a pending if its table is set to lose the next one; the connection then
 * stays open without an answer. \returns whether the answer was dropped.
 */
bool StoreServer::loseFeedAnswer(PendingRequest &pending)
{
    if (pending.state->feedTableToLose != pending.table)
        return false;
    pending.state->feedTableToLose.clear();
    pending.timer.reset();
    return true;
}

void StoreServer::answerFeed(const PendingRequest &pending)
{
    const auto changes = m_rows.changes(pending.table, pending.afterVersion);
    if (!changes) {
        send(pending.request, {410, {}, {}});
        return;
    }
    const bool hidesChanges = pending.state->mode == StoreMode::NoChanges;
    const std::uint64_t version = hidesChanges ? pending.afterVersion : m_rows.version();
    send(pending.request,
         jsonAnswer(200, toJson(hidesChanges ? std::vector<VersionedRow>{} : *changes, version)));
}

Answer StoreServer::handleControl(std::string_view body)
{
    const auto json = parsedJsonObject(body);
    if (!json)
        return {400, {}, {}};
    std::vector<VersionedRow> rows;
    for (const Json::Value &entry : (*json)["put"])
        rows.push_back(
            {entry["table"].asString(), entry["key"].asString(),
             entry.isMember("text") ? entry["text"].asString() : toJsonText(entry["value"]), 0,
             false});
    for (const Json::Value &entry : (*json)["remove"])
        rows.push_back({entry["table"].asString(), entry["key"].asString(), {}, 0, true});
    if (!rows.empty()) {
        m_rows.apply(rows);
        answerPendingFeeds();
    }
    if (json->isMember("faults"))
        setFaults((*json)["faults"]);
    if ((*json)["dropHistory"].asBool()) {
        m_rows.dropHistory();
        resetPendingFeeds();
    }
    if ((*json)["keepCopy"].asBool())
        m_copy = m_rows;
    if ((*json)["restoreCopy"].asBool())
        restoreCopy((*json)["hangWaits"].asBool());
    return jsonAnswer(200, countersJson());
}

void StoreServer::setFaults(const Json::Value &json)
{
    for (const auto &state : m_listenerStates) {
        const std::string name = json["entrance"].asString();
        if (name != "*" && name != state->name)
            continue;
        state->mode = parsedMode(json["mode"].asString());
        state->answersToLose = json["loseAnswers"].asInt();
        state->writesToDelay = json["delayWrites"].asInt();
        state->delay = std::chrono::milliseconds{json["delayMs"].asInt()};
        state->feedTableToLose = json["loseFeedOf"].asString();
        state->readTableToDelay = json["delayReadsOf"].asString();
        if (state->mode != StoreMode::Reset)
            continue;
        for (auto entry = m_pendingRequests.begin(); entry != m_pendingRequests.end();) {
            const auto next = std::next(entry);
            if ((*entry)->state == state.get()) {
                state->listener->resetConnection((*entry)->request);
                m_pendingRequests.erase(entry);
            }
            entry = next;
        }
    }
}

Json::Value StoreServer::countersJson() const
{
    Json::Value json;
    for (const auto &state : m_listenerStates)
        json["calls"][state->name] = Json::UInt64{state->requestCount};
    json["rowVersion"] = Json::UInt64{m_rows.version()};
    json["era"] = Json::UInt64{m_era};
    return json;
}

} // namespace bulrush::standins

#include "keyed/keyedserver.h"

#include "http/json.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace bulrush::standins {

namespace {

constexpr const char *idField = "X-Bulrushswitch-Request-Id";
constexpr const char *targetField = "X-Bulrushswitch-Target-Instance";
constexpr const char *keyField = "X-Bulrushswitch-Shard-Key";

/** Of a process that work has ended. */
constexpr int crashCode = 3;

Instant now()
{
    return Instant{std::chrono::steady_clock::now().time_since_epoch()};
}

std::int64_t nowUs()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

std::string fieldOf(const RequestHandle &request, const char *name)
{
    return request->header().get_field_or(name, std::string{});
}

std::optional<KeyPlace> keyOf(const RequestHandle &request)
{
    const std::string text = fieldOf(request, keyField);
    KeyPlace key = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key);
    if (text.empty() || error != std::errc{} || key >= keyPlaces)
        return std::nullopt;
    return key;
}

/** How late the second of two answers comes: into the next use of a connection that is busy. */
constexpr std::chrono::milliseconds secondAnswerDelay{30};

std::optional<AnswerSpoil> spoilOf(const std::string &name)
{
    static const std::map<std::string, AnswerSpoil> spoils = {
        {"lose", AnswerSpoil::Lose},
        {"cut", AnswerSpoil::Cut},
        {"unframed", AnswerSpoil::Unframed},
        {"twice", AnswerSpoil::Twice},
    };
    const auto found = spoils.find(name);
    return found == spoils.end() ? std::nullopt : std::optional{found->second};
}

KeyRange rangeOf(const Json::Value &json)
{
    return {json["from"].asUInt(), json["target"].asUInt()};
}

} // namespace

KeyedServer::KeyedServer(asio::io_context &loop, KeyedSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_leases(keyPlaces, m_settings.clockPpm)
    , m_listener(std::make_unique<Listener>(
          loop, m_settings.listener, [this](const RequestHandle &request) { serve(request); },
          [](ConnectionLimiter::ConnectionId) {}))
{ }

KeyedServer::~KeyedServer() = default;

const std::string &KeyedServer::address() const
{
    return m_listener->address();
}

void KeyedServer::serve(const RequestHandle &request)
{
    const std::string path{request->header().path()};
    if (path == "/_control")
        control(request);
    else if (isForOther(request))
        Listener::send(
            request,
            {421,
             {{"X-Bulrushswitch-Instance-Id", m_settings.id}, {idField, fieldOf(request, idField)}},
             {}});
    else if (path == "/api/grant")
        grant(request);
    else if (path == "/api/release")
        release(request);
    else
        take(request);
}

bool KeyedServer::isForOther(const RequestHandle &request) const
{
    const std::string target = fieldOf(request, targetField);
    return !target.empty() && target != m_settings.id;
}

void KeyedServer::grant(const RequestHandle &request)
{
    const auto json = parsedJsonObject(request->body());
    constexpr double longestHoldS = 10.0;
    if (!json || !((*json)["holdS"].asDouble() <= longestHoldS)) {
        Listener::send(request, {400, {}, {}});
        return;
    }
    const auto hold = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>{(*json)["holdS"].asDouble()});
    const KeyRange range = rangeOf(*json);
    const std::uint64_t fence = (*json)["fence"].asUInt64();
    const Instant arrivedAt = now();
    m_lowestFence = std::min(m_lowestFence, fence);
    m_highestFence = std::max(m_highestFence, fence);
    if (isLate()) {
        carryOutLate(request, [=, this] { m_leases.grant(range, fence, hold, arrivedAt, now()); });
        return;
    }
    const bool isTaken = m_leases.grant(range, fence, hold, arrivedAt, arrivedAt);
    Listener::send(request, {isTaken ? 200 : 409, {}, {}});
}

void KeyedServer::release(const RequestHandle &request)
{
    const auto json = parsedJsonObject(request->body());
    if (!json) {
        Listener::send(request, {400, {}, {}});
        return;
    }
    const KeyRange range = rangeOf(*json);
    const std::uint64_t fence = (*json)["fence"].asUInt64();
    if (isLate()) {
        carryOutLate(request, [=, this] { m_leases.release(range, fence); });
        return;
    }
    m_leases.release(range, fence);
    m_releasing.push_back({request, range});
    answerReleases();
}

bool KeyedServer::isLate()
{
    if (m_lateOrders == 0)
        return false;
    --m_lateOrders;
    return true;
}

/** Keeps the connection of \a request open without an answer, and runs \a order later. */
void KeyedServer::carryOutLate(const RequestHandle &request, std::function<void()> order)
{
    m_hung.push_back(request);
    auto timer = std::make_shared<asio::steady_timer>(m_loop, m_lateBy);
    timer->async_wait([timer, order = std::move(order)](const asio::error_code &) { order(); });
}

void KeyedServer::answerReleases()
{
    for (auto place = m_releasing.begin(); place != m_releasing.end();) {
        const auto next = std::next(place);
        const bool isBusy = std::ranges::any_of(m_running, [place](const Work &work) {
            return work.key && place->range.contains(*work.key);
        });
        if (!isBusy) {
            Listener::send(place->request,
                           {200, {{"X-Bulrushswitch-Handover", "from-" + m_settings.id}}, {}});
            m_releasing.erase(place);
        }
        place = next;
    }
}

void KeyedServer::take(const RequestHandle &request)
{
    Work work{request, fieldOf(request, idField), keyOf(request), 0};
    if (m_settings.isKeyed && (!work.key || !m_leases.holds(*work.key, now()))) {
        std::vector<HeaderField> headers = fields(work.requestId);
        headers.push_back({"X-Bulrushswitch-Not-Executed", "1"});
        Listener::send(request, {421, headers, {}});
        return;
    }
    if (m_running.size() < m_settings.slots) {
        start(std::move(work));
        return;
    }
    if (m_queue.size() < m_settings.queueLimit) {
        m_queue.push_back(std::move(work));
        return;
    }
    if (m_settings.hangsWhenFull) {
        m_hung.push_back(request);
        return;
    }
    std::vector<HeaderField> headers = fields(work.requestId);
    headers.push_back({"X-Bulrushswitch-Not-Executed", "1"});
    Listener::send(request, {503, headers, {}});
}

void KeyedServer::start(Work work)
{
    work.run = m_runs.size();
    m_runs.push_back(
        {work.requestId, work.key ? static_cast<std::int64_t>(*work.key) : -1, nowUs(), 0});
    m_running.push_back(std::move(work));
    const auto place = std::prev(m_running.end());
    auto timer = std::make_shared<asio::steady_timer>(m_loop, m_settings.serviceTime);
    timer->async_wait([this, timer, place](const asio::error_code &) { finished(place); });
}

void KeyedServer::finished(std::list<Work>::iterator place)
{
    const Work work = std::move(*place);
    if (isCrashing(work))
        std::_Exit(crashCode);
    m_running.erase(place);
    m_runs[work.run].endUs = nowUs();
    answer(work);
    answerReleases();
    if (m_queue.empty())
        return;
    Work next = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(next));
}

bool KeyedServer::isCrashing(const Work &work) const
{
    const std::string_view path = work.request->header().path();
    return !m_settings.crashOn.empty() && path.find(m_settings.crashOn) != std::string_view::npos;
}

void KeyedServer::answer(const Work &work)
{
    Answer answer{200, fields(work.requestId), {}};
    answer.headers.push_back({"X-Bulrushswitch-Response-Stamp", "stamp." + work.requestId});
    answer.body = "server=" + m_settings.id + " request=" + work.requestId;
    const std::optional<AnswerSpoil> spoil = nextSpoil();
    if (!spoil) {
        Listener::send(work.request, answer);
        return;
    }
    switch (*spoil) {
    case AnswerSpoil::Lose:
        m_listener->closeWithoutAnswer(work.request);
        break;
    case AnswerSpoil::Cut:
        m_listener->sendTruncated(work.request, answer);
        break;
    case AnswerSpoil::Unframed:
        m_listener->sendWithoutLength(work.request, answer);
        break;
    case AnswerSpoil::Twice:
        m_listener->sendDuplicate(work.request, answer, secondAnswerDelay);
        break;
    }
}

std::optional<AnswerSpoil> KeyedServer::nextSpoil()
{
    const auto due =
        std::ranges::find_if(m_spoils, [](const auto &entry) { return entry.second > 0; });
    if (due == m_spoils.end())
        return std::nullopt;
    --due->second;
    return due->first;
}

std::vector<HeaderField> KeyedServer::fields(const std::string &requestId) const
{
    const std::string load = std::to_string(m_running.size()) + ',' + std::to_string(m_queue.size())
        + ',' + std::to_string(m_settings.slots);
    return {{idField, requestId}, {"X-Bulrushswitch-Server-Load", load}};
}

void KeyedServer::control(const RequestHandle &request)
{
    if (const auto json = parsedJsonObject(request->body()))
        setWrongs(*json);
    Listener::send(request, {200, {{"Content-Type", "application/json"}}, toJsonText(record())});
}

void KeyedServer::setWrongs(const Json::Value &json)
{
    const Json::Value &spoils = json["spoilAnswers"];
    m_spoils.clear();
    for (const std::string &name : spoils.getMemberNames()) {
        if (const auto spoil = spoilOf(name))
            m_spoils[*spoil] = spoils[name].asInt();
    }
    m_lateOrders = json["lateOrders"].asInt();
    m_lateBy = std::chrono::milliseconds{json["lateMs"].asInt()};
}

Json::Value KeyedServer::record() const
{
    Json::Value list{Json::arrayValue};
    for (const Run &run : m_runs) {
        Json::Value json;
        json["request"] = run.requestId;
        json["key"] = Json::Int64{run.key};
        json["startUs"] = Json::Int64{run.startUs};
        json["endUs"] = Json::Int64{run.endUs};
        list.append(std::move(json));
    }
    Json::Value json;
    json["runs"] = std::move(list);
    json["lowestFence"] = Json::UInt64{m_lowestFence};
    json["highestFence"] = Json::UInt64{m_highestFence};
    return json;
}

} // namespace bulrush::standins

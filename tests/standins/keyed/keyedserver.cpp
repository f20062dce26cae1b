#include "keyed/keyedserver.h"

#include "http/json.h"
#include "http/sourcefilter.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace bulrush::standins {

namespace {

constexpr const char *requestIdHeader = "X-Bulrushswitch-Request-Id";
constexpr const char *targetInstanceHeader = "X-Bulrushswitch-Target-Instance";
constexpr const char *shardKeyHeader = "X-Bulrushswitch-Shard-Key";

/** Exit code of a process that a request crashed. */
constexpr int crashExitCode = 3;

Instant now()
{
    return Instant{std::chrono::steady_clock::now().time_since_epoch()};
}

std::int64_t nowUs()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

std::string headerField(const RequestHandle &request, const char *name)
{
    return request->header().get_field_or(name, std::string{});
}

std::optional<KeyPosition> parsedShardKey(const RequestHandle &request)
{
    const std::string text = headerField(request, shardKeyHeader);
    KeyPosition key = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key);
    if (text.empty() || error != std::errc{} || key >= keyPositionCount)
        return std::nullopt;
    return key;
}

/** Long enough that, on a busy connection, the duplicate arrives during the next request. */
constexpr std::chrono::milliseconds duplicateAnswerDelay{30};

std::optional<AnswerFault> parsedAnswerFault(const std::string &name)
{
    static const std::map<std::string, AnswerFault> faults = {
        {"lose", AnswerFault::Drop},           {"cut", AnswerFault::Truncate},
        {"unframed", AnswerFault::OmitLength}, {"twice", AnswerFault::Duplicate},
        {"deny", AnswerFault::Deny},
    };
    const auto found = faults.find(name);
    return found == faults.end() ? std::nullopt : std::optional{found->second};
}

KeyRange parsedRange(const Json::Value &json)
{
    return {json["from"].asUInt(), json["target"].asUInt()};
}

} // namespace

KeyedServer::KeyedServer(asio::io_context &loop, KeyedSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_leases(keyPositionCount, m_settings.clockSlowdownPpm)
    , m_listener(std::make_unique<Listener>(
          loop, m_settings.listener, [this](const RequestHandle &request) { serve(request); },
          [](ConnectionLimiter::ConnectionId) {}))
{
    if (!m_settings.runFile.empty())
        m_runFile.open(m_settings.runFile, std::ios::app);
}

KeyedServer::~KeyedServer() = default;

const std::string &KeyedServer::address() const
{
    return m_listener->address();
}

void KeyedServer::serve(const RequestHandle &request)
{
    const std::string path{request->header().path()};
    if (path == "/_control")
        handleControl(request);
    else if (targetsOtherInstance(request))
        Listener::send(request,
                       {421,
                        {{"X-Bulrushswitch-Instance-Id", m_settings.id},
                         {requestIdHeader, headerField(request, requestIdHeader)}},
                        {}});
    else if (path == "/api/grant")
        grant(request);
    else if (path == "/api/release")
        release(request);
    else
        acceptWork(request);
}

bool KeyedServer::targetsOtherInstance(const RequestHandle &request) const
{
    const std::string target = headerField(request, targetInstanceHeader);
    return !target.empty() && target != m_settings.id;
}

void KeyedServer::grant(const RequestHandle &request)
{
    const auto json = parsedJsonObject(request->body());
    constexpr double maxHoldS = 10.0;
    if (!json || !((*json)["holdS"].asDouble() <= maxHoldS)) {
        Listener::send(request, {400, {}, {}});
        return;
    }
    const auto hold = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>{(*json)["holdS"].asDouble()});
    const KeyRange range = parsedRange(*json);
    const std::uint64_t fence = (*json)["fence"].asUInt64();
    const Instant arrivedAt = now();
    m_lowestFence = std::min(m_lowestFence, fence);
    m_highestFence = std::max(m_highestFence, fence);
    if (takeDelayedOrder()) {
        executeDelayed(request,
                       [=, this] { m_leases.grant(range, fence, hold, arrivedAt, now()); });
        return;
    }
    const bool isGranted = m_leases.grant(range, fence, hold, arrivedAt, arrivedAt);
    std::vector<HeaderField> headers;
    if (m_isLeaving)
        headers.push_back({"Server-Leaving", "1"});
    Listener::send(request, {isGranted ? 200 : 409, std::move(headers), {}});
}

void KeyedServer::release(const RequestHandle &request)
{
    const auto json = parsedJsonObject(request->body());
    if (!json) {
        Listener::send(request, {400, {}, {}});
        return;
    }
    const KeyRange range = parsedRange(*json);
    const std::uint64_t fence = (*json)["fence"].asUInt64();
    if (takeDelayedOrder()) {
        executeDelayed(request, [=, this] { m_leases.release(range, fence); });
        return;
    }
    m_leases.release(range, fence);
    m_pendingReleases.push_back({request, range});
    answerCompletedReleases();
}

bool KeyedServer::takeDelayedOrder()
{
    if (m_ordersToDelay == 0)
        return false;
    --m_ordersToDelay;
    return true;
}

/** Keeps the connection of \a request open without an answer, and runs \a order after a delay. */
void KeyedServer::executeDelayed(const RequestHandle &request, std::function<void()> order)
{
    m_unansweredRequests.push_back(request);
    auto timer = std::make_shared<asio::steady_timer>(m_loop, m_orderDelay);
    timer->async_wait([timer, order = std::move(order)](const asio::error_code &) { order(); });
}

void KeyedServer::answerCompletedReleases()
{
    for (auto entry = m_pendingReleases.begin(); entry != m_pendingReleases.end();) {
        const auto next = std::next(entry);
        const bool isBusy = std::ranges::any_of(m_running, [entry](const Work &work) {
            return work.key && entry->range.contains(*work.key);
        });
        if (!isBusy) {
            Listener::send(entry->request,
                           {200, {{"X-Bulrushswitch-Handover", "from-" + m_settings.id}}, {}});
            m_pendingReleases.erase(entry);
        }
        entry = next;
    }
}

void KeyedServer::acceptWork(const RequestHandle &request)
{
    if (isOverloadedWhileCold())
        std::_Exit(crashExitCode);
    Work work{request, headerField(request, requestIdHeader), parsedShardKey(request), 0};
    m_arrivals.push_back({nowUs(), request->remote_endpoint().address().to_string(), work.requestId,
                          !m_backoff.empty()});
    if (!m_backoff.empty()) {
        refuse(request, 503, {{"Retry-After", m_backoff}});
        return;
    }
    if (m_requestsToRefuse > 0) {
        refuseOnDemand(request);
        return;
    }
    if (m_settings.requiresGrant && (!work.key || !m_leases.holds(*work.key, now()))) {
        refuse(request, 421, {});
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
    if (m_settings.hangsWhenQueueFull) {
        m_unansweredRequests.push_back(request);
        return;
    }
    refuse(request, 503, {});
}

/** \returns an answer with \a headers that states that \a request did not run. */
Answer KeyedServer::refusal(const RequestHandle &request, int status,
                            std::vector<HeaderField> headers) const
{
    const std::vector<HeaderField> common = answerHeaders(headerField(request, requestIdHeader));
    headers.insert(headers.end(), common.begin(), common.end());
    headers.push_back({"X-Bulrushswitch-Not-Executed", "1"});
    return {status, std::move(headers), {}};
}

void KeyedServer::refuse(const RequestHandle &request, int status,
                         std::vector<HeaderField> headers) const
{
    Listener::send(request, refusal(request, status, std::move(headers)));
}

void KeyedServer::refuseOnDemand(const RequestHandle &request)
{
    --m_requestsToRefuse;
    const Answer answer = refusal(request, 503, {});
    if (m_areRefusalsDuplicated)
        m_listener->sendDuplicate(request, answer, duplicateAnswerDelay);
    else
        Listener::send(request, answer);
}

/** Flushed before the run begins, so that it outlasts the end of this process. */
void KeyedServer::recordRun(const Work &work)
{
    if (m_runFile.is_open() && !work.requestId.empty())
        m_runFile << work.requestId << ' ' << work.request->header().path() << std::endl;
}

void KeyedServer::start(Work work)
{
    recordRun(work);
    work.runIndex = m_runs.size();
    m_runs.push_back(
        {work.requestId, work.key ? static_cast<std::int64_t>(*work.key) : -1, nowUs(), 0});
    m_running.push_back(std::move(work));
    const auto entry = std::prev(m_running.end());
    auto timer = std::make_shared<asio::steady_timer>(m_loop, m_settings.serviceTime);
    timer->async_wait([this, timer, entry](const asio::error_code &) { finish(entry); });
}

void KeyedServer::finish(std::list<Work>::iterator entry)
{
    const Work work = std::move(*entry);
    if (triggersCrash(work))
        std::_Exit(crashExitCode);
    m_running.erase(entry);
    m_runs[work.runIndex].endUs = nowUs();
    sendAnswer(work);
    answerCompletedReleases();
    if (m_queue.empty())
        return;
    Work next = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(next));
}

bool KeyedServer::triggersCrash(const Work &work) const
{
    const std::string_view path = work.request->header().path();
    return !m_settings.crashPathSubstring.empty()
        && path.find(m_settings.crashPathSubstring) != std::string_view::npos;
}

/** Records the arrival of a request. \returns whether the server does not bear it. */
bool KeyedServer::isOverloadedWhileCold()
{
    const auto now = std::chrono::steady_clock::now();
    if (m_settings.coldRequestLimit == 0 || now - m_startedAt >= m_settings.coldTime)
        return false;
    while (!m_coldArrivals.empty() && now - m_coldArrivals.front() > std::chrono::seconds{1})
        m_coldArrivals.pop_front();
    m_coldArrivals.push_back(now);
    return m_coldArrivals.size() > m_settings.coldRequestLimit;
}

void KeyedServer::sendAnswer(const Work &work)
{
    Answer answer{200, answerHeaders(work.requestId), {}};
    answer.headers.push_back({"X-Bulrushswitch-Response-Stamp", "stamp." + work.requestId});
    answer.body = "server=" + m_settings.id + " request=" + work.requestId;
    const std::optional<AnswerFault> fault = nextAnswerFault();
    if (!fault) {
        Listener::send(work.request, answer);
        return;
    }
    switch (*fault) {
    case AnswerFault::Drop:
        m_listener->closeWithoutAnswer(work.request);
        break;
    case AnswerFault::Truncate:
        m_listener->sendTruncated(work.request, answer);
        break;
    case AnswerFault::OmitLength:
        m_listener->sendWithoutLength(work.request, answer);
        break;
    case AnswerFault::Duplicate:
        m_listener->sendDuplicate(work.request, answer, duplicateAnswerDelay);
        break;
    case AnswerFault::Deny:
        refuse(work.request, 503, {});
        break;
    }
}

std::optional<AnswerFault> KeyedServer::nextAnswerFault()
{
    const auto due =
        std::ranges::find_if(m_answerFaults, [](const auto &entry) { return entry.second > 0; });
    if (due == m_answerFaults.end())
        return std::nullopt;
    --due->second;
    return due->first;
}

std::vector<HeaderField> KeyedServer::answerHeaders(const std::string &requestId) const
{
    const std::string load = std::to_string(m_running.size()) + ',' + std::to_string(m_queue.size())
        + ',' + std::to_string(m_settings.slots);
    std::vector<HeaderField> headers{{requestIdHeader, requestId},
                                     {"X-Bulrushswitch-Server-Load", load}};
    if (!m_namedLimit.empty())
        headers.push_back({"Server-Limit", m_namedLimit});
    if (m_isLeaving)
        headers.push_back({"Server-Leaving", "1"});
    return headers;
}

void KeyedServer::handleControl(const RequestHandle &request)
{
    if (const auto json = parsedJsonObject(request->body()))
        setFaults(*json);
    Listener::send(request, {200, {{"Content-Type", "application/json"}}, toJsonText(stateJson())});
}

void KeyedServer::setFaults(const Json::Value &json)
{
    // What the server states about itself lasts until it is changed.
    if (json.isMember("namedLimit"))
        m_namedLimit = json["namedLimit"].asString();
    if (json.isMember("backoff"))
        m_backoff = json["backoff"].asString();
    if (json.isMember("leaving"))
        m_isLeaving = json["leaving"].asBool();
    const Json::Value &faults = json["spoilAnswers"];
    m_answerFaults.clear();
    for (const std::string &name : faults.getMemberNames()) {
        if (const auto fault = parsedAnswerFault(name))
            m_answerFaults[*fault] = faults[name].asInt();
    }
    m_requestsToRefuse = json["refuse"]["count"].asInt();
    m_areRefusalsDuplicated = json["refuse"]["twice"].asBool();
    m_ordersToDelay = json["lateOrders"].asInt();
    m_orderDelay = std::chrono::milliseconds{json["lateMs"].asInt()};
    if (json.isMember("partitionedFrom"))
        setPartition(json["partitionedFrom"], json["openConnections"].asString());
}

void KeyedServer::setPartition(const Json::Value &sources, const std::string &openConnections)
{
    std::vector<std::string> addresses;
    for (const Json::Value &source : sources)
        addresses.push_back(source.asString());
    const PartitionScope scope = openConnections == "keep" ? PartitionScope::NewConnections
        : openConnections == "reset"                       ? PartitionScope::ResetOpen
                                                           : PartitionScope::AllConnections;
    partitionFrom(addresses, parsedEndpoint(address()).port, scope);
}

Json::Value KeyedServer::stateJson() const
{
    Json::Value entries{Json::arrayValue};
    for (const RunRecord &run : m_runs) {
        Json::Value json;
        json["request"] = run.requestId;
        json["key"] = Json::Int64{run.key};
        json["startUs"] = Json::Int64{run.startUs};
        json["endUs"] = Json::Int64{run.endUs};
        entries.append(std::move(json));
    }
    Json::Value arrivals{Json::arrayValue};
    for (const Arrival &arrival : m_arrivals) {
        Json::Value json;
        json["atUs"] = Json::Int64{arrival.atUs};
        json["from"] = arrival.from;
        json["request"] = arrival.requestId;
        json["refused"] = arrival.isRefused;
        arrivals.append(std::move(json));
    }
    Json::Value json;
    json["runs"] = std::move(entries);
    json["arrivals"] = std::move(arrivals);
    json["lowestFence"] = Json::UInt64{m_lowestFence};
    json["highestFence"] = Json::UInt64{m_highestFence};
    return json;
}

} // namespace bulrush::standins

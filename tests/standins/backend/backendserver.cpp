#include "backend/backendserver.h"

#include "http/json.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <charconv>
#include <utility>
#include <variant>

namespace bulrush::standins {

namespace {

constexpr std::string_view controlPath = "/_control/";
constexpr std::size_t hashDigits = 16;

template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

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

std::optional<KeyHash> parsedHash(const Json::Value &value)
{
    if (!value.isString())
        return std::nullopt;

    const std::string text = value.asString();
    KeyHash hash = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
    if (text.size() != hashDigits || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;

    return hash;
}

std::optional<GrantOrder> parsedOrder(std::string_view text)
{
    const auto body = parsedJsonObject(text);
    if (!body || !(*body)["service"].isString() || !(*body)["sender"].isString())
        return std::nullopt;

    const auto begin = parsedHash((*body)["begin"]);
    const auto end = parsedHash((*body)["end"]);
    const Json::Value &fence = (*body)["fence"];
    if (!begin || !end || *begin > *end || !fence.isObject())
        return std::nullopt;
    if (!fence["epoch"].isUInt64() || !fence["sequence"].isUInt64())
        return std::nullopt;

    return GrantOrder{(*body)["service"].asString(),
                      {*begin, *end},
                      {fence["epoch"].asUInt64(), fence["sequence"].asUInt64()},
                      (*body)["sender"].asString()};
}

Json::Value toJson(Fence fence)
{
    Json::Value value;
    value["epoch"] = Json::UInt64{fence.epoch};
    value["sequence"] = Json::UInt64{fence.sequence};
    return value;
}

Json::Value toJson(const GrantOrder &order)
{
    Json::Value value;
    value["service"] = order.service;
    value["begin"] = fmt::format("{:016x}", order.range.begin);
    value["end"] = fmt::format("{:016x}", order.range.end);
    value["fence"] = toJson(order.fence);
    return value;
}

std::int64_t hostClockUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

BackendServer::BackendServer(asio::io_context &loop, BackendSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_grants(m_settings.checksFence)
    , m_loadReport(m_settings.reportLag, m_settings.loadReportFactor)
    , m_observed(m_settings.observedLimit)
    , m_previousAnswer{200, {{"X-Bulrush-Request", "nobody"}, {"X-Bulrush-Ran", "yes"}}, "{}"}
    , m_listener(
          loop, m_settings.listener, [this](const RequestHandle &request) { serve(request); },
          [this](ConnectionLimiter::ConnectionId connection) { cancelQueued(connection); })
{
    recordLoad();
}

void BackendServer::serve(const RequestHandle &request)
{
    const std::string path{request->header().path()};
    if (path.starts_with(controlPath)) {
        const std::string call =
            std::string{request->header().method().c_str()} + " " + path.substr(controlPath.size());
        Listener::send(request, control(call, request->body()));
        return;
    }

    auto work = parsedWork(request);
    if (const auto *malformed = std::get_if<MalformedWork>(&work)) {
        Listener::send(request, errorAnswer(400, malformed->error));
        return;
    }

    accept(std::get<Work>(std::move(work)));
}

Answer BackendServer::control(std::string_view call, std::string_view body)
{
    if (call == "POST grant")
        return grant(body);
    if (call == "POST revoke")
        return revoke(body);
    if (call == "GET grants")
        return grants();
    if (call == "GET load")
        return load();
    if (call == "POST drain")
        return drain();
    if (call == "POST behave")
        return behave(body);
    if (call == "POST release")
        return release();
    if (call == "GET observed")
        return observed();

    return errorAnswer(404, "no such call");
}

Answer BackendServer::grant(std::string_view body)
{
    const auto order = parsedOrder(body);
    if (!order)
        return errorAnswer(400, "not a grant");

    Json::Value answer;
    if (const auto highest = m_grants.grant(*order)) {
        answer["highest"] = toJson(*highest);
        return jsonAnswer(409, answer);
    }

    answer["clockMs"] = Json::Int64{clockMs()};
    return jsonAnswer(200, answer);
}

Answer BackendServer::revoke(std::string_view body)
{
    const auto order = parsedOrder(body);
    if (!order)
        return errorAnswer(400, "not a revoke");

    m_grants.revoke(*order);
    std::uint64_t running = countCovered(m_running, *order);
    // A server that doesn't check fences will still run the queued work.
    if (!m_settings.checksFence)
        running += countCovered(m_queued, *order);

    Json::Value answer;
    answer["clockMs"] = Json::Int64{clockMs()};
    answer["running"] = Json::UInt64{running};
    return jsonAnswer(200, answer);
}

Answer BackendServer::grants() const
{
    Json::Value answer;
    answer["clockMs"] = Json::Int64{clockMs()};
    answer["grants"] = Json::arrayValue;
    for (const GrantOrder &order : m_grants.held())
        answer["grants"].append(toJson(order));
    return jsonAnswer(200, answer);
}

Answer BackendServer::load()
{
    recordLoad();
    Json::Value answer = m_loadReport.toJson(std::chrono::steady_clock::now());
    answer["clockMs"] = Json::Int64{clockMs()};
    answer["slots"] = Json::UInt64{m_settings.slots};
    answer["connectionLimit"] = Json::UInt64{m_settings.listener.connectionLimit};
    return jsonAnswer(200, answer);
}

Answer BackendServer::drain()
{
    m_isDraining = true;
    recordLoad();
    return jsonAnswer(200, Json::objectValue);
}

Answer BackendServer::behave(std::string_view body)
{
    const auto message = parsedJsonObject(body);
    const auto misbehaviour = message ? parsedMisbehaviour(*message) : std::nullopt;
    if (!misbehaviour)
        return errorAnswer(400, "answer is whole, cut, silent, reset, crossed or late with lateMs");

    m_misbehaviour = *misbehaviour;
    return jsonAnswer(200, Json::objectValue);
}

Answer BackendServer::release()
{
    std::list<WorkList::iterator> held;
    for (auto work = m_running.begin(); work != m_running.end(); ++work) {
        if (work->isHeld)
            held.push_back(work);
    }
    for (const WorkList::iterator work : held)
        finish(work);
    startQueued();
    recordLoad();
    return jsonAnswer(200, Json::objectValue);
}

Answer BackendServer::observed() const
{
    Json::Value answer = m_observed.toJson();
    answer["done"] = Json::UInt64{m_counters.done};
    answer["cancelled"] = Json::UInt64{m_counters.cancelled};
    answer["refused"] = Json::objectValue;
    for (const auto &[refusal, count] : m_counters.refused)
        answer["refused"][std::string{reasonName(refusal)}] = Json::UInt64{count};
    answer["connections"] = Json::UInt64{m_listener.connectionLimiter().openCount()};
    answer["connectionsRefused"] = Json::UInt64{m_listener.connectionLimiter().refusedCount()};
    answer["clockMs"] = Json::Int64{clockMs()};
    answer["hostUs"] = Json::Int64{hostClockUs()};
    return jsonAnswer(200, answer);
}

void BackendServer::accept(Work work)
{
    if (const auto refusal = refusalAtArrival(work)) {
        refuse(work, *refusal);
        return;
    }

    m_queued.push_back(std::move(work));
    startQueued();
    recordLoad();
}

std::optional<Refusal> BackendServer::refusalAtArrival(const Work &work) const
{
    if (m_isDraining)
        return Refusal::Draining;
    if (m_settings.refusesWhileCold && isCold())
        return Refusal::Cold;
    if (const auto refusal = refusalAtStart(work))
        return refusal;
    if (m_running.size() >= m_settings.slots && m_queued.size() >= m_settings.queueLimit)
        return Refusal::Shed;

    return std::nullopt;
}

std::optional<Refusal> BackendServer::refusalAtStart(const Work &work) const
{
    // The clock has a resolution of 1 ms, so the millisecond of the deadline is already too late.
    if (work.deadlineMs && clockMs() >= *work.deadlineMs)
        return Refusal::Deadline;
    if (work.key.empty())
        return std::nullopt;

    return m_grants.refusal(work.service, hashOfKey(work.key), work.fence.value_or(Fence{}));
}

void BackendServer::refuse(const Work &work, Refusal refusal)
{
    ++m_counters.refused[refusal];
    Answer answer = errorAnswer(503, "refused");
    answer.headers.push_back({"X-Bulrush-Request", work.requestId});
    answer.headers.push_back({"X-Bulrush-Ran", "no"});
    answer.headers.push_back({"X-Bulrush-Reason", std::string{reasonName(refusal)}});
    Listener::send(work.request, answer);
}

void BackendServer::startQueued()
{
    while (m_running.size() < m_settings.slots && !m_queued.empty()) {
        const auto next = m_queued.begin();
        if (const auto refusal = refusalAtStart(*next)) {
            refuse(*next, *refusal);
            m_queued.erase(next);
            continue;
        }
        m_running.splice(m_running.end(), m_queued, next);
        start(next);
    }
}

void BackendServer::start(WorkList::iterator work)
{
    Observation observation;
    observation.service = work->service;
    observation.key = work->key;
    observation.fence = work->fence ? toText(*work->fence) : "";
    observation.requestId = work->requestId;
    observation.idempotencyKey = work->idempotencyKey;
    observation.startMs = clockMs();
    observation.startHostUs = hostClockUs();
    work->observation = m_observed.add(std::move(observation));

    if (work->isHeld)
        return;

    const auto duration = serviceTimeOf(*work);
    if (duration.count() == 0) {
        finish(work);
        return;
    }

    auto timer = std::make_shared<asio::steady_timer>(m_loop, duration);
    timer->async_wait([this, timer, work](asio::error_code error) {
        if (error)
            return;
        finish(work);
        startQueued();
        recordLoad();
    });
}

void BackendServer::finish(WorkList::iterator work)
{
    work->observation->endMs = clockMs();
    work->observation->endHostUs = hostClockUs();
    ++m_counters.done;
    const Answer complete = completedAnswer(*work, m_settings.name, m_counters.done);
    const RequestHandle request = work->request;
    m_running.erase(work);
    answer(request, complete);
}

void BackendServer::answer(const RequestHandle &request, const Answer &complete)
{
    const Answer previous = std::exchange(m_previousAnswer, complete);
    const Overloaded send{
        [&](const NormalAnswer &) { Listener::send(request, complete); },
        [&](const TruncatedAnswer &) { m_listener.sendTruncated(request, complete); },
        [&](const NoAnswer &) {},
        [&](const ConnectionReset &) { m_listener.resetConnection(request); },
        [&](const MismatchedAnswer &) { Listener::send(request, previous); },
        [&](const DelayedAnswer &late) { sendLater(request, complete, late.delay); },
    };
    std::visit(send, m_misbehaviour.nextMode());
}

void BackendServer::sendLater(const RequestHandle &request, Answer answer,
                              std::chrono::milliseconds delay)
{
    auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, request, answer = std::move(answer)](asio::error_code error) {
        if (!error)
            Listener::send(request, answer);
    });
}

void BackendServer::cancelQueued(ConnectionLimiter::ConnectionId connection)
{
    m_counters.cancelled += m_queued.remove_if(
        [connection](const Work &work) { return work.request->connection_id() == connection; });
    recordLoad();
}

std::uint64_t BackendServer::countCovered(const WorkList &list, const GrantOrder &order) const
{
    std::uint64_t count = 0;
    for (const Work &work : list) {
        const bool isInRange = work.service == order.service && !work.key.empty()
            && contains(order.range, hashOfKey(work.key));
        if (isInRange && work.fence.value_or(Fence{}) <= order.fence)
            ++count;
    }
    return count;
}

std::chrono::milliseconds BackendServer::serviceTimeOf(const Work &work) const
{
    const auto own =
        work.serviceMs ? std::chrono::milliseconds{*work.serviceMs} : m_settings.serviceTime;
    return isCold() ? own * m_settings.coldFactor : own;
}

std::int64_t BackendServer::clockMs() const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch() + m_settings.clockOffset;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool BackendServer::isCold() const
{
    return std::chrono::steady_clock::now() < m_startedAt + m_settings.coldTime;
}

void BackendServer::recordLoad()
{
    m_loadReport.record(Load{m_running.size(), m_queued.size(), isCold(), m_isDraining},
                        std::chrono::steady_clock::now());
}

} // namespace bulrush::standins

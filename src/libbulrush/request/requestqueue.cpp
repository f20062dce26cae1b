#include "request/requestqueue.h"

#include <algorithm>
#include <tuple>

namespace bulrush {

namespace {

/** Half of all requests take longer than the mean; with this margin most are answered on time. */
constexpr double lateMargin = 1.4;
/** Far more than the servers of a deployment; servers that have left are removed beyond it. */
constexpr std::size_t maxSentAt = 1000;
/** Requests take less time; without a later one, the instant of the last is not needed. */
constexpr Duration sentAtRetention = std::chrono::seconds{10};

/** \returns the time until a request is sent to an owner that is paced, after \a before others. */
Duration pacedWait(const ServerEstimate &expected, double before)
{
    // Room at once means that something else holds the request back.
    const bool isWaitKnown = *expected.roomIn > Duration::zero();
    const double ahead = isWaitKnown ? before : before + 1.0;
    if (expected.completionRate <= 0.0)
        return *expected.roomIn;
    const std::chrono::duration<double> others{ahead / expected.completionRate};
    return *expected.roomIn + std::chrono::duration_cast<Duration>(others);
}

} // namespace

std::string_view nameOf(GiveUpReason reason)
{
    switch (reason) {
    case GiveUpReason::NoTimeLeft:
        return "no-time-left";
    case GiveUpReason::QueueTooLong:
        return "queue-too-long";
    case GiveUpReason::NoOwner:
        return "no-owner";
    case GiveUpReason::Unreachable:
        return "owner-out-of-reach";
    case GiveUpReason::AllTried:
        return "all-servers-tried";
    case GiveUpReason::Cold:
        return "server-cold";
    case GiveUpReason::Evacuated:
        return "domain-evacuated";
    case GiveUpReason::BackingOff:
        return "server-backoff";
    case GiveUpReason::Limited:
        break;
    }
    return "server-limited";
}

RequestQueue::RequestQueue(const ServerPicker &picker)
    : m_picker(picker)
{ }

void RequestQueue::add(WaitingRequest request)
{
    m_waiting.push_back(std::move(request));
}

void RequestQueue::recordMoves(const RoutingState &state, Instant now)
{
    for (const auto &[service, assignment] : state.assignments)
        m_moves.record(*assignment, now);
}

void RequestQueue::remove(std::uint64_t ticket)
{
    std::erase_if(m_waiting,
                  [ticket](const WaitingRequest &request) { return request.ticket == ticket; });
}

std::vector<GivenUp> RequestQueue::dispatch(const RoutingState &state, Instant now,
                                            const SendHandler &send)
{
    sort(state, now);
    std::vector<GivenUp> all;
    std::vector<WaitingRequest> kept;
    Ahead ahead;
    for (WaitingRequest &request : m_waiting) {
        if (now + minServiceTime >= request.answerBy) {
            all.push_back({request.ticket, GiveUpReason::NoTimeLeft});
            continue;
        }
        if (now < request.notBefore) {
            kept.push_back(std::move(request));
            continue;
        }
        const ServerPick choice = m_picker.pick(state, demandOf(request), now);
        if (const auto *server = std::get_if<const ServerRecord *>(&choice)) {
            send(request.ticket, **server);
            if (request.key)
                recordSend((*server)->id, now);
            continue;
        }
        const auto reason = giveUpReason(state, request, std::get<NoServer>(choice), ahead, now);
        if (reason)
            all.push_back(givenUp(state, request, *reason, ahead, now));
        else
            kept.push_back(std::move(request));
    }
    m_waiting = std::move(kept);
    return all;
}

void RequestQueue::sort(const RoutingState &state, Instant now)
{
    if (m_waiting.size() < 2)
        return;
    using Order = std::tuple<bool, std::uint32_t, Instant, std::uint64_t>;
    std::map<std::uint64_t, Order> orders;
    for (const WaitingRequest &request : m_waiting) {
        const Duration latency = m_picker.estimate(state, demandOf(request), now).latency;
        const bool isLate =
            now + std::chrono::duration_cast<Duration>(latency * lateMargin) > request.onTimeUntil;
        orders[request.ticket] = {isLate, request.priority, request.arrivedAt, request.ticket};
    }
    std::ranges::sort(m_waiting, {}, [&orders](const WaitingRequest &request) {
        return orders.at(request.ticket);
    });
}

std::optional<GiveUpReason> RequestQueue::giveUpReason(const RoutingState &state,
                                                       WaitingRequest &request, NoServer cause,
                                                       Ahead &ahead, Instant now) const
{
    if (cause == NoServer::AllTried)
        return GiveUpReason::AllTried;
    // The owner has been unreachable for longer than a request can wait. The caller can use the
    // remaining time to retry elsewhere.
    if (cause == NoServer::Unreachable)
        return GiveUpReason::Unreachable;
    // Both take seconds; another daemon may be able to send to a cold server.
    if (cause == NoServer::Cold)
        return GiveUpReason::Cold;
    if (cause == NoServer::Evacuated)
        return GiveUpReason::Evacuated;
    if (cause == NoServer::Limited)
        return GiveUpReason::Limited;
    // Another daemon may not have been asked for a pause, and takes the request if it is refused
    // here while there is time.
    if (cause == NoServer::BackingOff) {
        const ServerDemand demand = demandOf(request);
        const Duration latency = m_picker.estimate(state, demand, now).latency;
        const bool isOnTime =
            m_picker.backoffEnd(state, demand, now) + latency <= request.onTimeUntil;
        return isOnTime ? std::nullopt : std::optional{GiveUpReason::BackingOff};
    }
    if (cause == NoServer::Absent) {
        if (!request.absentSince)
            request.absentSince = now;
        if (now - *request.absentSince >= absenceTimeout
            || moveTime(state, request, now) >= longMove)
            return GiveUpReason::NoOwner;
        return std::nullopt;
    }
    request.absentSince.reset();
    const ServerEstimate expected = m_picker.estimate(state, demandOf(request), now);
    double &before = ahead[{request.service, expected.owner}];
    if (isTooLong(state, request, expected, before, now))
        return GiveUpReason::QueueTooLong;
    request.isAccepted = true;
    before += 1.0;
    return std::nullopt;
}

/** \returns whether \a request is too late after the \a before requests ahead of it. */
bool RequestQueue::isTooLong(const RoutingState &state, const WaitingRequest &request,
                             const ServerEstimate &expected, double before, Instant now) const
{
    const auto isLateAfter = [&](Duration wait) {
        return now + wait + expected.latency > request.answerBy;
    };
    if (expected.roomIn)
        return isLateAfter(pacedWait(expected, before));
    const auto sentAt = m_sentAt.find(expected.owner);
    const std::optional<SendForecast> forecast =
        m_picker.forecast(state, demandOf(request), sentAt == m_sentAt.end() ? now : sentAt->second,
                          request.answerBy - now, now);
    if (forecast && isLateAfter(forecast->wait(before)))
        return true;
    // The rate says nothing about the part of a pause that has passed, so that with it, a request
    // that was accepted would be given up shortly before its turn.
    if (forecast && forecast->isCertain && request.isAccepted)
        return false;
    if (expected.completionRate <= 0.0)
        return false;
    const std::chrono::duration<double> wait{(before + 1.0) / expected.completionRate};
    return isLateAfter(std::chrono::duration_cast<Duration>(wait));
}

void RequestQueue::recordSend(const ServerName &server, Instant now)
{
    if (m_sentAt.size() >= maxSentAt)
        std::erase_if(m_sentAt,
                      [now](const auto &entry) { return now - entry.second > sentAtRetention; });
    m_sentAt[server] = now;
}

std::optional<GivenUp> RequestQueue::foreseenRefusal(const RoutingState &state,
                                                     WaitingRequest request, Instant now) const
{
    const ServerPick choice = m_picker.pick(state, demandOf(request), now);
    const auto *cause = std::get_if<NoServer>(&choice);
    if (!cause || *cause != NoServer::Busy)
        return std::nullopt;
    const ServerEstimate expected = m_picker.estimate(state, demandOf(request), now);
    Ahead ahead;
    for (const WaitingRequest &other : m_waiting) {
        const bool isAhead = other.service == request.service && other.priority <= request.priority
            && other.notBefore <= now
            && m_picker.estimate(state, demandOf(other), now).owner == expected.owner;
        if (isAhead)
            ahead[{request.service, expected.owner}] += 1.0;
    }
    const auto reason = giveUpReason(state, request, *cause, ahead, now);
    if (reason != GiveUpReason::QueueTooLong)
        return std::nullopt;
    return givenUp(state, request, *reason, ahead, now);
}

GivenUp RequestQueue::givenUp(const RoutingState &state, const WaitingRequest &request,
                              GiveUpReason reason, const Ahead &ahead, Instant now) const
{
    if (reason == GiveUpReason::BackingOff)
        return {request.ticket, reason, m_picker.backoffEnd(state, demandOf(request), now) - now};
    if (reason == GiveUpReason::QueueTooLong)
        return {request.ticket, reason, drainTime(state, request, ahead, now)};
    // Moves differ so much in their duration that one is expected to last as long again.
    if (reason == GiveUpReason::NoOwner)
        return {request.ticket, reason, moveTime(state, request, now)};
    return {request.ticket, reason};
}

/** \returns for how long the key of \a request is known to move; zero if it does not. */
Duration RequestQueue::moveTime(const RoutingState &state, const WaitingRequest &request,
                                Instant now) const
{
    const auto assignment = state.assignments.find(request.service);
    if (!request.key || assignment == state.assignments.end())
        return {};
    const std::optional<Instant> since = m_moves.movingSince(*assignment->second, *request.key);
    return since ? now - *since : Duration::zero();
}

/**
 * \returns the time until the requests at the server of \a request, and those that wait here ahead
 * of it, have begun to run. It is the server's: the pauses between the requests of this daemon say
 * nothing about the daemon that the caller reaches when it returns.
 */
Duration RequestQueue::drainTime(const RoutingState &state, const WaitingRequest &request,
                                 const Ahead &ahead, Instant now) const
{
    const ServerEstimate expected = m_picker.estimate(state, demandOf(request), now);
    const auto before = ahead.find({request.service, expected.owner});
    if (before == ahead.end() || expected.capacity <= 0.0)
        return expected.drainTime;
    const std::chrono::duration<double> own{before->second / expected.capacity};
    return expected.drainTime + std::chrono::duration_cast<Duration>(own);
}

ServerDemand RequestQueue::demandOf(const WaitingRequest &request)
{
    return {
        request.service, request.key,    request.kind,      request.onTimeUntil - request.arrivedAt,
        request.tried,   request.ticket, request.permitted, request.route};
}

} // namespace bulrush

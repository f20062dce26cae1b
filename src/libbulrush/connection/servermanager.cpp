#include "connection/servermanager.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr Duration minRetryAfter = std::chrono::seconds{1};

/** The expected wait is a mean: work is queued only if there is time for this multiple of it. */
constexpr int expectedWaitFactor = 2;

bool eraseWork(std::deque<ManagedWork> &queue, WorkId id)
{
    return std::erase_if(queue, [id](const ManagedWork &work) { return work.id == id; }) > 0;
}

} // namespace

ServerManager::ServerManager(ServerManagerLimits limits)
    : m_limits(limits)
    , m_serviceTime(limits.firstServiceTime)
    , m_slotLimit(limits.slots)
{ }

ServerManagerActions ServerManager::submit(const ManagedWork &work, Instant now)
{
    ServerManagerActions actions;
    removeExpiredLostWork(now);
    if (const auto reason = stateRefusal()) {
        refuse(work, *reason, actions);
        return actions;
    }
    if (work.hasStreamedBody)
        return submitStreamed(work, now);
    if (const auto reason = admissionRefusal(work, now)) {
        refuse(work, *reason, actions);
        return actions;
    }
    enqueue(work, actions);
    dispatchQueued(now, actions);
    if (work.policy.requestClass == RequestClass::Priority)
        refuseDisplaced(now, actions);
    return actions;
}

ServerManagerActions ServerManager::submitStreamed(const ManagedWork &work, Instant now)
{
    ServerManagerActions actions;
    if (m_streaming >= m_limits.streamedBodyLimit)
        refuse(work, FailurePoint::QueueFull, actions);
    else if (now + m_serviceTime.cautious() > work.policy.deadline)
        refuse(work, FailurePoint::DeadlineBeforeDispatch, actions);
    else
        dispatch(work, now, actions);
    return actions;
}

void ServerManager::bodySent(WorkId id, Instant now)
{
    const auto found = m_flights.find(id);
    if (found == m_flights.end() || found->second.isBodySent)
        return;
    found->second.isBodySent = true;
    found->second.sentAt = now;
    --m_streaming;
    ++m_running;
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

ServerManagerActions ServerManager::workEnded(WorkId id, WorkResult end, Instant now)
{
    ServerManagerActions actions;
    const auto found = m_flights.find(id);
    if (found == m_flights.end() || found->second.isLost)
        return actions;
    if (end == WorkResult::Lost && found->second.deadline > now) {
        found->second.isLost = true;
        return actions;
    }
    const Flight flight = found->second;
    m_flights.erase(found);
    --(flight.isBodySent ? m_running : m_streaming);
    recordResult(flight, end, now);
    if (std::exchange(m_hasRecovered, false))
        actions.emplace_back(ReportRecovered{});
    if (const auto reason = stateRefusal())
        refuseQueued(*reason, actions);
    dispatchQueued(now, actions);
    return actions;
}

void ServerManager::cancel(WorkId id)
{
    if (!eraseWork(m_ordinaryQueue, id))
        eraseWork(m_priorityQueue, id);
}

ServerManagerActions ServerManager::serverAnswered(bool isDraining, Instant now)
{
    ServerManagerActions actions;
    if (isDraining) {
        m_state = ServerState::Draining;
        refuseQueued(FailurePoint::ServerDraining, actions);
        return actions;
    }
    if (m_state != ServerState::Suspected)
        return actions;
    m_state = ServerState::Probation;
    m_unansweredSince.reset();
    actions.emplace_back(ReportRecovered{});
    dispatchQueued(now, actions);
    return actions;
}

ServerManagerActions ServerManager::advance(Instant now)
{
    ServerManagerActions actions;
    removeExpiredLostWork(now);
    const bool isSilent = m_unansweredSince && *m_unansweredSince + silenceTimeout() <= now;
    if (isSilent && stateRefusal() == std::nullopt) {
        m_state = ServerState::Suspected;
        actions.emplace_back(ReportSuspected{});
        refuseQueued(FailurePoint::ServerSuspected, actions);
    }
    refuseExpired(m_priorityQueue, now, actions);
    refuseExpired(m_ordinaryQueue, now, actions);
    dispatchQueued(now, actions);
    return actions;
}

std::optional<Instant> ServerManager::nextDue() const
{
    std::optional<Instant> due;
    const auto consider = [&due](Instant instant) {
        due = std::min(due.value_or(instant), instant);
    };
    if (m_unansweredSince && !stateRefusal())
        consider(*m_unansweredSince + silenceTimeout());
    for (const auto &[id, flight] : m_flights) {
        if (flight.isLost)
            consider(flight.deadline);
    }
    for (const Queue *queue : {&m_priorityQueue, &m_ordinaryQueue}) {
        for (const ManagedWork &work : *queue)
            consider(work.policy.deadline - m_serviceTime.mean() + Duration{1});
    }
    return due;
}

ServerManagerLoad ServerManager::load(RequestClass requestClass) const
{
    const bool isPriority = requestClass == RequestClass::Priority;
    const std::size_t before = isPriority ? m_priorityQueue.size() : queuedCount();
    ServerManagerLoad load;
    load.inFlight = m_running;
    load.queuedBefore = static_cast<int>(before);
    load.serviceTime = m_serviceTime.mean();
    if (stateRefusal())
        return load;
    load.freeSlots = std::max(0, slotLimit() - m_running - static_cast<int>(queuedCount()));
    load.expectedWait = waitBehind(before);
    return load;
}

int ServerManager::slotLimit() const
{
    return m_state == ServerState::Probation ? 1 : m_slotLimit;
}

std::size_t ServerManager::queuedCount() const
{
    return m_priorityQueue.size() + m_ordinaryQueue.size();
}

Duration ServerManager::waitBehind(std::size_t ahead) const
{
    const int slots = slotLimit();
    const auto before = static_cast<int>(ahead) + m_running;
    if (before < slots)
        return Duration{};
    return m_serviceTime.mean() * (before - slots + 1) / slots;
}

bool ServerManager::isInTime(Instant deadline, std::size_t ahead, Instant now) const
{
    return now + expectedWaitFactor * waitBehind(ahead) + m_serviceTime.cautious() <= deadline;
}

bool ServerManager::isTooLate(Instant deadline, Instant now) const
{
    return now + m_serviceTime.mean() > deadline;
}

Duration ServerManager::retryAfter() const
{
    return std::max(minRetryAfter, waitBehind(queuedCount()));
}

std::optional<FailurePoint> ServerManager::stateRefusal() const
{
    if (m_state == ServerState::Suspected)
        return FailurePoint::ServerSuspected;
    if (m_state == ServerState::Draining)
        return FailurePoint::ServerDraining;
    return std::nullopt;
}

std::optional<FailurePoint> ServerManager::admissionRefusal(const ManagedWork &work,
                                                            Instant now) const
{
    const bool isPriority = work.policy.requestClass == RequestClass::Priority;
    if (isTooLate(work.policy.deadline, now))
        return FailurePoint::DeadlineBeforeDispatch;
    if (m_running >= slotLimit()) {
        const std::size_t ahead = isPriority ? m_priorityQueue.size() : queuedCount();
        if (!isInTime(work.policy.deadline, ahead, now))
            return FailurePoint::Overloaded;
    }
    const bool isFull = queuedCount() >= static_cast<std::size_t>(m_limits.queueLimit);
    const bool canMakeRoom = isPriority && !m_ordinaryQueue.empty();
    if (isFull && !canMakeRoom)
        return FailurePoint::QueueFull;
    return std::nullopt;
}

void ServerManager::enqueue(const ManagedWork &work, ServerManagerActions &actions)
{
    if (queuedCount() >= static_cast<std::size_t>(m_limits.queueLimit)) {
        refuse(m_ordinaryQueue.back(), FailurePoint::Overloaded, actions);
        m_ordinaryQueue.pop_back();
    }
    const bool isPriority = work.policy.requestClass == RequestClass::Priority;
    (isPriority ? m_priorityQueue : m_ordinaryQueue).push_back(work);
}

void ServerManager::dispatch(const ManagedWork &work, Instant now, ServerManagerActions &actions)
{
    m_flights.emplace(work.id, Flight{now, work.policy.deadline, !work.hasStreamedBody, false});
    ++(work.hasStreamedBody ? m_streaming : m_running);
    if (!work.hasStreamedBody && !m_unansweredSince)
        m_unansweredSince = now;
    actions.emplace_back(DispatchWork{work.id});
}

void ServerManager::dispatchQueued(Instant now, ServerManagerActions &actions)
{
    while (m_running < slotLimit() && queuedCount() > 0 && !stateRefusal()) {
        Queue &queue = m_priorityQueue.empty() ? m_ordinaryQueue : m_priorityQueue;
        const ManagedWork work = queue.front();
        queue.pop_front();
        // While other work is queued, no slot is used for work that will probably be late.
        const bool isProbablyLate = queuedCount() > 0
            ? now + m_serviceTime.cautious() > work.policy.deadline
            : isTooLate(work.policy.deadline, now);
        if (isProbablyLate)
            refuse(work, FailurePoint::DeadlineBeforeDispatch, actions);
        else
            dispatch(work, now, actions);
    }
}

void ServerManager::refuse(const ManagedWork &work, FailurePoint reason,
                           ServerManagerActions &actions) const
{
    actions.emplace_back(RefuseWork{work.id, reason, retryAfter()});
}

void ServerManager::refuseQueued(FailurePoint reason, ServerManagerActions &actions)
{
    for (Queue *queue : {&m_priorityQueue, &m_ordinaryQueue}) {
        for (const ManagedWork &work : *queue)
            refuse(work, reason, actions);
        queue->clear();
    }
}

/** Newly queued priority work may delay ordinary work past its deadline. */
void ServerManager::refuseDisplaced(Instant now, ServerManagerActions &actions)
{
    while (!m_ordinaryQueue.empty()) {
        const ManagedWork &last = m_ordinaryQueue.back();
        if (isInTime(last.policy.deadline, queuedCount() - 1, now))
            return;
        refuse(last, FailurePoint::Overloaded, actions);
        m_ordinaryQueue.pop_back();
    }
}

/** Refuses only work that would be late even if sent now, since estimates may be too high. */
void ServerManager::refuseExpired(Queue &queue, Instant now, ServerManagerActions &actions) const
{
    std::erase_if(queue, [&](const ManagedWork &work) {
        const bool isExpired = isTooLate(work.policy.deadline, now);
        if (isExpired)
            refuse(work, FailurePoint::DeadlineBeforeDispatch, actions);
        return isExpired;
    });
}

void ServerManager::removeExpiredLostWork(Instant now)
{
    std::erase_if(m_flights, [&](const auto &entry) {
        const Flight &flight = entry.second;
        if (!flight.isLost || flight.deadline > now)
            return false;
        --(flight.isBodySent ? m_running : m_streaming);
        return true;
    });
}

void ServerManager::recordResult(const Flight &flight, WorkResult end, Instant now)
{
    switch (end) {
    case WorkResult::Answered:
        recordAnswer(flight, now);
        break;
    case WorkResult::Shed:
        setSlotLimit(std::max(1, m_running));
        break;
    case WorkResult::Cold:
        setSlotLimit(1);
        break;
    case WorkResult::Draining:
        m_state = ServerState::Draining;
        break;
    case WorkResult::Refused:
    case WorkResult::NotSent:
    case WorkResult::Lost:
        break;
    }
    // Lost work leaves its answer outstanding; any other result restarts the measurement of
    // silence.
    if (end != WorkResult::Lost)
        m_unansweredSince = m_running > 0 ? std::optional{now} : std::nullopt;
}

void ServerManager::recordAnswer(const Flight &flight, Instant now)
{
    if (flight.isBodySent)
        m_serviceTime.record(now - flight.sentAt);
    m_hasRecovered = m_state == ServerState::Suspected;
    if (m_state == ServerState::Suspected || m_state == ServerState::Probation)
        m_state = ServerState::Serving;
    if (m_slotLimit >= m_limits.slots || ++m_answersSinceLimitChange < m_slotLimit)
        return;
    setSlotLimit(m_slotLimit + 1);
}

Duration ServerManager::silenceTimeout() const
{
    return std::max(m_limits.minSilenceTimeout, m_serviceTime.cautious() * m_limits.silenceFactor);
}

void ServerManager::setSlotLimit(int limit)
{
    m_slotLimit = std::clamp(limit, 1, m_limits.slots);
    m_answersSinceLimitChange = 0;
}

} // namespace bulrush

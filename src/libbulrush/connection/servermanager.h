#pragma once

#include "connection/servicetimeestimate.h"
#include "process/clock.h"
#include "request/outcome.h"
#include "request/requestpolicy.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bulrush {

/** Identifies a piece of work within one server manager. */
using WorkId = std::uint64_t;

/** Work for a backend server. */
struct ManagedWork
{
    WorkId id = 0;
    RequestPolicy policy;
    /** Whether the body is streamed: it occupies a connection long before it takes a slot. */
    bool hasStreamedBody = false;
};

/** Limits on the work for one backend server. */
struct ServerManagerLimits
{
    int slots = 3;
    /** Maximum number of concurrent streamed bodies; a part of the server's connection limit. */
    int streamedBodyLimit = 50;
    int queueLimit = 64;
    Duration firstServiceTime = std::chrono::milliseconds{20};
    /** The server is suspected after this many cautious service times without an answer. */
    int silenceFactor = 5;
    Duration minSilenceTimeout = std::chrono::milliseconds{250};
};

/** Send this work to the backend server now. */
struct DispatchWork
{
    WorkId id;

    bool operator==(const DispatchWork &) const = default;
};

/** This work was not sent and will not be: report it to the daemon that submitted it at once. */
struct RefuseWork
{
    WorkId id;
    FailurePoint reason;
    Duration retryAfter;

    bool operator==(const RefuseWork &) const = default;
};

/** The server does not answer: report it to the domain leader and to the other senders. */
struct ReportSuspected
{
    bool operator==(const ReportSuspected &) const = default;
};

/** A suspected server has answered again. */
struct ReportRecovered
{
    bool operator==(const ReportRecovered &) const = default;
};

using ServerManagerAction =
    std::variant<DispatchWork, RefuseWork, ReportSuspected, ReportRecovered>;
using ServerManagerActions = std::vector<ServerManagerAction>;

/** Result of dispatched work with respect to the server's load. */
enum class WorkResult {
    Answered, ///< the server completed it
    Refused,  ///< the server stated that it did not start, for a reason other than its own state
    Shed,     ///< the server is overloaded
    Cold,     ///< the server is not warmed up
    Draining, ///< the server is leaving
    NotSent,  ///< no byte reached the server
    Lost,     ///< no answer will be accepted; the server may work on it until its deadline
};

/** Load that work of one class would encounter now. */
struct ServerManagerLoad
{
    int inFlight = 0;
    /** Queued work that would be sent first. */
    int queuedBefore = 0;
    int freeSlots = 0;
    Duration expectedWait{};
    /** Mean time that work occupies a slot. */
    Duration serviceTime{};

    bool operator==(const ServerManagerLoad &) const = default;
};

/**
 * Tracks the exact number of requests in flight at one backend server and the queue for it. Work
 * that is not expected to complete before its deadline, by the server's measured service times, is
 * refused when it is submitted rather than when the deadline passes. Priority work is sent first;
 * ordinary work, the latest first, is shed to make room for it.
 *
 * Not thread safe.
 */
class ServerManager
{
public:
    explicit ServerManager(ServerManagerLimits limits);

    /** Submits work. \pre The id is new. */
    ServerManagerActions submit(const ManagedWork &work, Instant now);

    /** The streamed body of \a id has been sent completely: it takes a slot from now on. */
    void bodySent(WorkId id, Instant now);

    /** Records the result of dispatched work. An unknown id is ignored. */
    ServerManagerActions workEnded(WorkId id, WorkResult end, Instant now);

    /**
     * Removes queued work whose caller has disconnected. Dispatched work has to be completed with
     * workEnded().
     */
    void cancel(WorkId id);

    /** The server answered a control call, which shows that it is not frozen. */
    ServerManagerActions serverAnswered(bool isDraining, Instant now);

    /** Refuses expired work and detects an unresponsive server. To be called at nextDue(). */
    ServerManagerActions advance(Instant now);

    /** \returns when advance() has to be called next, or nothing. */
    std::optional<Instant> nextDue() const;

    /** \returns the load that work of \a requestClass would encounter. */
    ServerManagerLoad load(RequestClass requestClass) const;

    bool isSuspected() const;
    bool isDraining() const;

private:
    enum class ServerState {
        Serving,
        Probation, ///< one piece of work at a time until one is answered
        Suspected, ///< nothing is sent
        Draining,  ///< nothing is sent any more; final
    };

    struct Flight
    {
        Instant sentAt;
        Instant deadline;
        bool isBodySent = true;
        /** Ended without an answer; the server may work on it until the deadline. */
        bool isLost = false;
    };

    using Queue = std::deque<ManagedWork>;

    int slotLimit() const;
    std::size_t queuedCount() const;
    Duration waitBehind(std::size_t ahead) const;
    bool isInTime(Instant deadline, std::size_t ahead, Instant now) const;
    bool isTooLate(Instant deadline, Instant now) const;
    Duration retryAfter() const;
    std::optional<FailurePoint> stateRefusal() const;
    std::optional<FailurePoint> admissionRefusal(const ManagedWork &work, Instant now) const;
    ServerManagerActions submitStreamed(const ManagedWork &work, Instant now);
    void enqueue(const ManagedWork &work, ServerManagerActions &actions);
    void dispatch(const ManagedWork &work, Instant now, ServerManagerActions &actions);
    void dispatchQueued(Instant now, ServerManagerActions &actions);
    void refuse(const ManagedWork &work, FailurePoint reason, ServerManagerActions &actions) const;
    void refuseQueued(FailurePoint reason, ServerManagerActions &actions);
    void refuseDisplaced(Instant now, ServerManagerActions &actions);
    void refuseExpired(Queue &queue, Instant now, ServerManagerActions &actions) const;
    void removeExpiredLostWork(Instant now);
    void recordResult(const Flight &flight, WorkResult end, Instant now);
    void recordAnswer(const Flight &flight, Instant now);
    Duration silenceTimeout() const;
    void setSlotLimit(int limit);

    ServerManagerLimits m_limits;
    ServiceTimeEstimate m_serviceTime;
    ServerState m_state = ServerState::Serving;
    std::unordered_map<WorkId, Flight> m_flights;
    Queue m_priorityQueue;
    Queue m_ordinaryQueue;
    int m_running = 0;
    int m_streaming = 0;
    /** Reduced below the server's slots after it shed; raised by one per round of answers. */
    int m_slotLimit;
    int m_answersSinceLimitChange = 0;
    /** Start of the period in which an answer is outstanding and none arrived, or nothing. */
    std::optional<Instant> m_unansweredSince;
    bool m_hasRecovered = false;
};

inline bool ServerManager::isSuspected() const
{
    return m_state == ServerState::Suspected;
}

inline bool ServerManager::isDraining() const
{
    return m_state == ServerState::Draining;
}

} // namespace bulrush

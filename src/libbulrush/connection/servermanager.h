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

/** Names a piece of work within one attendant. */
using WorkId = std::uint64_t;

/** Work that a backend server is to do. */
struct AttendedWork
{
    WorkId id = 0;
    RequestPolicy policy;
    /** Whether the body comes slowly: it holds a connection long before it takes a slot. */
    bool hasStreamedBody = false;
};

/** Bounds on the work that one backend server is given. */
struct ServerManagerLimits
{
    int slots = 3;
    /** Streamed bodies under way at once: part of the server's limit of connections. */
    int streamedBodyLimit = 50;
    int queueLimit = 64;
    Duration firstServiceTime = std::chrono::milliseconds{20};
    /** The server is suspected after this many cautious service times without an answer. */
    int silenceFactor = 5;
    Duration shortestSilence = std::chrono::milliseconds{250};
};

/** Send this work to the backend server now. */
struct DispatchWork
{
    WorkId id;

    bool operator==(const DispatchWork &) const = default;
};

/** This work was not sent and won't be: tell its daemon at once. */
struct RefuseWork
{
    WorkId id;
    FailurePoint reason;
    Duration retryAfter;

    bool operator==(const RefuseWork &) const = default;
};

/** The server answers nothing: tell the steward, and others not to send. */
struct ReportSuspected
{
    bool operator==(const ReportSuspected &) const = default;
};

/** A suspected server answers again. */
struct ReportRecovered
{
    bool operator==(const ReportRecovered &) const = default;
};

using ServerManagerAction =
    std::variant<DispatchWork, RefuseWork, ReportSuspected, ReportRecovered>;
using ServerManagerActions = std::vector<ServerManagerAction>;

/** What became of dispatched work, as far as the server's load is concerned. */
enum class WorkResult {
    Answered, ///< the server did it
    Refused,  ///< the server said that it did not start, without a cause in its own state
    Shed,     ///< the server has too much
    Cold,     ///< the server isn't warm
    Draining, ///< the server leaves
    NotSent,  ///< no byte reached the server
    Lost,     ///< no answer, and none will be taken: the server may be at it until its deadline
};

/** What work of one class would meet if it came now. */
struct ServerManagerLoad
{
    int inFlight = 0;
    /** Queued work that would be sent before it. */
    int queuedBefore = 0;
    int freeSlots = 0;
    Duration expectedWait{};
    /** Mean time in a slot. */
    Duration serviceTime{};

    bool operator==(const ServerManagerLoad &) const = default;
};

/**
 * Keeps the exact count of one backend server's work in flight and the queue before it. Work that
 * can't be served before its deadline, by the server's own measured times, is refused when it
 * comes and not when its time is up; priority work goes first, and ordinary work is shed to make
 * room for it, the latest come first.
 *
 * Not thread safe.
 */
class ServerManager
{
public:
    explicit ServerManager(ServerManagerLimits limits);

    /** Takes in work. \pre its id is new. */
    ServerManagerActions submit(const AttendedWork &work, Instant now);

    /** The streamed body of \a id has been sent whole: it takes a slot from now. */
    void bodySent(WorkId id, Instant now);

    /** Dispatched work has ended. An unknown id is ignored. */
    ServerManagerActions workEnded(WorkId id, WorkResult end, Instant now);

    /**
     * The caller of queued work has gone: it is forgotten. Dispatched work has to end by
     * workEnded().
     */
    void cancel(WorkId id);

    /** The server answered a control call: it is not frozen. */
    ServerManagerActions serverAnswered(bool isDraining, Instant now);

    /** Refuses what can't be served any more and notices silence. To be called at nextDue(). */
    ServerManagerActions advance(Instant now);

    /** \returns when advance() has something to do, or nothing. */
    std::optional<Instant> nextDue() const;

    /** \returns what work of \a requestClass would meet. */
    ServerManagerLoad load(RequestClass requestClass) const;

    bool isSuspected() const;
    bool isDraining() const;

private:
    enum class ServerState {
        Serving,
        Probation, ///< one piece of work at a time until one is answered
        Suspected, ///< nothing is sent
        Draining,  ///< nothing is sent, for good
    };

    struct Flight
    {
        Instant sentAt;
        Instant deadline;
        bool isBodySent = true;
        /** Ended without an answer; the server may be at it until the deadline. */
        bool isLost = false;
    };

    using Queue = std::deque<AttendedWork>;

    int slotLimit() const;
    std::size_t queuedCount() const;
    Duration waitBehind(std::size_t ahead) const;
    bool isInTime(Instant deadline, std::size_t ahead, Instant now) const;
    bool isTooLate(Instant deadline, Instant now) const;
    Duration retryAfter() const;
    std::optional<FailurePoint> stateRefusal() const;
    std::optional<FailurePoint> admissionRefusal(const AttendedWork &work, Instant now) const;
    ServerManagerActions submitStreamed(const AttendedWork &work, Instant now);
    void enqueue(const AttendedWork &work, ServerManagerActions &actions);
    void dispatch(const AttendedWork &work, Instant now, ServerManagerActions &actions);
    void dispatchQueued(Instant now, ServerManagerActions &actions);
    void refuse(const AttendedWork &work, FailurePoint reason, ServerManagerActions &actions) const;
    void refuseQueued(FailurePoint reason, ServerManagerActions &actions);
    void refuseDisplaced(Instant now, ServerManagerActions &actions);
    void refuseExpired(Queue &queue, Instant now, ServerManagerActions &actions) const;
    void forgetLost(Instant now);
    void noteEnd(const Flight &flight, WorkResult end, Instant now);
    void noteAnswer(const Flight &flight, Instant now);
    Duration silenceLimit() const;
    void setSlotLimit(int limit);

    ServerManagerLimits m_limits;
    ServiceTimeEstimate m_serviceTime;
    ServerState m_state = ServerState::Serving;
    std::unordered_map<WorkId, Flight> m_flights;
    Queue m_priorityQueue;
    Queue m_ordinaryQueue;
    int m_running = 0;
    int m_streaming = 0;
    /** Below the server's slots after it shed, and back by one with each round of answers. */
    int m_slotLimit;
    int m_answersSinceChange = 0;
    /** Since when the server owes an answer, or nothing. */
    std::optional<Instant> m_silentSince;
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

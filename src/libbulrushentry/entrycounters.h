#pragma once

#include "process/latencyhistogram.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace bulrush {

/** Counters of an entry daemon. Their names in metrics are the enumerators in snake case. */
enum class EntryCounter {
    RequestsTaken,
    AnswersReturned, ///< a server's own answer, whatever its status
    RefusedNotRun,
    RefusedNeverSent,     ///< of these, those of which no byte was sent
    RefusedDenied,        ///< of these, those whose copies were all denied by their holders
    RefusedCrashing,      ///< of these, requests that crash servers
    RefusedOverShare,     ///< of these, those of callers that exceed their fair share
    RefusalsWithoutProof, ///< ended as unknown, as a copy may run
    EndedUnknown,         ///< sent, but without an answer: it may have run
    Rejected,             ///< no such route, or an invalid request
    CallersGone,
    /** Requests that were refused by the planner's share for their priority. */
    RefusedSharePriority0,
    RefusedSharePriority1,
    RefusedSharePriority2,
    RefusedSharePriority3Up,
    AttemptsSent,
    AttemptsRepeated,
    AttemptsNotRun,
    AttemptsFailed,
    AttemptsAtFull,        ///< reset by servers that were probably full
    AttemptsToLimited,     ///< to servers that name a limit
    AttemptsDuringBackoff, ///< to servers that had asked for a pause
    AttemptsWithdrawn, ///< not sent, as their server asked for a pause while they were connecting
    ServerBackoffs,    ///< refusals that asked for a pause
    ServersLeaving,    ///< servers that announced in an answer that they stop
    PermitsQueried,    ///< for requests to servers that name limits
    PermitsRefused,
    ConnectionsOpened,
    RelaysSent,        ///< requests sent through other daemons
    RelaysAnswered,    ///< of these, those that their servers answered
    RelaysTaken,       ///< requests that other daemons relayed through this one
    RelaysNotRun,      ///< of these, those that did not run
    ServersOutOfReach, ///< times at which all paths to servers were lost
    DomainsOutOfReach, ///< times at which the paths to a failure domain were lost
    HostOverloads,     ///< times at which this host began to fall behind with its work
    RefusedOverloaded, ///< requests refused for that reason, callers' and relayed ones
    SlowStartsBegun,   ///< of servers at this daemon, whatever the cause
    SlowStartsEnded,
    SlowStartStepsBack,  ///< reductions of a window in slow starts that have ended
    RequestsWithoutRoom, ///< requests that were refused as there is no memory for their body
    ConnectionsGivenWay, ///< callers' connections that were closed to make place for others
    TransfersEvicted,    ///< stalled bodies and answers that were ended to make room for others
    AnswersWithoutRoom,  ///< answers of servers that were dropped for that reason
    Count,               ///< number of counters
};

/** \returns the counter of requests of \a priority that were refused by a share. Thread safe. */
EntryCounter refusedByShare(std::uint32_t priority);

/** Counts and latencies of one daemon. Thread safe. */
class EntryCounters
{
public:
    void add(EntryCounter counter, std::uint64_t amount = 1);
    std::uint64_t value(EntryCounter counter) const;

    /** Records the time from a request's arrival to its answer. */
    void recordLatency(Duration latency);

    /** Records the age of the data on backend servers when one of them was chosen. */
    void recordRoutingDataAge(Duration age);

    /** Records an upper bound of the time from a configuration's acknowledgement to its use. */
    void recordConfigDelay(Duration delay);

    /** \returns all values in the text format of the metrics page, one line for each. */
    std::string text() const;

private:
    static constexpr auto size = static_cast<std::size_t>(EntryCounter::Count);

    std::array<std::atomic<std::uint64_t>, size> m_values{};
    mutable std::mutex m_mutex;
    LatencyHistogram m_latency;
    LatencyHistogram m_routingDataAge;
    Duration m_maxRoutingDataAge{};
    LatencyHistogram m_configDelay;
    Duration m_maxConfigDelay{};
};

} // namespace bulrush

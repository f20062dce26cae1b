#pragma once

#include "process/latencyhistogram.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace bulrush {

/** What an entry daemon counts; the names in metrics are those of the enumerators in snake case. */
enum class EntryCounter {
    RequestsTaken,
    AnswersReturned, ///< a server's own answer, whatever its status
    RefusedNotRun,
    RefusedCrashing, ///< of these, requests that crash servers
    EndedUnknown,    ///< sent, but without an answer: it may have run
    Rejected,        ///< no such route, or not a proper request
    CallersGone,
    AttemptsSent,
    AttemptsRepeated,
    AttemptsNotRun,
    AttemptsFailed,
    ConnectionsOpened,
    Count, ///< how many there are
};

/** Counts and latencies of one daemon. Thread safe. */
class EntryCounters
{
public:
    void add(EntryCounter counter, std::uint64_t amount = 1);
    std::uint64_t value(EntryCounter counter) const;

    /** Records the time from a request's arrival to its answer. */
    void recordLatency(Duration latency);

    /** Records how old what was known of the backend servers was as one of them was chosen. */
    void recordKnowledgeAge(Duration age);

    /** Records how long after its acknowledgement a configuration came into force, at most. */
    void recordConfigDelay(Duration delay);

    /** \returns all of it as text for a metrics page, a line for each value. */
    std::string text() const;

private:
    static constexpr auto size = static_cast<std::size_t>(EntryCounter::Count);

    std::array<std::atomic<std::uint64_t>, size> m_values{};
    mutable std::mutex m_mutex;
    LatencyHistogram m_latency;
    LatencyHistogram m_knowledgeAge;
    Duration m_oldestKnowledge{};
    LatencyHistogram m_configDelay;
    Duration m_longestConfigDelay{};
};

} // namespace bulrush

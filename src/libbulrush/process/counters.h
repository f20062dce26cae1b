#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrush {

/** Counters of a daemon. Their names are returned by counterName(). */
enum class Counter {
    RequestsAccepted,
    RequestsRelayed,
    RequestsCompleted,
    RequestsNotRun,
    RequestsUnknown,
    RequestsRejected,
    AttemptsSent,
    AttemptsRetried,
    CallersGone,
    ClaimsMade,
    ClaimsRepeated,
    RateLimited,
    RequestsShed,
    LeaseRequestsSent,
    LeaseRequestsAnswered,
    LeaseRequestsRefused,
    PromisesAsked,
    PromisesGiven,
    StewardshipsBegun,
    StewardshipsEnded,
    AssignmentsPublished,
    PlatformReads,
    PlatformWrites,
    PlatformErrors,
    PlatformUnknowns,
    PeerCalls,
    PeerCallErrors,
    ContractsAdopted,
    Count, ///< the number of counters
};

/**
 * \returns the name of \a counter in /metrics and in status views.
 */
std::string_view counterName(Counter counter);

/**
 * The counters of one process. Thread safe: each counter is exact, but values of several counters
 * are not read at the same instant.
 */
class Counters
{
public:
    static constexpr std::size_t size = static_cast<std::size_t>(Counter::Count);

    void add(Counter counter, std::uint64_t amount = 1);
    std::uint64_t value(Counter counter) const;

private:
    std::array<std::atomic<std::uint64_t>, size> m_values{};
};

inline void Counters::add(Counter counter, std::uint64_t amount)
{
    m_values.at(static_cast<std::size_t>(counter)).fetch_add(amount, std::memory_order_relaxed);
}

inline std::uint64_t Counters::value(Counter counter) const
{
    return m_values.at(static_cast<std::size_t>(counter)).load(std::memory_order_relaxed);
}

} // namespace bulrush

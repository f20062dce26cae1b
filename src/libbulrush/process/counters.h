#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrush {

/** What a daemon counts. The names are those of counterName(). */
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
    Count, ///< how many there are
};

/**
 * \returns the name that \a counter has in /metrics and in status views.
 */
std::string_view counterName(Counter counter);

/**
 * The counts of one process. Thread safe: each count is exact, a view of several is not one
 * instant.
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

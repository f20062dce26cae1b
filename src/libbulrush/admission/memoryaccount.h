#pragma once

#include "admission/transferwatch.h"
#include "process/clock.h"

#include <atomic>
#include <cstdint>

namespace bulrush {

class MemoryHolder;

/** What memory is held for. */
enum class MemoryUse {
    Request, ///< the body of a request
    Answer,  ///< an answer, whose request has run
};

/**
 * Account of the bytes that a process holds for requests and answers, with a limit that follows
 * from the memory of its host. Whoever is about to hold bytes asks first, and refuses what finds no
 * room. Requests can't take the share of answers, as an answer that finds no room is lost; large
 * holders can't take the share of small ones, so that a crowd of large ones leaves these served.
 *
 * Where room is missing, holders whose transfers are stalled are evicted: for a request only other
 * requests, as they have not run; for an answer requests first, and then other answers.
 *
 * Holders are used on one thread, which also calls updateTransfers(); all figures may be read on
 * any thread.
 */
class MemoryAccount
{
public:
    /** A holder of at most this many bytes is small. */
    static constexpr std::uint64_t smallHolder = std::uint64_t{64} << 10;
    /** Bytes that only small holders can take. */
    static constexpr std::uint64_t smallShare = std::uint64_t{4} << 20;
    /** Bytes, beside the share of small holders, that requests can't take. */
    static constexpr std::uint64_t answerShare = std::uint64_t{12} << 20;
    /** What the process needs beside the account: at least this much, ... */
    static constexpr std::uint64_t minReserve = std::uint64_t{30} << 20;
    /** ... or one part in this many of the memory of the host. */
    static constexpr std::uint64_t reserveDivisor = 4;

    /** \a hostBytes is the memory of the host. */
    explicit MemoryAccount(std::uint64_t hostBytes);

    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /**
     * Takes \a moreBytes for \a holder, beside what it has. \returns whether there was room;
     * otherwise nothing is taken.
     */
    bool take(const MemoryHolder &holder, std::uint64_t moreBytes);

    /** Gives \a bytes back. \pre they were taken */
    void giveBack(std::uint64_t bytes);

    /** \returns the watch of the holders' transfers. */
    TransferWatch &transfers();

    /** Reads the progress of transfers, if memory may run short soon. */
    void updateTransfers(Instant now);

    /** \returns the bytes that are held. */
    std::uint64_t held() const;

    /** \returns the bytes that can be held. */
    std::uint64_t capacity() const;

    /** \returns how often there was no room for \a use. */
    std::uint64_t refusals(MemoryUse use) const;

    /** \returns how many holders were evicted. */
    std::uint64_t evictionCount() const;

private:
    /** Transfers are watched from half of the capacity on. */
    static constexpr std::uint64_t watchDivisor = 2;

    std::uint64_t limitFor(MemoryUse use, std::uint64_t bytes) const;
    bool hasRoom(std::uint64_t limit, std::uint64_t bytes) const;
    void makeRoom(const MemoryHolder &taker, std::uint64_t limit, std::uint64_t bytes);

    std::uint64_t m_capacity;
    std::atomic<std::uint64_t> m_held{0};
    std::atomic<std::uint64_t> m_refusedRequests{0};
    std::atomic<std::uint64_t> m_refusedAnswers{0};
    std::atomic<std::uint64_t> m_evictionCount{0};
    TransferWatch m_transfers;
};

inline TransferWatch &MemoryAccount::transfers()
{
    return m_transfers;
}

inline std::uint64_t MemoryAccount::evictionCount() const
{
    return m_evictionCount;
}

inline std::uint64_t MemoryAccount::held() const
{
    return m_held;
}

inline std::uint64_t MemoryAccount::capacity() const
{
    return m_capacity;
}

inline std::uint64_t MemoryAccount::refusals(MemoryUse use) const
{
    return use == MemoryUse::Request ? m_refusedRequests : m_refusedAnswers;
}

} // namespace bulrush

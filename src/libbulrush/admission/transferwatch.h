#pragma once

#include "process/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bulrush {

class MemoryHolder;

/** Bytes that a peer still sends or receives, while memory is held for them. */
struct Transfer
{
    /** \returns the bytes moved so far; empty while the transfer does not wait for the peer. */
    std::function<std::optional<std::uint64_t>()> movedBytes;
    /** Ends the transfer. Must not destroy a MemoryHolder before it returns. */
    std::function<void()> end;
};

/**
 * Finds the transfers whose peers hardly move them, so that they can be evicted.
 * What counts is progress over a period: a peer that keeps a transfer open with a byte now and then
 * is stalled, too.
 *
 * Not thread safe. Instants never decrease.
 */
class TransferWatch
{
public:
    /** A transfer that moves fewer bytes than this is stalled ... */
    static constexpr std::uint64_t minProgress = std::uint64_t{64} << 10;
    /** ... if it takes at least this time. */
    static constexpr Duration stallPeriod = std::chrono::seconds{5};

    /** Watches \a transfer of \a holder in place of any other one. */
    void add(MemoryHolder *holder, Transfer transfer);

    /** Ends the watch of \a holder, if there is one. \returns its transfer. */
    std::optional<Transfer> remove(const MemoryHolder *holder);

    /** Watches the transfer of \a from, if there is one, as that of \a to. */
    void move(const MemoryHolder *from, MemoryHolder *to);

    /** Reads the progress of all transfers. */
    void update(Instant now);

    /** \returns the holder that has been stalled for longest, of those \a accepted; or null. */
    MemoryHolder *longestStalled(const std::function<bool(const MemoryHolder &)> &accepted) const;

private:
    struct Watched
    {
        MemoryHolder *holder = nullptr;
        Transfer transfer;
        /** Bytes at the start of the current period. */
        std::uint64_t markedBytes = 0;
        /** Start of the current period. Empty until the first update. */
        std::optional<Instant> markedAt;
        bool isStalled = false;
    };

    static void update(Watched &watched, Instant now);

    std::map<const MemoryHolder *, Watched> m_watched;
};

} // namespace bulrush

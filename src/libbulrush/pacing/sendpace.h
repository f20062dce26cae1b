#pragma once

#include "process/clock.h"
#include "process/serverload.h"

#include <cstddef>
#include <cstdint>

namespace bulrush {

/**
 * Determines when a daemon may send its next request to a server that many daemons share. It acts
 * where there are more daemons than the server has places, so that each sends at most one request
 * at a time and gets an answer only every few seconds. Applies to owners of keys; requests without
 * a key have other servers to go to.
 *
 * - After a report without waiting requests the daemon may send at once.
 * - After a report of waiting requests it waits for half of the time in which those that run and
 *   wait complete, at least, and for all of it, at most.
 * - After a report of a long queue it waits for up to a turn: the time in which the server handles
 *   one request of each daemon. By then, each of them may have sent one, so that the report no
 *   longer matters.
 * - After a request that found the server full, it waits until a slot has come free, so that the
 *   request can be repeated; if the queue was long before already, it waits for a turn.
 *
 * The turn is necessary because the reported queue says nothing of the demand of the daemons that
 * wait: once the queue has drained, all of them would send at once. See
 * docs/design/uneven-servers.md.
 *
 * Not thread safe. Instants never decrease.
 */
class SendPace
{
public:
    /** Requests that a server is assumed to queue for each slot. */
    static constexpr std::uint32_t queuePerSlot = 4;
    /** From this many waiting requests for each slot on, half of the queue, a queue is long. */
    static constexpr std::uint32_t longQueuePerSlot = 2;
    /** Longest turn. The demand for a server may have changed by then. */
    static constexpr Duration maxTurn = std::chrono::seconds{6};
    /** Assumed slots of a server that has reported none. */
    static constexpr std::uint32_t defaultSlots = 2;

    /** Data about the server and the daemons that share it. */
    struct Sharing
    {
        /** Time that the server needs for one request now. */
        Duration serviceTime{};
        std::size_t daemonCount = 1;
        /** Differs between daemons, so that those with the same report return one by one. */
        std::uint64_t seed = 0;
    };

    /** \returns whether the queue of a server that reports \a load is long. */
    static bool isLongQueue(const ServerLoad &load);

    /** \returns whether \a daemonCount daemons are more than a server with \a slots has places. */
    static bool isNeeded(std::size_t daemonCount, std::uint32_t slots);

    /** Records the load from the answer to a request that the server took. */
    void recordReport(const ServerLoad &load, const Sharing &sharing, Instant now);

    /** Records that the server refused or reset a request because it is full. */
    void recordFull(const Sharing &sharing, Instant now);

    /** \returns the instant from which the next request may be sent. */
    Instant freeAt() const;

private:
    Duration turn(const Sharing &sharing) const;

    std::uint32_t m_slots = defaultSlots;
    /** The queue was long, or full, by the last report or attempt. */
    bool m_wasLong = false;
    Instant m_freeAt;
};

inline Instant SendPace::freeAt() const
{
    return m_freeAt;
}

} // namespace bulrush

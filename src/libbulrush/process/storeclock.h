#pragma once

#include "process/clock.h"

#include <cstdint>
#include <optional>

namespace bulrush {

/**
 * Estimates when the platform's store gave an answer, from the reading of the store's clock that
 * each answer contains. A call that waits for changes may be answered long after it was sent. If
 * its answer were dated by the send time, the store would appear silent while it is not.
 *
 * Both clocks are steady. An answer is given after its call was sent, so each answer bounds the
 * offset between the clocks. The best bound dates all other answers, and is relaxed over time by
 * the possible difference of the clock rates. Not thread safe. Instants never decrease.
 */
class StoreClock
{
public:
    /** Readings are rounded to hundredths of a second, and two of them are compared. */
    static constexpr Duration resolution = std::chrono::milliseconds{20};

    /**
     * \returns a lower bound of the instant at which an answer was given: not before \a sentAt, and
     * as late as the known bounds allow. Its call was sent at \a sentAt. The answer was given at
     * \a storeTime of the store's clock in \a era, and arrived at \a receivedAt. A store that was
     * restored may have another clock.
     */
    Instant givenAt(Instant sentAt, Instant receivedAt, Duration storeTime, std::uint64_t era);

private:
    /** A reading of the store's clock was taken at or after the local instant reading + offset. */
    struct Bound
    {
        Duration offset{};
        Instant learnedAt;
    };

    std::optional<Bound> m_best;
    /** The era of the answers that gave this bound. */
    std::uint64_t m_era = 0;
};

} // namespace bulrush

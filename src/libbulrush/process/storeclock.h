#pragma once

#include "process/clock.h"

#include <optional>

namespace bulrush {

/**
 * Tells when the platform's store gave an answer, by the reading of its clock that comes with each.
 * A call that waits for changes may be answered long after it was sent; counting from its sending
 * would take the store for silent while it is not.
 *
 * Both clocks are steady. An answer was given after its call was sent, so each answer bounds how
 * far the clocks lie apart; the best bound dates all others, and ages by how much their rates may
 * differ. Not thread safe. Instants never go back.
 */
class StoreClock
{
public:
    /** Readings are rounded to hundredths of a second; two of them are compared. */
    static constexpr Duration grain = std::chrono::milliseconds{20};

    /**
     * \returns an instant at which an answer had not been given yet or was just being given: not
     * before \a sentAt, and as late as the bounds allow. Its call was sent at \a sentAt, the answer
     * came at \a receivedAt and was given at \a storeTime by the store's clock.
     */
    Instant givenAt(Instant sentAt, Instant receivedAt, Duration storeTime);

private:
    /** Our instant of a reading of the store's clock is at least the reading plus the offset. */
    struct Bound
    {
        Duration offset{};
        Instant learnedAt;
    };

    std::optional<Bound> m_best;
};

} // namespace bulrush

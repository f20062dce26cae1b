#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * A reading of a backend server's clock, taken from an answer of the server.
 */
struct ServerClockReading
{
    /** The server's clock when it answered, relative to an arbitrary origin. */
    Duration serverClock{0};
    /** When the answer arrived here, which is later than the reading of the clock. */
    Instant receivedAt;
};

/**
 * \returns \a deadline on the server's clock, never later than the actual deadline. A delayed
 * answer makes it earlier. \pre \a deadline is not before the reading, and the server's clock keeps
 * running while the server is frozen.
 */
constexpr Duration serverDeadline(const ServerClockReading &reading, Instant deadline,
                                  std::int64_t driftPpm)
{
    return reading.serverClock + shortened(deadline - reading.receivedAt, driftPpm);
}

} // namespace bulrush

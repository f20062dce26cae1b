#pragma once

#include "process/clock.h"

namespace bulrush {

/** How long the record of a backend server can outlive the run that wrote it. Thread safe. */
struct RecordLifetime
{
    /** The store removes the record of a server that has missed this many heartbeats. */
    static constexpr int missedHeartbeats = 3;
    /** Delay until the store has noticed the missed heartbeats and removed the record. */
    static constexpr Duration removalDelay = std::chrono::milliseconds{250};
    /** A feed of the store may miss changes for a second before it is disconnected. */
    static constexpr Duration maxFeedLag = std::chrono::milliseconds{1000};

    /** Interval at which servers write their records. Longer than any known one by default. */
    Duration heartbeat = std::chrono::seconds{3};

    bool operator==(const RecordLifetime &) const = default;

    /**
     * \returns the time after the end of a run from which on no confirmation of the store shows its
     * record any more, if the store was available meanwhile.
     */
    Duration maxAfterEnd() const;
};

inline Duration RecordLifetime::maxAfterEnd() const
{
    return missedHeartbeats * heartbeat + removalDelay + maxFeedLag;
}

} // namespace bulrush

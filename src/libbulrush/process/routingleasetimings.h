#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Durations for routing leases; identical on all hosts of a failure domain.
 */
struct RoutingLeaseTimings
{
    /** Length of a routing lease, counted by its holder from before it sent the request. */
    Duration length = std::chrono::milliseconds{1200};
    /** Interval between two lease pulls of a daemon. */
    Duration pullInterval = std::chrono::milliseconds{300};
    /** Maximum time from dispatch to the start of work at a server. */
    Duration deadlineCap = std::chrono::milliseconds{800};
    /** Maximum time that a server works on one request of a service divided by key. */
    Duration runCap = std::chrono::milliseconds{500};
    std::int64_t driftPpm = defaultDriftPpm;
};

} // namespace bulrush

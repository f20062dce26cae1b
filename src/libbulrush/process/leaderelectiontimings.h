#pragma once

#include "process/clock.h"

#include <cstdint>

namespace bulrush {

/**
 * Durations of the leader election. They may differ between daemons without affecting safety; only
 * \a driftPpm has to be a true bound. See docs/design/ownership.md for the reasons.
 */
struct LeaderElectionTimings
{
    /** Length of the lease that each write of the row acquires. */
    Duration leaseLength = std::chrono::seconds(2);
    /** Time between two renewals, from send to send. */
    Duration renewInterval = std::chrono::milliseconds(500);
    /** Time after which a write with an unknown result is sent again, from send to send. */
    Duration retryInterval = std::chrono::milliseconds(500);
    /** Time between two reads of the row by a candidate. */
    Duration readInterval = std::chrono::milliseconds(250);
    /** Time between two reads of the row by a daemon of the domain that is not a candidate. */
    Duration watchInterval = std::chrono::seconds(2);
    /**
     * Delay of a takeover by a candidate of another domain, which gives priority to candidates
     * of the domain itself.
     */
    Duration otherDomainDelay = std::chrono::milliseconds(300);
    /** Age of the last committed write from which the holder requests promises. */
    Duration platformSilenceTimeout = std::chrono::milliseconds(750);
    /** Time between two rounds of promise requests. */
    Duration promiseRequestInterval = std::chrono::milliseconds(500);
    /**
     * Longest promise that is requested. Each round requests the age of the last committed write,
     * limited to between the lease length and this value.
     */
    Duration promiseLength = std::chrono::seconds(30);
    /** Maximum time by which promises extend the lease beyond the last committed write. */
    Duration outageAllowance = std::chrono::hours(2);
    /** Longest routing lease that a leader grants; limited to the drift-adjusted lease length. */
    Duration maxRoutingLease = std::chrono::milliseconds(1500);
    /**
     * How long work may continue after the end of the routing lease under which it was sent; see
     * LeaderRow::workPastLease.
     */
    Duration workPastLease = std::chrono::milliseconds(500);
    /** Upper bound on the difference in rate between any two clocks. */
    std::int64_t driftPpm = defaultDriftPpm;
};

} // namespace bulrush

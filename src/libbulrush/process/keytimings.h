#pragma once

#include "process/clock.h"
#include "process/recordlifetime.h"

namespace bulrush {

/** Validity periods of key grants, and the timings that follow from them. */
struct KeyTimings
{
    /**
     * A server holds keys for this long after a grant; servers accept at most 10 s. A short hold
     * makes keys available sooner after the silent loss of a server. A long hold bridges lost
     * planners, outages of the store and suspect connections. With 3.2 s, three deployments of 8 to
     * 12 hosts served 0.009, 0.009 and 0.011 less of the owed share of requests while hosts and
     * servers were lost (means of five runs).
     */
    Duration hold = std::chrono::milliseconds{4000};
    Duration renewalInterval = std::chrono::milliseconds{1300};
    /**
     * Grants are sent for this long after the last known answer of the store: the length of the
     * outage that keys are to survive, less the hold.
     */
    Duration renewalValidity = std::chrono::milliseconds{3500};
    /** A server's clock may run slower than the daemon's by this many parts per million. */
    std::int64_t slowClockPpm = 20'000;
    /** A feed of the store may miss changes for this long before it is disconnected. */
    Duration maxFeedLag = RecordLifetime::maxFeedLag;
    /**
     * Timeout of the call of a grant. Its connection is then reset, so that no part of the call
     * reaches the server later. Servers answer within milliseconds; a lost packet costs 200 ms.
     */
    Duration grantCall = std::chrono::milliseconds{500};
    /**
     * If the store has shown the record of a server for RecordLifetime::maxAfterEnd() after a
     * connection to it was made, the connection leads to the recorded run.
     */
    RecordLifetime records;
    /**
     * The planner raises the fencing tokens of a server that nobody may renew this long before the
     * server loses its keys. It spans a planning round, a commit and the round that grants.
     */
    Duration fenceRaiseLead = std::chrono::milliseconds{1500};
    /** A grant that is already on the link may arrive this long after the end of its call. */
    Duration maxTransit = std::chrono::milliseconds{250};

    /**
     * \returns how long after a commit the grant calls of a daemon that missed the commit can last.
     */
    Duration staleGrantPeriod() const;

    /** \returns how long after the end of a grant's call a server can hold the keys at most. */
    Duration maxHold() const;
};

inline Duration KeyTimings::staleGrantPeriod() const
{
    return renewalValidity + maxFeedLag + grantCall;
}

inline Duration KeyTimings::maxHold() const
{
    return stretched(hold, slowClockPpm) + maxTransit;
}

} // namespace bulrush

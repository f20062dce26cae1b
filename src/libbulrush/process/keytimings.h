#pragma once

#include "process/clock.h"

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
    /** A feed of the store may miss changes for a second before it is disconnected. */
    Duration maxFeedLag = std::chrono::milliseconds{1000};
    /**
     * Timeout of the call of a grant. Its connection is then reset, so that no part of the call
     * reaches the server later. Servers answer within milliseconds; a lost packet costs 200 ms.
     */
    Duration grantCall = std::chrono::milliseconds{500};
    /**
     * If the store has shown the same record of a server for this long after a connection to it was
     * made, the connection leads to the recorded run. The record of a stopped run expires after
     * three heartbeats, 2.6 s, and that becomes visible within 0.9 s.
     */
    Duration recordExpiry = std::chrono::milliseconds{3500};
    /**
     * The same for a daemon that has just started, where the longer wait would extend the time in
     * which keys that no daemon renewed are unavailable. A run that reaches the store writes its
     * record when it starts, which becomes visible within 0.9 s, and feeds pause for 0.3 s.
     */
    Duration recordUpdateDelay = std::chrono::milliseconds{1200};
    /**
     * A daemon counts as just started for this long, while it discovers and connects to servers.
     */
    Duration startupPeriod = std::chrono::milliseconds{2000};
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

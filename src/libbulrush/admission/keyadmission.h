#pragma once

#include "admission/keyshares.h"
#include "version/keyassignment.h"
#include "version/keyloads.h"
#include "version/keyplanner.h"

#include <span>

namespace bulrush {

/**
 * Finds the keys whose load exceeds what their owners can serve. A key has one owner, so load
 * beyond the capacity of that server cannot be served at all. Each of many daemons sees too little
 * of the load to detect this. Together they fill the server's queue, in which further requests wait
 * until their deadline without an answer. The planner sees the complete load and sends daemons the
 * fraction to admit; they reject the rest at once.
 *
 * Stateless and thread safe.
 */
class KeyAdmission
{
public:
    /**
     * A key is hot if it gets at least this rate, in requests per second, ... This is twice the
     * rate from which on ServiceLoad uses recent rates (ServiceLoad::hotRate). These cover 1.7 s,
     * so a key at 6/s is more than two standard deviations above that rate: its share then follows
     * recent counts rather than those of the last 9 s.
     */
    static constexpr double hotRate = 6.0;
    /**
     * ... and at least this fraction of its owner's capacity. Without a key that gets less, its
     * owner still has more than 0.6 of the capacity for other keys, which is above the load at
     * which the planner begins to move keys away (KeyPlanner::busyFraction). Moving the owner's
     * other keys is then enough.
     */
    static constexpr double hotFraction = 0.4;
    /**
     * Admitted load as a fraction of the owner's capacity. It exceeds 1, as daemons queue the
     * surplus and reject requests according to the deadlines of their callers.
     *
     * The surplus grows for as long as a change of the load stays unnoticed: 1.7 s, which recent
     * rates cover, 0.6 s between reports and 0.4 s between computations. A surplus of 0.3 is then
     * 0.8 s of the owner's work. A request that has to be answered in 0.8 s to 1.2 s, of which
     * 0.16 s to 0.3 s are work, can wait for 0.6 s to 0.9 s. The surplus thus fills the time that
     * requests may wait, and hardly exceeds it: 16 requests with 6 slots of 0.3 s each, whose
     * queue takes 24, and 10 requests with 2 slots of 0.16 s each, whose queue takes 8.
     */
    static constexpr double admittedFraction = 1.3;
    /** At least this share is admitted, so that a drop of the load is noticed. */
    static constexpr double minShare = 0.02;

    /** \returns the shares of the hot keys of \a assignment that must be limited. */
    static KeyShares shares(const KeyAssignment &assignment, std::span<const KeyServer> servers,
                            const KeyTraffic &traffic);
};

} // namespace bulrush

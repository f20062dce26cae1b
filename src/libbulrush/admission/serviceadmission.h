#pragma once

#include "admission/admissiontraffic.h"
#include "admission/keyshares.h"
#include "version/keyassignment.h"
#include "version/keyplanner.h"

#include <cstddef>
#include <span>
#include <vector>

namespace bulrush {

/**
 * Decides which fraction of the requests for the keys of a service is admitted, by owner and
 * priority. It responds to the load of the complete service, which only the planner sees: requests
 * are refused on arrival by the same shares and the same hash at all daemons, so that the order of
 * priorities does not depend on the length of each daemon's own queue.
 *
 * With one priority the shares are those of KeyAdmission. With several, each owner whose demand
 * exceeds its capacity gets its admitted load as follows:
 * - Every priority gets the same minimum, minPartOfMean of the owner's mean share. The rest goes to
 *   the priorities in their order.
 * - Within a priority, hot keys are limited first, down to that minimum, and the other keys next.
 * - No share of hot or of other keys exceeds the one of a more urgent priority.
 *
 * Load is counted in requests, whatever their priority, as the work per request is measured by
 * server only.
 *
 * Stateless and thread safe.
 */
class ServiceAdmission
{
public:
    /**
     * Admitted load as a fraction of the owner's capacity if its requests have several priorities.
     * What exceeds the capacity is refused later by daemons that each see a part of the load,
     * nearly without regard to priority, so that it is kept smaller than with
     * KeyAdmission::admittedFraction. 0.1 is the standard error of the measured work time, of which
     * the last 60 measurements count and whose standard deviation is about 0.8 of the mean if 3 of
     * 100 requests take 7 times as long: an estimate that is too low by that does not leave the
     * owner idle.
     */
    static constexpr double admittedFraction = 1.1;
    /**
     * The least share of a priority as a fraction of its owner's mean share. A quarter is required
     * of what is served; the rest makes up for the requests that owners refuse after all, and for
     * variation of the counts. With 0.25, the less urgent of two routes got 0.22 to 0.25 of the
     * mean at five times the capacity.
     */
    static constexpr double minPartOfMean = 0.3;
    /**
     * The recent rate of an owner's keys applies instead of the steady one if it differs by this
     * many standard deviations of its count.
     */
    static constexpr double significantDeviations = 2.0;
    /**
     * An owner is near its capacity from this fraction on: with random arrivals, requests then wait
     * for 1.8 service times at 2 slots, and for 0.4 at 6.
     */
    static constexpr double nearCapacity = 0.8;
    /** Owners near their capacity that are listed; 64 take about 1 KiB in each message. */
    static constexpr std::size_t maxLoads = 64;
    /** Upper bound of a listed load; that of an owner without any capacity would be infinite. */
    static constexpr double maxLoad = 100.0;

    /** The decision for one service. */
    struct Decision
    {
        KeyShares shares;
        /** Owners of which some requests are not admitted. */
        std::vector<ServerName> limited;
    };

    static Decision decide(const KeyAssignment &assignment, std::span<const KeyServer> servers,
                           const AdmissionTraffic &traffic);
};

} // namespace bulrush

#pragma once

#include "daemonaccess.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

/** Progress of the planned departure of a host. */
enum class DepartureStage {
    NotStarted, ///< its daemon still accepts new work
    Leaving,    ///< its daemon completes or hands over its current work
    Departed,   ///< no daemon answers for the host, and no other daemon lists it as a present peer
    /** Its daemon does not answer, and other daemons still list it as a peer, or none answers. */
    Unknown,
};

/** Progress of a departure, and the work that it waits for. */
struct DepartureReport
{
    HostName host;
    DepartureStage stage = DepartureStage::Unknown;
    /** What has to happen before the departure is complete, one line for each item. */
    std::vector<std::string> pendingItems;
};

/** \returns the progress of the departure of \a host, from the daemons' status. Thread safe. */
DepartureReport departureReport(const FleetStatus &fleet, const HostName &host);

/** \returns the report as text: one line for the stage and one for each pending item. */
std::string toText(const DepartureReport &report);

} // namespace bulrush::ctl

#pragma once

#include "process/serverdatafreshness.h"

namespace bulrush {

/** How current the data is by which requests are routed. */
struct RoutingDataFreshness
{
    ServerDataFreshness servers;
    /** At this instant the store had no configuration later than the one received here. */
    Instant configAsOf;
    /** The store can't confirm configurations and evacuations to this daemon at present. */
    bool isConfigUnconfirmable = true;

    bool operator==(const RoutingDataFreshness &) const = default;
};

} // namespace bulrush

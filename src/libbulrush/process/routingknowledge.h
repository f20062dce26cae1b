#pragma once

#include "process/serverknowledge.h"

namespace bulrush {

/** How current the data is by which requests are routed. */
struct RoutingKnowledge
{
    ServerKnowledge servers;
    /** At this instant the store had no configuration later than the known one. */
    Instant configAsOf;

    bool operator==(const RoutingKnowledge &) const = default;
};

} // namespace bulrush

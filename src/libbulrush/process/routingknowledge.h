#pragma once

#include "process/serverknowledge.h"

namespace bulrush {

/** How far what requests are routed by can be relied on. */
struct RoutingKnowledge
{
    ServerKnowledge servers;
    /** At that instant the store held no configuration later than the one that is known. */
    Instant configAsOf;

    bool operator==(const RoutingKnowledge &) const = default;
};

} // namespace bulrush

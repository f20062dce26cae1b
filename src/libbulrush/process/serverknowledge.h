#pragma once

#include "process/clock.h"

namespace bulrush {

/** How far what is known of the backend servers can be relied on. */
struct ServerKnowledge
{
    /** At that instant the store held no records other than those that are known. */
    Instant asOf;
    /**
     * The store does not answer this daemon, so that nothing newer is to be had: servers are used
     * by what is known, however old that is.
     */
    bool isStoreAway = true;

    bool operator==(const ServerKnowledge &) const = default;
};

} // namespace bulrush

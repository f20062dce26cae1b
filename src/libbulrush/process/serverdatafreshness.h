#pragma once

#include "process/clock.h"

namespace bulrush {

/** How current the stored data about the backend servers is. */
struct ServerDataFreshness
{
    /** At this instant the store contained no records that are missing here. */
    Instant asOf;
    /**
     * The store does not answer this daemon, so that no newer data is available. Servers are then
     * used according to the existing data, whatever its age.
     */
    bool isStoreUnreachable = true;

    bool operator==(const ServerDataFreshness &) const = default;
};

} // namespace bulrush

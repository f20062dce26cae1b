#pragma once

#include "process/clock.h"

namespace bulrush {

/** How current the stored rows of one table are. */
struct DataFreshness
{
    /** At this instant the store contained no rows that are missing here. */
    Instant asOf;
    /**
     * The store does not answer this daemon, directly or through another one, so that no newer rows
     * are available. The existing ones are then used, whatever their age.
     */
    bool isStoreUnreachable = true;

    bool operator==(const DataFreshness &) const = default;
};

} // namespace bulrush

#pragma once

#include "process/datafreshness.h"

namespace bulrush {

/** How current the data is by which requests are routed. */
struct RoutingDataFreshness
{
    /** Of the backend servers' records. */
    DataFreshness servers;
    /** Of the operators' rows: the configuration and the evacuations. */
    DataFreshness operatorRows;

    bool operator==(const RoutingDataFreshness &) const = default;
};

} // namespace bulrush

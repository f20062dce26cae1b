#pragma once

#include "simulation.h"

namespace bulrush::bench {

/** Places each key by its hash modulo the number of servers. */
Outcome runModulo(const Scenario &scenario);

/**
 * Consistent hashing with bounded loads: each key in turn is placed on the first server
 * clockwise that has room for it. All keys are placed again after each shift, by their true rates.
 */
Outcome runBoundedConsistentHashing(const Scenario &scenario);

/**
 * Places all slices and hot keys again after each shift, by their true rates: in descending order
 * of load, each on the server with the least load.
 */
Outcome runFullReplan(const Scenario &scenario);

} // namespace bulrush::bench

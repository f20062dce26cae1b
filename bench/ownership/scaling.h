#pragma once

namespace bulrush::bench {

/** Prints planning time and memory by the number of slices, with the slopes. */
void printPlanningCost();

/** Prints the cost of counting and looking up a request's key. */
void printLookupCost();

} // namespace bulrush::bench

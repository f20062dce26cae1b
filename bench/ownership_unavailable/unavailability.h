#pragma once

#include <cstdint>

/**
 * Prints how long keys are unavailable, in virtual time, over \a trials runs of each fault and
 * move, at the sizes of the two deployments and at \a factor times these sizes.
 */
void printUnavailability(int trials, int factor);

#pragma once

#include "process/clock.h"

namespace bulrush::io {

/**
 * \returns the current time of the host's boot-time clock, which keeps running while the host is
 * suspended. Thread safe.
 */
Instant hostNow();

} // namespace bulrush::io

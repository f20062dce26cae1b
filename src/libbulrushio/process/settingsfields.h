#pragma once

#include "process/daemonsettings.h"
#include "process/yamlfields.h"

namespace bulrush::io {

/** Reads the mapping `limits` of a daemon's settings, if it is present. */
void readCallerLimits(YamlFields &settings, CallerLimits &limits);

/** Reads the field `logLevel` of a daemon's settings, if it is present. */
void readLogLevel(YamlFields &settings, LogLevel &level);

} // namespace bulrush::io

#pragma once

#include "process/configproblem.h"
#include "process/daemonsettings.h"

#include <string_view>
#include <system_error>

namespace bulrush::io {

/** Result of reading settings. \a settings are valid only if \a error is clear. */
struct SettingsResult
{
    std::error_code error;
    DaemonSettings settings;
    /** All problems found, in the order of files and lines. */
    ConfigProblems problems;
};

/**
 * Reads a daemon's settings from the YAML file at \a path and the files that it includes, and
 * checks every field. Does not throw if a file is invalid. Thread safe.
 */
SettingsResult readSettings(std::string_view path);

} // namespace bulrush::io

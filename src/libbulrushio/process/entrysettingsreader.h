#pragma once

#include "process/configproblem.h"
#include "process/entrysettings.h"

#include <string_view>
#include <system_error>

namespace bulrush::io {

/** Result of reading settings. \a settings are valid only if \a error is clear. */
struct EntrySettingsResult
{
    std::error_code error;
    EntrySettings settings;
    /** All problems found, in the order of files and lines. */
    ConfigProblems problems;
};

/**
 * \returns whether the file at \a path has a field `store`, which only settings of entry daemons
 * have. Thread safe.
 */
bool hasStore(std::string_view path);

/**
 * Reads an entry daemon's settings from the YAML file at \a path and checks every field. Does not
 * throw if the file is invalid. Thread safe.
 */
EntrySettingsResult readEntrySettings(std::string_view path);

} // namespace bulrush::io

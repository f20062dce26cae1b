#pragma once

#include "process/crashrecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::io {

/** \returns \a row encoded as JSON text. Thread safe. */
std::string encodeCrashRow(const CrashRow &row);

/** \returns the crash row of a daemon in \a text, or nothing if it is invalid. Thread safe. */
std::optional<CrashRow> decodeCrashRow(std::string_view text);

} // namespace bulrush::io

#pragma once

#include "process/crashrecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::io {

/** \returns \a row as text. Thread safe. */
std::string encodeCrashRow(const CrashRow &row);

/** \returns what a daemon saw by the \a text of its row, or nothing if it is none. Thread safe. */
std::optional<CrashRow> decodeCrashRow(std::string_view text);

} // namespace bulrush::io

#pragma once

#include <string_view>

namespace bulrush {

/** Paths of the messages between daemons. */
constexpr std::string_view loadsPath = "/loads";
constexpr std::string_view grantsPath = "/grants";
/** Followed by the name of a table. */
constexpr std::string_view rowsPath = "/rows/";
/** Followed by the name of a table, the version that is known and how long to wait in ms. */
constexpr std::string_view feedPath = "/feed/";

} // namespace bulrush

#pragma once

#include <string_view>

namespace bulrush {

/** Paths of the messages between daemons. */
constexpr std::string_view loadsPath = "/loads";
constexpr std::string_view grantsPath = "/grants";
/** Followed by the name of a table and the version that is known. */
constexpr std::string_view rowsPath = "/rows/";
/**
 * Followed by the name of a table, the version that is known, how long to wait in ms, and, where
 * only newer word counts, how old in ms what is known is.
 */
constexpr std::string_view feedPath = "/feed/";

/** The status of an answer by a daemon that has rows, but no room on its link to send them. */
constexpr int busyStatus = 429;

} // namespace bulrush

#pragma once

#include <string_view>

namespace bulrush {

/** Paths of the messages between daemons. */
constexpr std::string_view loadsPath = "/loads";
constexpr std::string_view grantsPath = "/grants";
/** A planner's query for assignments that a restored store lacks. */
constexpr std::string_view assignmentsPath = "/assignments";
constexpr std::string_view permitsPath = "/permits";
/** Followed by the name of a table and the version of the rows that the requesting daemon has. */
constexpr std::string_view rowsPath = "/rows/";
/**
 * Followed by the name of a table, the version of the rows that the requesting daemon has, how long
 * the request may be held in ms, and optionally the age of these rows in ms: then a later
 * confirmation by the store is an answer, too.
 */
constexpr std::string_view feedPath = "/feed/";

/** Status of an answer by a daemon that has the rows but no bandwidth left to send them. */
constexpr int busyStatus = 429;

} // namespace bulrush

#pragma once

#include "process/plannerlease.h"
#include "version/keyassignment.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::io {

/**
 * \returns \a assignment encoded as the JSON text of its row. The text lists each server name once
 * and refers to it by its index in the list, because a row is limited to 64 KiB. Thread safe.
 */
std::string encodeAssignment(const KeyAssignment &assignment);

/** \returns the assignment in \a text, or nothing if it is invalid. Thread safe. */
std::optional<KeyAssignment> decodeAssignment(std::string_view text);

/** \returns \a row encoded as JSON text. Thread safe. */
std::string encodePlannerRow(const PlannerRow &row);

/** \returns the planner's row in \a text, or nothing if it is invalid. Thread safe. */
std::optional<PlannerRow> decodePlannerRow(std::string_view text);

} // namespace bulrush::io

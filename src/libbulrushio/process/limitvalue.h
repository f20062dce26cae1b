#pragma once

#include <json/value.h>

#include <optional>

namespace bulrush::io {

/**
 * \returns the limit of a server in \a json, in requests per second, or nothing if it is not a
 * number from 0. Thread safe.
 */
std::optional<double> limitValue(const Json::Value &json);

} // namespace bulrush::io

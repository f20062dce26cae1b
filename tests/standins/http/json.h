#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::standins {

/**
 * \returns the JSON object in \a text, or nothing if \a text is not a JSON object. Thread safe.
 */
std::optional<Json::Value> parsedJsonObject(std::string_view text);

/**
 * \returns \a value as JSON text on one line. Thread safe.
 */
std::string toJsonText(const Json::Value &value);

} // namespace bulrush::standins

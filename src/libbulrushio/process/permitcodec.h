#pragma once

#include "process/permit.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::io {

/** \returns \a query encoded as JSON text. Thread safe. */
std::string encodePermitQuery(const PermitQuery &query);

/** \returns the query in \a text, or nothing if it is invalid. Thread safe. */
std::optional<PermitQuery> decodePermitQuery(std::string_view text);

/** \returns \a answer encoded as JSON text. Thread safe. */
std::string encodePermitAnswer(const PermitAnswer &answer);

/** \returns the answer in \a text, or nothing if it is invalid. Thread safe. */
std::optional<PermitAnswer> decodePermitAnswer(std::string_view text);

} // namespace bulrush::io

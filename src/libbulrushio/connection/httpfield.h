#pragma once

#include "connection/httpclient.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace bulrush::io {

/** \returns whether two field names are equal, ignoring case. Thread safe. */
bool isSameFieldName(std::string_view left, std::string_view right);

/** \returns whether \a text is a token of RFC 9110, as methods and field names are. Thread safe. */
bool isToken(std::string_view text);

/** \returns whether \a text has no characters that could break out of its line. Thread safe. */
bool isFieldText(std::string_view text);

/** \returns whether \a header has no characters that could break out of its line. Thread safe. */
bool isSafeField(const HttpHeader &header);

/** \returns the length of the first line in \a bytes with its LF, if that is there. Thread safe. */
std::size_t lengthOfLine(std::string_view bytes);

/** \returns \a line without its line end, CRLF or LF, if it has one. Thread safe. */
std::string_view withoutLineEnd(std::string_view line);

/**
 * \returns the field in \a line, which has no line end, or nothing if it is no field line of RFC
 * 9112. The continuation of another line is none either. Thread safe.
 */
std::optional<HttpHeader> fieldIn(std::string_view line);

/** \returns \a text without leading and trailing spaces and tabs. Thread safe. */
std::string_view trimmed(std::string_view text);

/** \returns the first field called \a name, or null. Thread safe. */
const HttpHeader *findField(std::span<const HttpHeader> headers, std::string_view name);

/** \returns the values of all fields called \a name, in order. Thread safe. */
std::vector<std::string_view> fieldValues(std::span<const HttpHeader> headers,
                                          std::string_view name);

/** \returns whether the comma-separated \a list contains \a item, ignoring case. Thread safe. */
bool listContains(std::string_view list, std::string_view item);

} // namespace bulrush::io

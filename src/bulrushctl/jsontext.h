#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

namespace bulrush::ctl {

/** \returns \a value as indented text with a newline at the end. */
std::string indentedText(const Json::Value &value);

/** \returns the string in field \a name of \a object; empty if there is none. Thread safe. */
std::string stringIn(const Json::Value &object, const char *name);

/** \returns the unsigned integer in field \a name of \a object; 0 if there is none. Thread safe. */
std::uint64_t numberIn(const Json::Value &object, const char *name);

/** \returns field \a name of \a object if it is an array, else an empty one. Thread safe. */
const Json::Value &arrayIn(const Json::Value &object, const char *name);

} // namespace bulrush::ctl

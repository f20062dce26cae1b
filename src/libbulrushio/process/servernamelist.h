#pragma once

#include "process/jsonreader.h"
#include "version/identifier.h"

#include <json/value.h>

#include <span>
#include <vector>

namespace bulrush::io {

/** \returns \a servers as a JSON array. Thread safe. */
Json::Value jsonOf(std::span<const ServerName> servers);

/**
 * \returns the server names in the array \a name. Marks \a reader as failed if an element is not a
 * string. Not thread safe, because JsonReader is not.
 */
std::vector<ServerName> readServerNames(JsonReader &reader, const char *name);

} // namespace bulrush::io

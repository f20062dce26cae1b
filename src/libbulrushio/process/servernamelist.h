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
 * \returns the servers in the array \a name; fails the reader if it holds anything else. Not thread
 * safe, as the reader is not.
 */
std::vector<ServerName> readServerNames(JsonReader &reader, const char *name);

} // namespace bulrush::io

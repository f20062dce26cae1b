#pragma once

#include "version/assignment.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace bulrush::io {

/** \returns \a hash as 16 hexadecimal digits, the format of the backend servers' interface. */
std::string hashToHex(KeyHash hash);

/** \returns the hash of 16 hexadecimal digits, or nothing if \a digits are anything else. */
std::optional<KeyHash> hashFromHex(std::string_view digits);

/** \returns \a fence as an object with the members "epoch" and "sequence". */
Json::Value encodeFence(const Fence &fence);

/** \returns the fencing token in \a json, or nothing if it is invalid. */
std::optional<Fence> decodeFence(const Json::Value &json);

/**
 * \returns \a owner as an object with the members "service", "begin", "end", "server" and "fence".
 */
Json::Value encodeSliceOwner(const SliceOwner &owner);

/** \returns the owner of a slice in \a json, or nothing if it is invalid. */
std::optional<SliceOwner> decodeSliceOwner(const Json::Value &json);

/**
 * \returns \a assignment as JSON, as sent between daemons and stored in the object store.
 */
Json::Value encodeAssignment(const Assignment &assignment);

/**
 * \returns the assignment in \a json, or nothing if a field is missing or of another type, or if
 * the slices of a service are unsorted or overlap.
 */
std::optional<Assignment> decodeAssignment(const Json::Value &json);

} // namespace bulrush::io

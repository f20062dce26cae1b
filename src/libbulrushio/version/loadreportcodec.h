#pragma once

#include "version/identifier.h"
#include "version/slicemeter.h"

#include <json/value.h>

#include <cstddef>
#include <map>
#include <optional>

namespace bulrush::io {

/** Maximum number of slices in a load report between daemons. */
constexpr std::size_t maxReportedSlices = 256;

/** Maximum number of hot keys in a load report between daemons. */
constexpr std::size_t maxReportedKeys = 64;

/**
 * \returns \a report as JSON. Loads are rounded to thousandths of a request per second. Thread
 * safe.
 */
Json::Value encodeLoadReport(const LoadReport &report);

/**
 * \returns the report in \a json, or nothing if a field is missing or of another type, or if a list
 * is unsorted, has overlapping entries or exceeds its maximum length. Thread safe.
 */
std::optional<LoadReport> decodeLoadReport(const Json::Value &json);

/** \returns \a reports as a JSON object with one member per service. Thread safe. */
Json::Value encodeLoadReports(const std::map<ServiceName, LoadReport> &reports);

/** \returns the reports in \a json, or nothing if one of them is invalid. Thread safe. */
std::optional<std::map<ServiceName, LoadReport>> decodeLoadReports(const Json::Value &json);

} // namespace bulrush::io

#pragma once

#include "process/evacuationreport.h"

#include <json/value.h>

#include <optional>
#include <string>

namespace bulrush::io {

/** \returns \a report as JSON text. Thread safe. */
std::string encodeEvacuationReport(const EvacuationReport &report);

/** \returns the report in \a json, or nothing if a field is missing or invalid. Thread safe. */
std::optional<EvacuationReport> decodeEvacuationReport(const Json::Value &json);

} // namespace bulrush::io

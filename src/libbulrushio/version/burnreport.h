#pragma once

#include "process/burnrate.h"

#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::io {

/**
 * Reason why the burn counts of a daemon are invalid.
 */
enum class BurnReportError {
    NotJson = 1,    /**< The text is not a JSON object. */
    UnknownFormat,  /**< The format version is not supported. */
    WrongField,     /**< A field is missing, of the wrong type or out of range. */
    WrongWindows,   /**< The windows differ from those of this program. */
    WrongHistogram, /**< The latency bins differ from those of this program. */
};

const std::error_category &burnReportCategory();
std::error_code make_error_code(BurnReportError error);

/**
 * \returns the counts of a daemon as JSON, in a format that can be merged with that of other
 * daemons. Thread safe.
 */
std::string encodeBurnSnapshot(const BurnSnapshot &snapshot);

/**
 * Decodes the output of encodeBurnSnapshot() into \a snapshot, whose content is unspecified after
 * an error. Thread safe.
 */
std::error_code decodeBurnSnapshot(std::string_view text, BurnSnapshot &snapshot);

/**
 * \returns the report as a table for a terminal, followed by notes on missing and partial data.
 * Thread safe, like the functions below.
 */
std::string burnTable(const BurnReport &report);

/**
 * \returns the report as a JSON object.
 */
std::string burnJson(const BurnReport &report);

/**
 * \returns the report as comma-separated values (RFC 4180): a header line and one line per row.
 */
std::string burnCsv(const BurnReport &report);

/**
 * \returns the report as a self-contained HTML page with a chart of the remaining budgets.
 * \param generatedAt time of the report, as text for display
 */
std::string burnHtml(const BurnReport &report, std::string_view generatedAt);

} // namespace bulrush::io

template<>
struct std::is_error_code_enum<bulrush::io::BurnReportError> : std::true_type
{ };

#pragma once

#include <system_error>

namespace bulrush::ctl {

/** Exit codes of the bulrushctl process; documented in its help. */
enum class ExitCode {
    Done = 0,
    Refused = 1,     ///< nothing was changed, and the message gives the reason
    Usage = 2,       ///< the command line is invalid
    Unreachable = 3, ///< the required platform or daemons did not answer, or not all in time
    Unknown = 4,     ///< a write was sent, and it is unknown whether it took effect
    Conflict = 5,    ///< a change by someone else was written first; nothing was merged
};

/** Reasons why a call to the platform or to a daemon failed. */
enum class CtlError {
    Unreachable = 1, ///< no answer, and nothing was sent that could take effect
    Unknown,         ///< no answer, and the request that was sent may have taken effect
    Refused,         ///< the answer rejects the call
    BadAnswer,       ///< the answer does not have the expected format
    NotFound,        ///< the requested item does not exist
};

/** \returns the category of CtlError. Thread safe. */
const std::error_category &ctlErrorCategory();

std::error_code make_error_code(CtlError error);

/** \returns the exit code for a command that failed with \a error. Thread safe. */
ExitCode exitCodeFor(const std::error_code &error);

} // namespace bulrush::ctl

template<>
struct std::is_error_code_enum<bulrush::ctl::CtlError> : std::true_type
{ };

#pragma once

#include <system_error>

namespace bulrush::io {

/** Reason why a call to the platform failed. */
enum class PlatformError {
    NotReached = 1, ///< no byte of the call was sent, so it had no effect
    ConnectionLost, ///< the connection broke after the call was started
    TimedOut,       ///< no complete answer within the timeout
    Unavailable,    ///< the platform answered that it could not serve the call
    Rejected,       ///< the platform rejected the call as malformed, so it had no effect
    NotFound,       ///< there is no object of that name
    NotChangeable,  ///< a different object of that name exists
    BadAnswer,      ///< the answer violates the interface
    AlreadyApplied, ///< an earlier attempt of the same transaction took effect
    RowsUnchanged,  ///< the rows are as before the transaction, which may still take effect
};

/** \returns the category of PlatformError. Thread safe. */
const std::error_category &platformCategory() noexcept;

/** \returns \a error as an error code of platformCategory(). Thread safe. */
std::error_code make_error_code(PlatformError error) noexcept;

} // namespace bulrush::io

template<>
struct std::is_error_code_enum<bulrush::io::PlatformError> : std::true_type
{ };

#pragma once

#include <system_error>

namespace bulrush::io {

/** Why an HTTP exchange failed to yield a complete answer. */
enum class TransportError {
    InvalidRequest = 1, ///< not sent: invalid URL, method or header
    ConnectionFailed,   ///< the connection could not be established
    ConnectionLost,     ///< the connection was closed or reset before the answer began
    TimedOut,           ///< the exchange exceeded its time-out
    AnswerTruncated,    ///< the answer began but is incomplete
    AnswerUnframed,   ///< only the close marks the end of the answer, so truncation is undetectable
    AnswerMalformed,  ///< the received bytes are not an HTTP/1.1 answer
    AnswerTooLarge,   ///< the answer exceeds the buffer limit
    AnswerMismatched, ///< the answer carries no request id, or that of another request
    ServerRefused,    ///< the server refused the request before it ran
    CallerDisconnected, ///< the caller closed its connection before the end
    RequestTruncated,   ///< the caller's request is incomplete
    ListenFailed,       ///< the listening address is not usable
    CallWithdrawn,      ///< not sent: its sender no longer wanted it when it was connected
    InternalFailure,    ///< the underlying library failed for another reason
};

/** \returns the category of TransportError. Thread safe. */
const std::error_category &transportCategory() noexcept;

/** \returns \a error as an error code of transportCategory(). Thread safe. */
// NOLINTNEXTLINE(readability-identifier-naming): looked up by std::error_code
std::error_code make_error_code(TransportError error) noexcept;

} // namespace bulrush::io

template<>
struct std::is_error_code_enum<bulrush::io::TransportError> : std::true_type
{ };

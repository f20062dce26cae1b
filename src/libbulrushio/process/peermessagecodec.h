#pragma once

#include "process/peermessage.h"

#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::io {

/**
 * Reason why a message of another daemon is invalid.
 */
enum class PeerMessageError {
    NotJson = 1, /**< The message is not JSON. */
    UnknownKind, /**< The kind of the message is not supported. */
    WrongField,  /**< A field is missing, of the wrong type or out of range. */
};

const std::error_category &peerMessageCategory();
std::error_code make_error_code(PeerMessageError error);

/**
 * \returns \a message encoded as one line of JSON without spaces. Thread safe.
 */
std::string encodePeerMessage(const PeerMessage &message);

/**
 * Decodes the output of encodePeerMessage() into \a message, whose content is unspecified after an
 * error. Thread safe.
 */
std::error_code decodePeerMessage(std::string_view text, PeerMessage &message);

} // namespace bulrush::io

template<>
struct std::is_error_code_enum<bulrush::io::PeerMessageError> : std::true_type
{ };

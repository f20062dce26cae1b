#pragma once

#include <json/value.h>

#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::io {

/** Errors of calls between daemons. */
enum class RpcError {
    Unreachable = 1, ///< no complete answer was received
    Malformed,       ///< the answer is not JSON-RPC 2.0
    Refused,         ///< the other daemon answered with an error
};

const std::error_category &rpcCategory();
std::error_code make_error_code(RpcError error);

/** The answer to a call. \a result is valid only if \a error is clear. */
struct RpcReply
{
    std::error_code error;
    std::string message;
    Json::Value result;
};

/**
 * \returns the text of a JSON-RPC 2.0 call, encoded by libjsonrpccpp. Thread safe.
 */
std::string encodeRpcCall(const std::string &method, const Json::Value &parameters);

/**
 * \returns the answer in \a text, decoded by libjsonrpccpp. Thread safe.
 */
RpcReply decodeRpcReply(std::string_view text);

} // namespace bulrush::io

template<>
struct std::is_error_code_enum<bulrush::io::RpcError> : std::true_type
{ };

#pragma once

#include <json/value.h>

#include <string>

namespace bulrush {
namespace io {

/**
 * Encodes JSON-RPC 2.0 calls and decodes their answers with libjsonrpccpp's client.
 *
 * That client blocks until the answer arrives, which the daemon's event loop must not do. Therefore
 * encoding and decoding are separate steps here. The library's header requires C++14, so this
 * header and its source are limited to C++14; the rest of the project is C++20.
 *
 * Thread safe.
 */
class RpcClientCodec
{
public:
    /** The kind of an answer. */
    enum class Kind { Result, Error, Malformed };

    /** A decoded answer. */
    struct Reply
    {
        Kind kind;
        std::string message;
        Json::Value result;
    };

    /** \returns the text of a call with named parameters. */
    static std::string encodeCall(const std::string &method, const Json::Value &parameters);

    /** \returns the answer in \a text. */
    static Reply decodeReply(const std::string &text);
};

} // namespace io
} // namespace bulrush

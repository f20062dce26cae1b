#pragma once

#include "connection/httpclient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace bulrush::io {

/** Maximum number of bytes that a streaming transfer buffers for each direction. */
constexpr std::size_t transferBufferLimit = std::size_t{256} * 1024;

/** A body that is supplied in parts while the request is sent. */
struct StreamedBody
{
    /** The length of the body; without it, the body is sent in chunks. */
    std::optional<std::uint64_t> length;
};

/** The body of a request: none, a complete body, or one that is supplied in parts. */
using RequestBody = std::variant<std::monostate, std::string, StreamedBody>;

/** The head of a final answer; interim (1xx) answers are skipped. */
struct ResponseHead
{
    int status = 0;
    std::vector<HttpHeader> headers;
};

/** The next bytes of an answer's body. */
struct BodyChunk
{
    std::string bytes;
};

/** The transfer is ready for more bytes of the request's body. */
struct BodyRoom
{ };

/** The result of a transfer; the answer was complete if, and only if, \a error is clear. */
struct TransferResult
{
    std::error_code error;
    TransferStage stage = TransferStage::NotConnected;
    /** The number of bytes of the request's body that were passed to the connection. */
    std::uint64_t bodyBytesSent = 0;
};

/**
 * An event of a streaming transfer: one head, the chunks in order, any number of room events in
 * between, and finally one result.
 */
using TransferEvent = std::variant<ResponseHead, BodyChunk, BodyRoom, TransferResult>;

/** Handles the events of a transfer. It may destroy the transfer. */
using TransferHandler = std::function<void(TransferEvent)>;

} // namespace bulrush::io

#include "connection/transporterror.h"

#include <string>

namespace bulrush::io {

namespace {

const char *description(TransportError error)
{
    switch (error) {
    case TransportError::InvalidRequest:
        return "invalid URL, method or header";
    case TransportError::ConnectionFailed:
        return "the connection could not be established";
    case TransportError::ConnectionLost:
        return "the connection was closed before the answer began";
    case TransportError::TimedOut:
        return "the exchange timed out";
    case TransportError::AnswerTruncated:
        return "the answer is truncated";
    case TransportError::AnswerUnframed:
        return "the answer has neither a length nor chunked encoding";
    case TransportError::AnswerMalformed:
        return "the answer is not valid HTTP/1.1";
    case TransportError::AnswerTooLarge:
        return "the answer exceeds the buffer limit";
    case TransportError::AnswerMismatched:
        return "the answer belongs to another request";
    case TransportError::ServerRefused:
        return "the server refused the request before it ran";
    case TransportError::CallerDisconnected:
        return "the caller closed its connection";
    case TransportError::RequestTruncated:
        return "the caller's request is incomplete";
    case TransportError::ListenFailed:
        return "the listening address is not usable";
    case TransportError::CallWithdrawn:
        return "the call was withdrawn before it was sent";
    case TransportError::InternalFailure:
        return "the transport library failed";
    }
    return "unknown transport error";
}

class TransportCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "transport";
    }

    std::string message(int value) const override
    {
        return description(static_cast<TransportError>(value));
    }
};

} // namespace

const std::error_category &transportCategory() noexcept
{
    static const TransportCategory category;
    return category;
}

std::error_code make_error_code(TransportError error) noexcept
{
    return {static_cast<int>(error), transportCategory()};
}

} // namespace bulrush::io

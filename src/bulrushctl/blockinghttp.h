#pragma once

#include "process/clock.h"

#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::ctl {

/** An HTTP request. */
struct BlockingRequest
{
    std::string method = "GET";
    std::string url;
    std::string body;
    /** Timeout of the complete call. */
    Duration timeout = std::chrono::seconds{2};
};

/** The result of a call. \a error is clear if, and only if, a complete answer was received. */
struct BlockingAnswer
{
    /** CtlError::Unreachable if nothing was sent, CtlError::Unknown if something may have been. */
    std::error_code error;
    /** Description of the cause, if there is no answer. */
    std::string cause;
    int status = 0;
    std::string body;
};

/**
 * Sends \a request over a new connection, so that it is never sent twice, and blocks until the call
 * completes or times out. Thread safe.
 */
BlockingAnswer fetch(const BlockingRequest &request);

} // namespace bulrush::ctl

#pragma once

#include "connection/httpclient.h"
#include "process/endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::io {

/** A request to a server, with a body that is held whole. */
struct ServerCall
{
    Endpoint server;
    /**
     * Tells runs of the server apart where they may follow each other at one address: a connection
     * that was made to one carries no call to another. Empty where there is one only.
     */
    std::string run = {};
    std::string method = "GET";
    /** Path and query. */
    std::string target = "/";
    /** All fields but those of framing and connection. */
    std::vector<HttpHeader> headers;
    /** Shared with other attempts of the same request; null or empty if there is none. */
    std::shared_ptr<const std::string> body;
    /** For a connection to come about. */
    Duration connectTimeout = std::chrono::milliseconds{400};
    /** From the start to the end of the answer. */
    Duration timeout = std::chrono::seconds{1};
    /** From the first byte of the answer to its end, where that allows more time. */
    Duration answerWithin = Duration::zero();
    /** The call is not sent after this, when it has waited for its connection until then. */
    Instant sendBy = Instant::max();
    /** Bytes that the server's host has not acknowledged by then end the connection. */
    Duration acknowledgeWithin = std::chrono::milliseconds{2500};
    /**
     * The field of the request that its answer repeats. Answers with another value belong to
     * other requests and are dropped. Empty if answers repeat nothing.
     */
    std::string echoedField;
    /** Probes the connection while it is silent, so that one that has died is noticed. */
    bool isProbed = false;
};

/** Takes the end of a call. The answer is whole if, and only if, the error is clear. */
using ServerCallHandler = std::function<void(HttpResult)>;

} // namespace bulrush::io

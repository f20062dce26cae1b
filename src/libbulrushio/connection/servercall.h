#pragma once

#include "connection/httpclient.h"
#include "process/endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::io {

/** A request to a server, with its complete body in memory. */
struct ServerCall
{
    Endpoint server;
    /**
     * Identifies the run (process lifetime) of the server, where several runs may use the same
     * address one after the other: a connection to one run never carries a call to another. Empty
     * if runs need not be distinguished.
     */
    std::string run = {};
    std::string method = "GET";
    /** Path and query. */
    std::string target = "/";
    /** All fields except those for framing and connection management. */
    std::vector<HttpHeader> headers;
    /**
     * Shared with other attempts of the same request; null or empty for a request without a body.
     */
    std::shared_ptr<const std::string> body;
    /** Time-out for establishing a connection. */
    Duration connectTimeout = std::chrono::milliseconds{400};
    /** Time-out from the start of the call to the end of the answer. */
    Duration timeout = std::chrono::seconds{1};
    /**
     * Time-out from the first byte of the answer to its end. It extends the deadline that timeout
     * sets, and never shortens it.
     */
    Duration answerTimeout = Duration::zero();
    /** The call fails unsent if its connection is established only after this time. */
    Instant sendDeadline = Instant::max();
    /**
     * Asked right before the first byte may be sent, on a new connection or a kept one, and at most
     * once: if it returns false, the call fails unsent with TransportError::CallWithdrawn, and the
     * connection is kept for later calls.
     */
    std::function<bool()> confirmSend = {};
    /** Kept connections that must not carry the call. */
    std::vector<ConnectionNumber> avoidedConnections = {};
    /** The connection fails if the server's host leaves sent bytes unacknowledged for this long. */
    Duration acknowledgeTimeout = std::chrono::milliseconds{2500};
    /**
     * The field of the request that its answer echoes. Answers with another value belong to other
     * requests and are dropped. Empty if answers echo no field.
     */
    std::string echoedField;
    /** Enables TCP keep-alive probes, which detect a dead connection while it is idle. */
    bool usesTcpKeepAlive = false;
};

/** Receives the result of a call. The answer is complete if, and only if, the error is clear. */
using ServerCallHandler = std::function<void(HttpResult)>;

} // namespace bulrush::io

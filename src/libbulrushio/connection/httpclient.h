#pragma once

#include "process/clock.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace bulrush::io {

class CurlMulti;

/** One header field, as it is sent or was received. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** A request whose body is small enough to be held whole. */
struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    /** Time from the call to the end of the answer. */
    Duration timeout = std::chrono::seconds{1};
    /**
     * Opens a connection for this request alone. Set for work that must not run twice: a client
     * that finds a kept connection closed would otherwise send the request again.
     */
    bool isFreshConnection = false;
};

/** An answer, whole. */
struct HttpResponse
{
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

/** How far a transfer came, which decides whether its work can have run. */
enum class TransferStage {
    NotConnected, ///< no byte of the request left: it did not run
    Sending,      ///< some of the request was sent: it may have run
    Sent,         ///< all of the request was sent: it may have run
    Answered,     ///< the answer is whole
};

/** When a call took its steps; none is set that it did not come to. */
struct CallTimes
{
    /** It had a connection. */
    std::optional<Instant> connectedAt;
    /** All of the request was handed to the host. */
    std::optional<Instant> writtenAt;
};

/** The end of a transfer. \a response is whole if, and only if, \a error is clear. */
struct HttpResult
{
    std::error_code error;
    TransferStage stage = TransferStage::NotConnected;
    HttpResponse response;
    /** Told by ServerClient alone. */
    CallTimes times = {};
};

/**
 * HTTP/1.1 client over libcurl's multi interface, driven by an Asio loop.
 *
 * All methods are called on the loop's thread, where the handlers run too. A handler must not
 * destroy the client.
 */
class HttpClient
{
public:
    using Handler = std::function<void(HttpResult)>;
    using TransferId = std::uint64_t;

    explicit HttpClient(asio::io_context &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Allows at most \a count connections to one host and port at a time; further transfers wait,
     * within their timeouts. 0, as at first, means no limit.
     */
    void setConnectionsPerHost(long count);

    /**
     * Starts \a request and calls \a handler once with its end, never from within this call.
     */
    TransferId fetch(HttpRequest request, Handler handler);

    /**
     * Ends a transfer: its connection is closed and its handler is not called any more.
     */
    void cancel(TransferId id);

    /** For StreamTransfer: what drives the connections, shared with them. */
    const std::shared_ptr<CurlMulti> &multi() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrush::io

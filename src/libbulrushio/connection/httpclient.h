#pragma once

#include "admission/memoryholder.h"
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

/** A request whose complete body is kept in memory. */
struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    /** Time-out from the call to the end of the answer. */
    Duration timeout = std::chrono::seconds{1};
    /**
     * Opens a connection for this request alone. Required for work that must not run twice:
     * otherwise the client resends the request if a reused connection turns out to be closed.
     */
    bool isFreshConnection = false;
};

/** A complete answer. */
struct HttpResponse
{
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
    /** What the body holds in the process's account of memory, if it is counted there. */
    std::shared_ptr<MemoryHolder> memory = nullptr;
};

/** The stage that a transfer reached; it determines whether the server may have run the request. */
enum class TransferStage {
    NotConnected, ///< no byte of the request was sent: it did not run
    Sending,      ///< part of the request was sent: it may have run
    Sent,         ///< the complete request was sent: it may have run
    Answered,     ///< the complete answer was received
};

/** The times of the steps of a call; steps that it did not reach are unset. */
struct CallTimes
{
    /** The connection was available. */
    std::optional<Instant> connectedAt;
    /** The complete request was passed to the host's network stack. */
    std::optional<Instant> writtenAt;
};

/** Identifies a connection of a ServerClient; 0 for none. */
using ConnectionNumber = std::uint64_t;

/** The result of a transfer. \a response is complete if, and only if, \a error is clear. */
struct HttpResult
{
    std::error_code error;
    TransferStage stage = TransferStage::NotConnected;
    HttpResponse response;
    /** Set by ServerClient only. */
    CallTimes times = {};
    /** The connection that carried the call. Set by ServerClient only. */
    ConnectionNumber connection = 0;
};

/**
 * HTTP/1.1 client over libcurl's multi interface, driven by an Asio event loop.
 *
 * All methods must be called on the event loop's thread; the handlers run on it as well. A handler
 * must not destroy the client.
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
     * Limits the concurrent connections to one host and port to \a count; further transfers wait,
     * within their time-outs. 0, the default, means no limit.
     */
    void setConnectionsPerHost(long count);

    /**
     * Starts \a request and calls \a handler once with its result, never from within this method.
     */
    TransferId fetch(HttpRequest request, Handler handler);

    /**
     * Cancels a transfer: closes its connection and does not call its handler.
     */
    void cancel(TransferId id);

    /** \returns the driver of the connections, for StreamTransfer, which shares its ownership. */
    const std::shared_ptr<CurlMulti> &multi() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrush::io

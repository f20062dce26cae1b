#pragma once

#include "admission/memoryaccount.h"
#include "connection/incomingrequest.h"
#include "connection/responsewriter.h"
#include "process/clock.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace bulrush::io {

/** Default of the length up to which request bodies are buffered completely. */
constexpr std::uint64_t smallBodyLimit = std::uint64_t{64} * 1024;

/** The address of a CallerServer and its limits. */
struct CallerServerSettings
{
    /** A numeric IP address. */
    std::string address = "127.0.0.1";
    /** 0 selects a free port. */
    std::uint16_t port = 0;
    /** Allows several servers to listen on the port, one per traffic thread. */
    bool isPortShared = false;
    /**
     * Maximum number of open connections; further callers wait in the host's accept queue. Once
     * most places are taken, a new connection takes that of the one that has waited longest without
     * an open request.
     */
    std::size_t connectionLimit = 1024;
    /** Time-out for receiving a request, from the previous answer to the end of a buffered body. */
    Duration requestReadTimeout = std::chrono::seconds{10};
    /** Maximum time without progress while a large body is read. */
    Duration bodyIdleTimeout = std::chrono::seconds{30};
    /** Time-out for writing one part of an answer. */
    Duration writeTimeout = std::chrono::seconds{30};
    /** Time-out for handling a request; the request handler must finish earlier by itself. */
    Duration handlingTimeout = std::chrono::minutes{10};
    /**
     * Bodies up to this length are buffered completely. The request handler reads longer ones part
     * by part if their length is known in advance; otherwise they are refused.
     */
    std::uint64_t bufferedBodyLimit = smallBodyLimit;
    /** Maximum length of a body. */
    std::uint64_t bodyLimit = std::uint64_t{128} * 1024 * 1024;
    /** Account in which the bodies of requests are counted, if any. */
    std::shared_ptr<MemoryAccount> memory = nullptr;
    std::size_t urlLimit = std::size_t{8} * 1024;
    std::size_t headerCountLimit = 100;
    std::size_t headerNameLimit = 256;
    std::size_t headerValueLimit = std::size_t{8} * 1024;
};

/** Handles a request. If the writer is destroyed unfinished, the connection is closed. */
using RequestHandler =
    std::function<void(std::shared_ptr<IncomingRequest>, std::shared_ptr<ResponseWriter>)>;

/**
 * HTTP/1.1 server on one event loop, built on RESTinio.
 *
 * Malformed, oversized and slow requests are refused by the server and never reach the handler. All
 * methods must be called on the event loop's thread, or before the loop runs.
 */
class CallerServer
{
public:
    CallerServer(asio::io_context &loop, CallerServerSettings settings, RequestHandler handler);

    /** Stops listening and closes all connections. \pre not called from within the handler */
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Starts to listen. \returns TransportError::ListenFailed if the address is not usable. */
    std::error_code listen();

    /** \returns the port that the server listens on. \pre listen() succeeded */
    std::uint16_t port() const;

    /** From now on, each answer closes its connection. Requests are still accepted. */
    void drain();

    /** Accepts no further connections; those in the host's accept queue are reset. */
    void stopListening();

    /** Closes the connections on which no request is open or being received. */
    void closeIdle();

    /** \returns the number of open connections. */
    std::size_t connectionCount() const;

    /** \returns how many connections were closed to make place for others. */
    std::uint64_t evictionCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bulrush::io

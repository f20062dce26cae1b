#pragma once

#include "http/connectionlimiter.h"

#include <restinio/http_server.hpp>
#include <restinio/traits.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::standins {

/** A request from RESTinio with its complete body. */
using RequestHandle = restinio::request_handle_t;

struct HeaderField
{
    std::string name;
    std::string value;
};

struct Answer
{
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;
};

/** Start parameters of a listener. */
struct ListenerSettings
{
    std::string ip = "127.0.0.1";
    /** 0 lets the system choose. */
    std::uint16_t port = 0;
    std::size_t connectionLimit = std::numeric_limits<std::size_t>::max();
    std::uint64_t bodyLimit = std::uint64_t{80} * 1024 * 1024;
};

/**
 * \returns settings with the address from \a text, which is `IP:PORT`, or with the default address
 * and port 0 if \a text is empty. Throws std::invalid_argument if \a text is malformed.
 */
ListenerSettings parsedEndpoint(std::string_view text);

/**
 * Serves one listening address with RESTinio on the event loop's thread, and provides faulty
 * answers that HTTP libraries don't support. Not thread safe: to be called on the event loop's
 * thread only.
 */
class Listener
{
public:
    using RequestHandler = std::function<void(RequestHandle)>;

    /**
     * Opens the address immediately. Throws what RESTinio throws if it can't be opened.
     * \a connectionClosedHandler is called for each accepted connection, when it has closed.
     */
    Listener(asio::io_context &loop, const ListenerSettings &settings, RequestHandler handler,
             ConnectionLimiter::ClosedHandler connectionClosedHandler);

    /** \returns the address as `IP:PORT`, with the port that the listener actually uses. */
    const std::string &address() const;

    const ConnectionLimiter &connectionLimiter() const;

    /** Sends \a answer completely. */
    static void send(const RequestHandle &request, const Answer &answer);

    /** Closes the connection of \a request without an answer. */
    void closeWithoutAnswer(const RequestHandle &request);

    /** Closes the connection of \a request with a TCP reset. */
    void resetConnection(const RequestHandle &request);

    /** Announces the full length of the body, but sends only half of it; closes the connection. */
    void sendTruncated(const RequestHandle &request, const Answer &answer);

    /** Sends \a answer without a content length; the end of the connection ends the body. */
    void sendWithoutLength(const RequestHandle &request, const Answer &answer);

    /** Sends \a answer, and the same bytes again after \a delay; keeps the connection open. */
    void sendDuplicate(const RequestHandle &request, const Answer &answer,
                       std::chrono::milliseconds delay);

private:
    struct Traits : restinio::default_single_thread_traits_t
    {
        using ip_blocker_t = ConnectionLimiter;
        using connection_state_listener_t = ConnectionLimiter;
    };
    using Server = restinio::http_server_t<Traits>;

    restinio::server_settings_t<Traits> serverSettings(const ListenerSettings &settings,
                                                       RequestHandler handler);
    void detachSocket(const RequestHandle &request,
                      std::function<void(asio::ip::tcp::socket &)> action);

    asio::io_context &m_loop;
    std::shared_ptr<ConnectionLimiter> m_connectionLimiter;
    std::string m_address;
    std::unique_ptr<Server> m_server;
};

inline const std::string &Listener::address() const
{
    return m_address;
}

inline const ConnectionLimiter &Listener::connectionLimiter() const
{
    return *m_connectionLimiter;
}

} // namespace bulrush::standins

#pragma once

#include "http/connectiongate.h"

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

/** A request as RESTinio hands it over, body whole. */
using RequestHandle = restinio::request_handle_t;

/** One header field of an answer. */
struct HeaderField
{
    std::string name;
    std::string value;
};

/** An answer, before it is sent. */
struct Answer
{
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;
};

/** What a listener is told at its start. */
struct ListenerSettings
{
    std::string ip = "127.0.0.1";
    /** 0 lets the system choose. */
    std::uint16_t port = 0;
    std::size_t connectionLimit = std::numeric_limits<std::size_t>::max();
    std::uint64_t bodyLimit = std::uint64_t{80} * 1024 * 1024;
};

/**
 * \returns \a text taken as `IP:PORT`, or as a default with port 0 if it is empty.
 * Throws std::invalid_argument if it is neither.
 */
ListenerSettings parsedEndpoint(std::string_view text);

/**
 * One listening address, served by RESTinio on the loop's thread, with the ways to answer wrongly
 * that an HTTP library doesn't offer. Not thread safe: all calls on the loop's thread.
 */
class Listener
{
public:
    using RequestHandler = std::function<void(RequestHandle)>;

    /**
     * Opens the address at once. Throws what RESTinio throws if it can't be opened.
     * \a closedHandler is told of each connection that ends.
     */
    Listener(asio::io_context &loop, const ListenerSettings &settings, RequestHandler handler,
             ConnectionGate::ClosedHandler closedHandler);

    /** \returns the address as `IP:PORT`, with the port that the system chose. */
    const std::string &address() const;

    const ConnectionGate &gate() const;

    /** Sends \a answer whole. */
    static void send(const RequestHandle &request, const Answer &answer);

    /** Closes the request's connection without an answer. */
    void closeUnanswered(const RequestHandle &request);

    /** Ends the request's connection with a TCP reset. */
    void resetConnection(const RequestHandle &request);

    /** Announces the whole body of \a answer, sends half of it and closes the connection. */
    void sendCut(const RequestHandle &request, const Answer &answer);

    /** Sends \a answer without the length of its body, which the connection's end tells. */
    void sendUnframed(const RequestHandle &request, const Answer &answer);

    /** Sends \a answer whole, and the same bytes once more after \a delay; keeps the connection. */
    void sendTwice(const RequestHandle &request, const Answer &answer,
                   std::chrono::milliseconds delay);

private:
    struct Traits : restinio::default_single_thread_traits_t
    {
        using ip_blocker_t = ConnectionGate;
        using connection_state_listener_t = ConnectionGate;
    };
    using Server = restinio::http_server_t<Traits>;

    restinio::server_settings_t<Traits> serverSettings(const ListenerSettings &settings,
                                                       RequestHandler handler);
    void withSocket(const RequestHandle &request,
                    std::function<void(asio::ip::tcp::socket &)> action);

    asio::io_context &m_loop;
    std::shared_ptr<ConnectionGate> m_gate;
    std::string m_address;
    std::unique_ptr<Server> m_server;
};

inline const std::string &Listener::address() const
{
    return m_address;
}

inline const ConnectionGate &Listener::gate() const
{
    return *m_gate;
}

} // namespace bulrush::standins

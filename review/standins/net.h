#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** \returns the seconds since the start of this program. */
double nowSeconds();

struct HttpMessage
{
    /** "GET /path HTTP/1.1" or "HTTP/1.1 200 OK". */
    std::string startLine;
    /** Names in lower case. */
    std::map<std::string, std::string> fields;
    std::string body;

    std::string method() const;
    /** Path and query of a request. */
    std::string target() const;
    int status() const;
    std::string field(const std::string &name) const;
};

/** A connected socket with buffered reading. One thread reads; any thread may send or reset. */
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Reads one message with a Content-Length. \returns false at the end of the connection. */
    bool read(HttpMessage &message);
    bool send(const std::string &bytes);
    /** \returns whether the peer has closed or reset the connection. */
    bool isClosedByPeer() const;
    /** Ends the connection with a reset. */
    void reset();
    /** Ends the connection in order. */
    void shutdown();

    /** Free for the owner of the connection. */
    std::string lastOrderAnswer;
    bool sendsExtraAnswer = false;

private:
    int m_descriptor;
    std::string m_buffer;
    std::mutex m_sendMutex;
    std::atomic<bool> m_isReset{false};
};

std::string httpAnswer(int status, const std::map<std::string, std::string> &fields,
                       const std::string &body);

/** Serves each connection on a thread of its own. */
class HttpServer
{
public:
    using Handler = std::function<void(Connection &, const HttpMessage &)>;

    /** Listens on \a ip; port 0 selects a free port. Throws if that is not possible. */
    HttpServer(const std::string &ip, int port, Handler handler);
    /** Ends all connections with a reset and waits for their threads. */
    ~HttpServer();

    int port() const;
    std::string address() const;

private:
    void acceptConnections();

    std::string m_ip;
    int m_port = 0;
    int m_listener = -1;
    Handler m_handler;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::atomic<int> m_openThreads{0};
    std::atomic<bool> m_isStopping{false};
};

/** \returns a port of \a ip that is free at the moment. */
int freePort(const std::string &ip);

/** \returns a socket connected to \a address, or -1. */
int connectTo(const std::string &address, Milliseconds timeout);

struct ClientAnswer
{
    /** 0 if there was no complete answer. */
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
};

/** Sends one request over a new connection and reads its answer. */
ClientAnswer request(const std::string &address, const std::string &head, const std::string &body,
                     Milliseconds timeout);

} // namespace review

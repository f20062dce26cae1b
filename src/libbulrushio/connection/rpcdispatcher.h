#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace bulrush::io {

/**
 * Answers JSON-RPC 2.0 calls with libjsonrpccpp's server, but without its HTTP server: the daemon's
 * own HTTP server carries the messages, which avoids a second server and its threads.
 *
 * All methods must be called on one thread; the procedures run on the same thread.
 */
class RpcDispatcher
{
public:
    /** \returns the result of a call; throws std::invalid_argument for invalid parameters. */
    using Procedure = std::function<Json::Value(const Json::Value &parameters)>;

    RpcDispatcher();
    ~RpcDispatcher();

    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    /**
     * Registers \a procedure for calls of \a method with named parameters.
     * \pre no procedure is registered for \a method
     */
    void add(const std::string &method, Procedure procedure);

    /**
     * \returns the text of the answer to the call in \a text, which may be an error answer.
     */
    std::string dispatch(const std::string &text);

private:
    class Server;
    std::unique_ptr<Server> m_server;
};

} // namespace bulrush::io

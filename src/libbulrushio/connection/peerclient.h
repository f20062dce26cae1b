#pragma once

#include "connection/rpcmessage.h"
#include "process/clock.h"

#include <functional>
#include <string>

namespace bulrush {
class Counters;
}

namespace bulrush::io {

class HttpClient;

/**
 * Calls other daemons by JSON-RPC over HTTP.
 *
 * All methods must be called on the HTTP client's event loop; the handlers run on it as well.
 */
class PeerClient
{
public:
    using Handler = std::function<void(RpcReply)>;

    /** \pre both outlive this object and all calls */
    PeerClient(HttpClient &http, Counters &counters);

    /**
     * Calls \a method of the daemon whose port for peers is \a address ("IP:PORT"), and calls \a
     * handler once, within \a timeout. A call that fails may still have been executed.
     */
    void call(const std::string &address, const std::string &method, const Json::Value &parameters,
              Duration timeout, Handler handler);

private:
    HttpClient &m_http;
    Counters &m_counters;
};

} // namespace bulrush::io

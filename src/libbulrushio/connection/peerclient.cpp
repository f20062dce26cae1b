#include "connection/peerclient.h"

#include "connection/httpclient.h"
#include "process/counters.h"

namespace bulrush::io {

namespace {

constexpr int httpOk = 200;

RpcReply toReply(const HttpResult &result)
{
    if (result.error || result.response.status != httpOk)
        return {RpcError::Unreachable, result.error.message(), {}};
    return decodeRpcReply(result.response.body);
}

} // namespace

PeerClient::PeerClient(HttpClient &http, Counters &counters)
    : m_http(http)
    , m_counters(counters)
{ }

void PeerClient::call(const std::string &address, const std::string &method,
                      const Json::Value &parameters, Duration timeout, Handler handler)
{
    m_counters.add(Counter::PeerCalls);
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + address + "/rpc";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encodeRpcCall(method, parameters);
    request.timeout = timeout;
    m_http.fetch(std::move(request),
                 [this, handler = std::move(handler)](const HttpResult &result) {
                     RpcReply reply = toReply(result);
                     if (reply.error)
                         m_counters.add(Counter::PeerCallErrors);
                     handler(std::move(reply));
                 });
}

} // namespace bulrush::io

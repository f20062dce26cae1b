#pragma once

#include "connection/httpclient.h"
#include "connection/serverclient.h"
#include "relaymessage.h"
#include "request/relaychooser.h"
#include "request/requestcopies.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

struct ForwardContext;

/** A caller's request to relay. */
struct RelayRequest
{
    /** The caller's id of the request, which the other daemon's statement has to bear. */
    std::string id;
    std::string method;
    /** Path and query. */
    std::string target;
    /** The caller's fields, without those of its connection. */
    std::vector<io::HttpHeader> headers;
    std::shared_ptr<const std::string> body;
    /** The server that must get it, or otherwise its service. */
    std::string server;
    /** The failure domain of that server; empty if any server of the service may get it. */
    DomainName serverDomain;
    /** Version of the configuration by which it was admitted. */
    std::uint64_t configVersion = 0;
    std::uint64_t salt = 0;
    Instant answerBy;
    /** No other daemon is asked from then on, as its answer would no longer be on time. */
    Instant askAnotherUntil;
    /** Tells whether the caller still waits; asked before the request is sent. */
    std::function<bool()> hasOpenCaller;
};

/** What became of a request that was relayed. */
struct RelayResult
{
    RelayStatement statement;
    /** The answer, if one arrived. */
    io::HttpResponse response;
    /** No daemon has the request, as its caller closed before it was sent. */
    bool isWithdrawn = false;
};

/**
 * Sends one request through other daemons, one after the other, until one of them handles it, a few
 * were asked, or an answer could no longer be on time. A request that a daemon may have passed on
 * is never sent to another one.
 *
 * Used on the traffic thread, created with std::make_shared.
 */
class PeerRelay : public std::enable_shared_from_this<PeerRelay>
{
public:
    using Handler = std::function<void(const RelayResult &)>;

    /**
     * The copies that are sent are recorded in \a copies. \a handler is called once, never from
     * within start(), unless cancel() is called before.
     */
    PeerRelay(ForwardContext &context, RelayRequest request, std::shared_ptr<RequestCopies> copies,
              Handler handler);

    PeerRelay(const PeerRelay &) = delete;
    PeerRelay &operator=(const PeerRelay &) = delete;

    /** Sends the request. \returns false, without a later result, if no daemon can be asked. */
    bool start();

    /** Stops: the daemon that has the request learns that its caller is gone. */
    void cancel();

    /** \returns the daemon that was asked last. */
    const HostName &host() const;

private:
    bool mayAskAnother(RelayOutcome outcome) const;
    void handleResult(const io::HttpResult &result);
    RelayResult evaluate(const io::HttpResult &result) const;
    void recordOutcome(RelayOutcome outcome);
    void finish(const RelayResult &result);

    ForwardContext &m_context;
    RelayRequest m_request;
    std::shared_ptr<RequestCopies> m_copies;
    /** The copy for m_host. */
    RequestCopies::Number m_copy = 0;
    Handler m_handler;
    std::vector<HostName> m_tried;
    HostName m_host;
    std::optional<io::ServerClient::CallId> m_call;
};

inline const HostName &PeerRelay::host() const
{
    return m_host;
}

} // namespace bulrush

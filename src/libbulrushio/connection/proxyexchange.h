#pragma once

#include "connection/incomingrequest.h"
#include "connection/responsewriter.h"
#include "connection/transferevent.h"
#include "request/outcome.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace bulrush::io {

class StreamTransfer;

/** The server that a request is forwarded to, and additions to the caller's request. */
struct ProxyTarget
{
    /** Scheme, address and port, as in "http://10.0.0.1:8080". */
    std::string origin;
    std::vector<HttpHeader> addedHeaders;
    /** Id of this attempt. It is sent with the request and must be echoed by the answer. */
    std::string requestId;
    /**
     * Time until the request's deadline. It covers everything from connecting to the answer's end.
     */
    Duration timeout = std::chrono::seconds{1};
    /** Uses a new connection; required for work that must not run twice. */
    bool isFreshConnection = false;
    /** Relays the answer's X-Bulrush fields. Set if the caller is another daemon. */
    bool relaysBulrushFields = false;
    /** The answer's body is also stored if it is not longer than this; 0 stores none. */
    std::size_t captureLimit = 0;
};

/** The result of an exchange. */
struct ExchangeResult
{
    /** Clear if, and only if, the complete answer was relayed to the caller. */
    std::error_code error;
    /** The stage that the request to the server reached. */
    TransferStage stage = TransferStage::NotConnected;
    /** Whether part of an answer was relayed to the caller, so that no other can be sent. */
    bool hasBegunAnswer = false;
    /** Whether the body can be sent again in another exchange. */
    bool isBodyResendable = true;
    /** Status of the server's answer; 0 if none was received. */
    int status = 0;
    /** Values of the server's X-Bulrush-Ran and X-Bulrush-Reason. */
    std::string ran;
    std::string reason;
    std::uint64_t bodyBytesSent = 0;
    std::uint64_t answerBytes = 0;
    /** The complete body of the answer, if it is within ProxyTarget::captureLimit; else empty. */
    std::string capturedBody;
    std::string contentType;
};

/** \returns the meaning of \a ran, the value of an answer's X-Bulrush-Ran. Thread safe. */
RanStatement parseRanStatement(std::string_view ran);

/**
 * Forwards a caller's request to a server and relays the server's answer.
 *
 * An answer that does not complete the request (see outcomeOfAnswer(): a refusal to run it, or a
 * server error that does not state whether it ran) is not relayed; the exchange fails with
 * TransportError::ServerRefused. After this or another failure, if no part of an answer was
 * relayed, the owner of the exchange answers the caller or starts another exchange. If an answer
 * breaks off after its start, the caller's connection is closed in a way that can be distinguished
 * from a complete answer.
 *
 * Must be used on the event loop's thread and created with std::make_shared. Destruction closes the
 * connection to the server; the handler is then not called.
 */
class ProxyExchange : public std::enable_shared_from_this<ProxyExchange>
{
public:
    using ResultHandler = std::function<void(const ExchangeResult &)>;

    ProxyExchange(HttpClient &client, std::shared_ptr<IncomingRequest> request,
                  std::shared_ptr<ResponseWriter> writer, ProxyTarget target,
                  ResultHandler handler);
    ~ProxyExchange();

    ProxyExchange(const ProxyExchange &) = delete;
    ProxyExchange &operator=(const ProxyExchange &) = delete;

    /** Starts the exchange. The handler is called once, but never from within this method. */
    void start();

    /** \returns the largest number of bytes buffered at one time for the request and the answer. */
    std::size_t peakBufferedBytes() const;

private:
    void dispatchEvent(TransferEvent event);
    void handleEvent(ResponseHead &head);
    void handleEvent(BodyChunk &chunk);
    void handleEvent(const BodyRoom &room);
    void handleEvent(const TransferResult &end);

    HttpRequest outgoingRequest() const;
    RequestBody outgoingBody() const;
    void readRequestBody();
    void handleBodyRead(std::error_code error, const std::string &bytes);
    void relayBytes(std::string bytes);
    void beginAnswer();
    void finishAnswer();
    void finish(std::error_code error, TransferStage stage);
    void updatePeakBufferedBytes();

    HttpClient &m_client;
    std::shared_ptr<IncomingRequest> m_request;
    std::shared_ptr<ResponseWriter> m_writer;
    ProxyTarget m_target;
    ResultHandler m_handler;
    std::unique_ptr<StreamTransfer> m_transfer;
    ResponseHead m_answerHead;
    std::string m_bufferedAnswer;
    ExchangeResult m_result;
    std::uint64_t m_bodyBytesRead = 0;
    std::size_t m_peakBufferedBytes = 0;
    std::size_t m_bytesInWrite = 0;
    bool m_isRefused = false;
    bool m_isReadingBody = false;
    bool m_isFinished = false;
};

} // namespace bulrush::io

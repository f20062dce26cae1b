#pragma once

#include "connection/answerhead.h"
#include "connection/transferevent.h"

#include <asio/steady_timer.hpp>

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush::io {

class CurlMulti;

/**
 * One HTTP exchange on an easy handle of libcurl, with bounded buffers.
 *
 * All methods must be called on the event loop's thread. The handler is never called from within
 * them, nor from within libcurl.
 */
class CurlTransfer : public std::enable_shared_from_this<CurlTransfer>
{
public:
    /**
     * If \a echoedField is given, an answer that does not contain this field exactly once is
     * dropped and its connection closed.
     */
    CurlTransfer(std::shared_ptr<CurlMulti> multi, HttpRequest request, RequestBody body,
                 std::optional<HttpHeader> echoedField, TransferHandler handler);
    ~CurlTransfer();

    CurlTransfer(const CurlTransfer &) = delete;
    CurlTransfer &operator=(const CurlTransfer &) = delete;

    /** Starts the exchange. A request that can't be sent is also reported by an event. */
    void start();

    /** Cancels the exchange without an event; closes its connection if it was still running. */
    void abandon();

    /**
     * Fails the exchange with \a error and the reached stage, unless its result was already
     * delivered. The connection is closed unless the complete answer was received.
     */
    void fail(std::error_code error);

    /** Appends \a bytes to the request's body. \pre the body is streamed and not finished */
    void feed(std::string_view bytes);

    /** Marks the end of the streamed body. */
    void finishBody();

    /** \returns the number of bytes that can be fed before the buffer limit is reached. */
    std::size_t bodyRoom() const;

    /**
     * Pauses or resumes the events of the answer. While paused, the connection is read until the
     * buffer is full.
     */
    void setAnswerPaused(bool isPaused);

    /** \returns the number of bytes currently buffered for both directions. */
    std::size_t bufferedBytes() const;

    /** \returns the easy handle, for CurlMulti. */
    CURL *handle() const;

    /** Called by CurlMulti when libcurl has finished the exchange. */
    void finish(CURLcode code);

    /** Called by CurlMulti to deliver pending events to the handler. */
    void deliver();

private:
    static std::size_t onRead(char *buffer, std::size_t size, std::size_t count, void *self);
    static std::size_t onWrite(char *bytes, std::size_t size, std::size_t count, void *self);
    static std::size_t onHeader(char *bytes, std::size_t size, std::size_t count, void *self);

    void deliverEvents();
    bool prepare();
    bool prepareHeaders();
    void prepareBody();
    void prepareStreamedBody(const StreamedBody &body);
    void armTimeout();
    void readHeaderLine(std::string_view line);
    void completeHead();
    bool hasMatchingEcho() const;
    std::error_code framingError() const;
    std::error_code toTransportError(CURLcode code) const;
    TransferStage reachedStage() const;
    bool isRequestSent() const;
    std::uint64_t sentBodyBytes() const;
    void end(std::error_code error, TransferStage stage);
    void releaseHandle();
    void applyPause();

    std::shared_ptr<CurlMulti> m_multi;
    HttpRequest m_request;
    RequestBody m_body;
    std::optional<HttpHeader> m_echoedField;
    TransferHandler m_handler;
    CURL *m_handle = nullptr;
    curl_slist *m_headerList = nullptr;
    asio::steady_timer m_timeout;
    std::size_t m_headSize = 0;

    std::string m_outgoing;
    std::size_t m_outgoingRead = 0;
    bool m_isBodyFinished = false;
    bool m_isSendPaused = false;
    bool m_isRoomEventPending = false;

    AnswerHead m_answerHead;
    ResponseHead m_head;
    bool m_isHeadComplete = false;
    bool m_isHeadDelivered = false;
    /** A line of the head or of the trailer is invalid. */
    bool m_isMalformed = false;
    bool m_isFramed = false;
    bool m_isMismatched = false;
    std::string m_incoming;
    bool m_isReceivePaused = false;
    bool m_isAnswerPaused = false;

    std::optional<TransferResult> m_result;
    bool m_isDelivering = false;
    bool m_isAbandoned = false; ///< the handler must not be called any more
};

} // namespace bulrush::io

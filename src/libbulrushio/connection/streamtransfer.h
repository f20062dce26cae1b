#pragma once

#include "connection/transferevent.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace bulrush::io {

class CurlTransfer;

/**
 * A transfer of an HttpClient that streams its body and its answer, with back-pressure.
 *
 * The body is fed on BodyRoom events; the first one is sent once a connection is available. All
 * methods must be called on the event loop's thread. The handler is never called from within them,
 * nor after the object is destroyed. Destruction closes the connection of a running transfer.
 */
class StreamTransfer
{
public:
    /**
     * Starts \a request with \a body instead of the request's own body. If \a echoedField is given,
     * an answer that does not contain this field exactly once is dropped and its connection closed.
     */
    StreamTransfer(HttpClient &client, HttpRequest request, RequestBody body,
                   std::optional<HttpHeader> echoedField, TransferHandler handler);
    ~StreamTransfer();

    StreamTransfer(const StreamTransfer &) = delete;
    StreamTransfer &operator=(const StreamTransfer &) = delete;

    /** Appends \a bytes to the body. \pre the body is a StreamedBody and not finished */
    void feed(std::string_view bytes);

    /** Marks the end of the body. */
    void finishBody();

    /** \returns the number of bytes that fit into the buffer. */
    std::size_t bodyRoom() const;

    /** Pauses or resumes the delivery of the answer. A failure is reported even while paused. */
    void setAnswerPaused(bool isPaused);

    /** Fails the transfer with \a error and the reached stage, and closes its connection. */
    void fail(std::error_code error);

    /** \returns the number of bytes currently buffered for both directions. */
    std::size_t bufferedBytes() const;

private:
    std::shared_ptr<CurlTransfer> m_transfer;
};

} // namespace bulrush::io

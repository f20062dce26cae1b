#pragma once

#include "admission/transferwatch.h"

#include <functional>
#include <string>
#include <system_error>
#include <utility>

namespace bulrush::io {

/** The position of written bytes in an answer. */
enum class WritePart {
    More,         ///< further parts follow
    Last,         ///< the last part; the connection stays open
    LastAndClose, ///< the last part; the connection is closed after it
};

/**
 * Connects a request to its caller: reads the remaining body and writes the answer.
 *
 * All methods must be called on the event loop's thread; no handler is called from within them.
 */
class CallerLink
{
public:
    /** Receives the next bytes of the body; no bytes and no error mark its end. */
    using BodyHandler = std::function<void(std::error_code, std::string)>;
    /** Called when bytes were passed to the connection, or with an error if they can't be. */
    using WrittenHandler = std::function<void(std::error_code)>;
    using DisconnectHandler = std::function<void()>;

    virtual ~CallerLink() = default;

    /** Reads the next bytes of the body. \pre the previous read has completed */
    virtual void readBody(BodyHandler handler) = 0;

    /** Writes \a bytes after all earlier ones. */
    virtual void write(std::string bytes, WritePart part, WrittenHandler handler) = 0;

    /** Closes the connection immediately and drops unsent bytes. */
    virtual void abort() = 0;

    /**
     * Decides whether the connection closes after this answer; if so, it accepts no further
     * requests. \a isCloseRequested is set if the request or its answer requires the close.
     */
    virtual bool decideClose(bool isCloseRequested) = 0;

    /**
     * \returns whether the caller has closed its connection, also if that was not read from it yet,
     * or the connection was closed for another reason.
     */
    virtual bool hasCallerClosed() = 0;

    /** \returns the transfer of the body that readBody() reads. */
    virtual Transfer bodyTransfer() = 0;

    /** \returns the transfer of the answer. It may outlive this object. */
    virtual Transfer answerTransfer() = 0;

    /**
     * Sets the handler that is called, once, if the caller disconnects before its answer is
     * written.
     */
    void setDisconnectHandler(DisconnectHandler handler);

    /** Releases the connection and calls the disconnect handler, if one is set. */
    void notifyDisconnect();

private:
    virtual void releaseConnection()
    { }

    DisconnectHandler m_disconnectHandler;
};

inline void CallerLink::setDisconnectHandler(DisconnectHandler handler)
{
    m_disconnectHandler = std::move(handler);
}

inline void CallerLink::notifyDisconnect()
{
    releaseConnection();
    if (const auto handler = std::exchange(m_disconnectHandler, nullptr))
        handler();
}

} // namespace bulrush::io

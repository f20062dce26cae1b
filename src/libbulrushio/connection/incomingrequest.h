#pragma once

#include "admission/memoryholder.h"
#include "connection/callerlink.h"
#include "connection/httpclient.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::io {

/** The head of a request. */
struct RequestHead
{
    std::string method;
    /** Path and query as received. */
    std::string target;
    std::vector<HttpHeader> headers;
};

/**
 * A request of a caller. A small body is buffered completely; a larger one is read with readBody().
 *
 * Must be used on the server's event loop only.
 */
class IncomingRequest
{
public:
    IncomingRequest(RequestHead head, std::string body, std::uint64_t bodyLength,
                    std::string remoteAddress, std::shared_ptr<CallerLink> link,
                    MemoryHolder memory = {});

    const RequestHead &head() const;

    /** \returns the caller's address and port. */
    const std::string &remoteAddress() const;

    /** \returns whether body() is the complete body; otherwise readBody() must be used. */
    bool isBodyBuffered() const;

    /** \returns the complete body. \pre isBodyBuffered() */
    const std::string &body() const;

    /** \returns the complete body by moving it out of the request. \pre isBodyBuffered() */
    std::string takeBody();

    /** \returns the body's length. */
    std::uint64_t bodyLength() const;

    /**
     * Reads the next bytes of a body that is not buffered, and passes them to \a handler; no bytes
     * and no error mark its end. Nothing is read from the caller between calls.
     * \pre !isBodyBuffered(), and the previous read has completed
     */
    void readBody(CallerLink::BodyHandler handler);

    /**
     * Calls \a handler once if the caller closes its connection before its answer is written. The
     * close is not detected while part of the body is still unread.
     */
    void setDisconnectHandler(CallerLink::DisconnectHandler handler);

    /**
     * \returns whether the caller has closed its connection, also if the disconnect handler was not
     * called yet. Costs a system call.
     */
    bool hasCallerClosed() const;

private:
    RequestHead m_head;
    std::string m_body;
    std::uint64_t m_bodyLength;
    bool m_isBodyBuffered;
    std::string m_remoteAddress;
    std::shared_ptr<CallerLink> m_link;
    /** What the body holds in the process's account of memory, while the request exists. */
    MemoryHolder m_memory;
};

inline const RequestHead &IncomingRequest::head() const
{
    return m_head;
}

inline const std::string &IncomingRequest::remoteAddress() const
{
    return m_remoteAddress;
}

inline bool IncomingRequest::isBodyBuffered() const
{
    return m_isBodyBuffered;
}

inline const std::string &IncomingRequest::body() const
{
    return m_body;
}

inline std::uint64_t IncomingRequest::bodyLength() const
{
    return m_bodyLength;
}

} // namespace bulrush::io

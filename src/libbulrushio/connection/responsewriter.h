#pragma once

#include "connection/callerlink.h"
#include "connection/transferevent.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bulrush::io {

/**
 * Writes the answer to a caller's request, at once or in parts. If the answer is not finished or is
 * shorter than announced, the connection is closed in a way that the caller can distinguish from a
 * complete answer.
 *
 * Must be used on the server's event loop only.
 */
class ResponseWriter
{
public:
    /** \a isHead is set for requests with the method HEAD, whose answers have no body. */
    ResponseWriter(std::shared_ptr<CallerLink> link, bool isHead, bool isKeptAlive);

    /** Aborts an answer that was not finished. */
    ~ResponseWriter();

    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    /**
     * Writes a complete answer. The fields for framing and connection management are generated and
     * replace those in \a response. \pre !hasBegun()
     */
    void send(const HttpResponse &response);

    /**
     * Begins an answer; without \a length its body is sent in chunks. The fields for framing and
     * connection management are generated and replace those in \a head. \pre !hasBegun()
     */
    void begin(const ResponseHead &head, std::optional<std::uint64_t> length);

    /**
     * Writes the next bytes of the body. For back-pressure, the user waits for \a handler before
     * the next write. The handler is never called from within this method.
     * \pre hasBegun() && !isOver()
     */
    void write(std::string bytes, CallerLink::WrittenHandler handler);

    /** Finishes the answer; one that is shorter than announced is aborted. \pre hasBegun() */
    void finish();

    /**
     * Closes the connection, so that the caller can't mistake a partial answer for a complete one.
     */
    void abort();

    /** \returns whether any part of an answer was written. */
    bool hasBegun() const;

    /** \returns whether the answer was finished or aborted. */
    bool isOver() const;

private:
    std::string formatHead(const ResponseHead &head);
    void writeLast(std::string bytes, std::shared_ptr<MemoryHolder> memory = nullptr);
    bool isBodyless(int status) const;

    std::shared_ptr<CallerLink> m_link;
    bool m_isHead;
    bool m_isKeptAlive;
    bool m_hasBegun = false;
    bool m_isOver = false;
    bool m_hasNoBody = false;
    std::optional<std::uint64_t> m_bytesLeft;
};

inline bool ResponseWriter::hasBegun() const
{
    return m_hasBegun;
}

inline bool ResponseWriter::isOver() const
{
    return m_isOver;
}

} // namespace bulrush::io

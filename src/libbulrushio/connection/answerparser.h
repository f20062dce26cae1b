#pragma once

#include "admission/memoryholder.h"
#include "connection/answerhead.h"
#include "connection/chunkframing.h"
#include "connection/httpclient.h"

#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::io {

/**
 * Parses the answers received on one connection, one at a time.
 *
 * Not thread safe.
 */
class AnswerParser
{
public:
    /**
     * Answers with a body longer than \a bodyLimit are rejected, and those for which \a memory, if
     * given, has no room.
     */
    explicit AnswerParser(std::size_t bodyLimit, std::shared_ptr<MemoryAccount> memory = nullptr);

    AnswerParser(const AnswerParser &) = delete;
    AnswerParser &operator=(const AnswerParser &) = delete;

    /** Resets the parser for the next answer. \a isHead is set if it answers a HEAD request. */
    void begin(bool isHead);

    /**
     * Parses bytes up to the end of the answer. \returns the number of bytes consumed; the others
     * belong to the next answer. \pre !isComplete(), and no previous error
     */
    std::size_t feed(std::string_view bytes);

    /** Handles the end of the connection, which also ends an answer without a length. */
    void finish();

    /** \returns the error in the bytes parsed so far, if any. */
    std::error_code error() const;

    /** \returns whether any byte of an answer was received. */
    bool hasBegun() const;

    /** \returns whether the answer is complete. */
    bool isComplete() const;

    /** \returns whether the connection can be reused after this answer. \pre isComplete() */
    bool keepsConnection() const;

    /** \returns the idle time-out in the server's Keep-Alive field, if there is one. */
    std::optional<Duration> keepAlive() const;

    /** \returns the answer by moving it out of the parser. \pre isComplete() */
    HttpResponse takeResponse();

private:
    static AnswerParser &self(http_parser *parser);
    static int onFieldPart(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();
    std::size_t feedBody(std::string_view bytes);
    std::size_t feedHead(std::string_view bytes);
    void parseHeadLine(std::string_view line);
    std::size_t parse(std::string_view bytes);
    bool reserveBody(std::uint64_t length);

    std::size_t m_bodyLimit;
    std::shared_ptr<MemoryAccount> m_memory;
    std::shared_ptr<MemoryHolder> m_bodyMemory;
    http_parser m_parser{};
    AnswerHead m_head;
    /** The beginning of the next line of the head. */
    std::string m_line;
    ChunkFraming m_chunks;
    HttpResponse m_response;
    std::error_code m_error;
    std::size_t m_headerBytes = 0;
    /** The request's method is HEAD. */
    bool m_isHead = false;
    bool m_hasBegun = false;
    bool m_isComplete = false;
    bool m_keepsConnection = false;
};

inline std::error_code AnswerParser::error() const
{
    return m_error;
}

inline bool AnswerParser::hasBegun() const
{
    return m_hasBegun;
}

inline bool AnswerParser::isComplete() const
{
    return m_isComplete;
}

inline bool AnswerParser::keepsConnection() const
{
    return m_keepsConnection;
}

} // namespace bulrush::io

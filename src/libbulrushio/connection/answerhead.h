#pragma once

#include "connection/httpclient.h"

#include <string_view>
#include <system_error>
#include <vector>

namespace bulrush::io {

/**
 * The head of an answer, read line by line. All readers of answers check heads with it, as the
 * libraries below them accept more than RFC 9112 does.
 *
 * Not thread safe.
 */
class AnswerHead
{
public:
    /** Forgets all lines, for the next answer. */
    void reset();

    /**
     * Reads one line, with or without its line end, which may be a single LF. An empty line ends
     * the head. The line after the head of an interim answer begins the next head; lines after that
     * of a final answer are those of a trailer, whose fields are checked and dropped. \returns
     * TransportError::AnswerMalformed if no answer has such a line there. \pre no previous error
     */
    std::error_code readLine(std::string_view line);

    /** \returns whether the head is complete, be it that of an interim answer. */
    bool isComplete() const;

    /** \returns whether the head is complete and that of a final answer. */
    bool isFinal() const;

    /** \returns whether answers of this status have no body, whatever the fields state. */
    bool isBodyless() const;

    /** \returns whether a body, if there is one, is in chunks. \pre isFinal() */
    bool isChunked() const;

    /** \returns the status, or 0 before the status line. */
    int status() const;

    /** \returns the fields so far, in order. */
    const std::vector<HttpHeader> &headers() const;

    /** \returns the fields by moving them out. */
    std::vector<HttpHeader> takeHeaders();

private:
    std::error_code readStatusLine(std::string_view line);
    std::error_code complete();
    bool isFramingKnown() const;

    int m_status = 0;
    /** Versions before 1.1 have no transfer codings. */
    bool m_canBeCoded = false;
    std::vector<HttpHeader> m_headers;
    bool m_isComplete = false;
    bool m_isChunked = false;
};

inline bool AnswerHead::isComplete() const
{
    return m_isComplete;
}

inline bool AnswerHead::isChunked() const
{
    return m_isChunked;
}

inline int AnswerHead::status() const
{
    return m_status;
}

inline const std::vector<HttpHeader> &AnswerHead::headers() const
{
    return m_headers;
}

} // namespace bulrush::io

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::io {

/**
 * Checks that a body is in chunks as RFC 9112 has them, beside a parser that accepts more.
 *
 * Not thread safe.
 */
class ChunkFraming
{
public:
    /** Lines of sizes and of a trailer that are longer than \a maxLineBytes are rejected. */
    explicit ChunkFraming(std::size_t maxLineBytes);

    /** Forgets all bytes, for the next body. */
    void reset();

    /**
     * Checks the next \a bytes of the body. \returns TransportError::AnswerMalformed or
     * TransportError::AnswerTooLarge if no body in chunks has them there. \pre no previous error
     */
    std::error_code check(std::string_view bytes);

    /** \returns whether the body is complete, with its trailer. */
    bool isComplete() const;

private:
    /** What the next bytes belong to; to nothing after the trailer. */
    enum class Part { SizeLine, Data, DataEnd, Trailer, Nothing };

    std::size_t skipData(std::size_t length);
    bool readLine(std::string_view line);
    bool readSizeLine(std::string_view line);
    bool readTrailerLine(std::string_view line);

    std::size_t m_maxLineBytes;
    Part m_part = Part::SizeLine;
    /** The bytes of the current chunk that are still to come. */
    std::uint64_t m_dataLeft = 0;
    /** The beginning of the current line. */
    std::string m_line;
};

inline bool ChunkFraming::isComplete() const
{
    return m_part == Part::Nothing;
}

} // namespace bulrush::io

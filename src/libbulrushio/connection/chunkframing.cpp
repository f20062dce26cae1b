#include "connection/chunkframing.h"

#include "connection/httpfield.h"
#include "connection/transporterror.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace bulrush::io {

namespace {

constexpr int hexadecimalBase = 16;

} // namespace

ChunkFraming::ChunkFraming(std::size_t maxLineBytes)
    : m_maxLineBytes(maxLineBytes)
{ }

void ChunkFraming::reset()
{
    m_part = Part::SizeLine;
    m_dataLeft = 0;
    m_line.clear();
}

std::error_code ChunkFraming::check(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_part == Part::Data) {
            bytes.remove_prefix(skipData(bytes.size()));
            continue;
        }
        const std::size_t length = lengthOfLine(bytes);
        m_line.append(bytes.substr(0, length));
        bytes.remove_prefix(length);
        if (m_line.size() > m_maxLineBytes)
            return TransportError::AnswerTooLarge;
        if (!m_line.ends_with('\n'))
            return {};
        if (!readLine(std::exchange(m_line, {})))
            return TransportError::AnswerMalformed;
    }
    return {};
}

/** \returns how many of the next \a length bytes belong to the current chunk. */
std::size_t ChunkFraming::skipData(std::size_t length)
{
    const std::size_t skipped = std::min<std::uint64_t>(length, m_dataLeft);
    m_dataLeft -= skipped;
    if (m_dataLeft == 0)
        m_part = Part::DataEnd;
    return skipped;
}

/** \returns whether RFC 9112 allows \a line, which has its line end, in the current part. */
bool ChunkFraming::readLine(std::string_view line)
{
    // A single LF is allowed in place of CRLF after fields only.
    if (m_part != Part::Trailer && !line.ends_with("\r\n"))
        return false;
    line = withoutLineEnd(line);
    switch (m_part) {
    case Part::SizeLine:
        return readSizeLine(line);
    case Part::DataEnd:
        m_part = Part::SizeLine;
        return line.empty();
    case Part::Trailer:
        return readTrailerLine(line);
    case Part::Data:
    case Part::Nothing:
        break;
    }
    return false;
}

/** \returns whether \a line is the size of a chunk, perhaps with blanks and extensions after it. */
bool ChunkFraming::readSizeLine(std::string_view line)
{
    const char *end = line.data() + line.size();
    const auto [sizeEnd, error] = std::from_chars(line.data(), end, m_dataLeft, hexadecimalBase);
    if (error != std::errc{})
        return false;
    m_part = m_dataLeft == 0 ? Part::Trailer : Part::Data;
    const std::string_view rest = trimmed({sizeEnd, end});
    return rest.empty() || (rest.starts_with(';') && isFieldText(rest));
}

bool ChunkFraming::readTrailerLine(std::string_view line)
{
    if (line.empty())
        m_part = Part::Nothing;
    return line.empty() || fieldIn(line);
}

} // namespace bulrush::io

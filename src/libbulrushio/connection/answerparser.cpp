#include "connection/answerparser.h"

#include "connection/httpfield.h"
#include "connection/transporterror.h"

#include <algorithm>
#include <charconv>
#include <climits>
#include <utility>

namespace bulrush::io {

namespace {

/** Maximum size of an answer's header and trailer fields; backend servers send far less. */
constexpr std::size_t maxHeaderBytes = std::size_t{64} * 1024;
/** A body is copied when its room grows, and when its answer is written. */
constexpr std::uint64_t copiesHeld = 2;
/** What the library's callback returns after the head of an answer without a body. */
constexpr int skipsBody = 1;
constexpr std::string_view timeoutParameter = "timeout=";

} // namespace

AnswerParser::AnswerParser(std::size_t bodyLimit, std::shared_ptr<MemoryAccount> memory)
    : m_bodyLimit(bodyLimit)
    , m_memory(std::move(memory))
    , m_chunks(maxHeaderBytes)
{
    begin(false);
}

void AnswerParser::begin(bool isHead)
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_response = {};
    m_bodyMemory.reset();
    m_error = {};
    m_head.reset();
    m_line.clear();
    m_chunks.reset();
    m_headerBytes = 0;
    m_isHead = isHead;
    m_hasBegun = false;
    m_isComplete = false;
    m_keepsConnection = false;
}

std::size_t AnswerParser::feed(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !m_isComplete && !m_error) {
        m_hasBegun = true;
        const std::string_view rest = bytes.substr(consumed);
        consumed += m_head.isComplete() ? feedBody(rest) : feedHead(rest);
    }
    return consumed;
}

/** Parses at most one line of the head. \returns the number of bytes consumed. */
std::size_t AnswerParser::feedHead(std::string_view bytes)
{
    const std::size_t length = lengthOfLine(bytes);
    m_line.append(bytes.substr(0, length));
    if (m_line.size() > maxHeaderBytes)
        m_error = TransportError::AnswerTooLarge;
    else if (m_line.ends_with('\n'))
        parseHeadLine(std::exchange(m_line, {}));
    return length;
}

/** Passes \a line to the library's parser if RFC 9112 allows it; the parser accepts more. */
void AnswerParser::parseHeadLine(std::string_view line)
{
    m_error = m_head.readLine(line);
    if (!m_error)
        parse(line);
}

/** Parses what belongs to the body. \returns the number of bytes consumed. */
std::size_t AnswerParser::feedBody(std::string_view bytes)
{
    const std::size_t consumed = parse(bytes);
    if (m_error || !m_head.isChunked())
        return consumed;
    m_error = m_chunks.check(bytes.substr(0, consumed));
    if (m_isComplete && !m_error && !m_chunks.isComplete())
        m_error = TransportError::AnswerMalformed;
    if (m_error)
        m_isComplete = false;
    return consumed;
}

/** Passes \a bytes to the library's parser. \returns the number of bytes consumed. */
std::size_t AnswerParser::parse(std::string_view bytes)
{
    const std::size_t consumed =
        http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto state = static_cast<http_errno>(m_parser.http_errno);
    if (state == HPE_PAUSED && !m_isComplete) {
        // The end of an interim answer; the final one follows.
        begin(m_isHead);
        m_hasBegun = true;
    } else if (state != HPE_OK && state != HPE_PAUSED && !m_error) {
        m_error = TransportError::AnswerMalformed;
    }
    return consumed;
}

void AnswerParser::finish()
{
    if (m_isComplete || m_error)
        return;
    if (!m_hasBegun) {
        m_error = TransportError::ConnectionLost;
        return;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    if (!m_isComplete)
        m_error = TransportError::AnswerTruncated;
}

std::optional<Duration> AnswerParser::keepAlive() const
{
    const HttpHeader *field = findField(m_response.headers, "Keep-Alive");
    if (!field)
        return std::nullopt;
    const std::string_view value = field->value;
    const std::size_t at = value.find(timeoutParameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = value.substr(at + timeoutParameter.size());
    int seconds = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc{})
        return std::nullopt;
    return std::chrono::seconds{seconds};
}

HttpResponse AnswerParser::takeResponse()
{
    m_response.memory = std::move(m_bodyMemory);
    return std::move(m_response);
}

AnswerParser &AnswerParser::self(http_parser *parser)
{
    return *static_cast<AnswerParser *>(parser->data);
}

/** Counts the bytes of names and values, in the head and in a trailer. */
int AnswerParser::onFieldPart(http_parser *parser, const char * /*at*/, std::size_t length)
{
    AnswerParser &answer = self(parser);
    answer.m_headerBytes += length;
    if (answer.m_headerBytes <= maxHeaderBytes)
        return 0;
    answer.m_error = TransportError::AnswerTooLarge;
    return -1;
}

int AnswerParser::onHeadersComplete(http_parser *parser)
{
    AnswerParser &answer = self(parser);
    answer.m_response.status = answer.m_head.status();
    answer.m_response.headers = answer.m_head.takeHeaders();
    if (answer.m_isHead || answer.m_head.isBodyless())
        return skipsBody;
    const bool hasLength = parser->content_length != ULLONG_MAX;
    return !hasLength || answer.reserveBody(parser->content_length) ? 0 : -1;
}

/** Makes room for a body of \a length. \returns false if there is none. */
bool AnswerParser::reserveBody(std::uint64_t length)
{
    if (length == 0)
        return true;
    if (!m_bodyMemory)
        m_bodyMemory = std::make_shared<MemoryHolder>(m_memory, MemoryUse::Answer);
    if (length > m_bodyLimit || !m_bodyMemory->growTo(copiesHeld * length)) {
        m_error = TransportError::AnswerTooLarge;
        return false;
    }
    m_response.body.reserve(length);
    return true;
}

int AnswerParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    AnswerParser &answer = self(parser);
    std::string &body = answer.m_response.body;
    const std::size_t needed = body.size() + length;
    // Without a length the room grows in steps, so that few copies are made.
    const std::size_t step = std::min(answer.m_bodyLimit, std::max(needed, 2 * body.capacity()));
    if (needed > body.capacity() && !answer.reserveBody(std::max(needed, step)))
        return -1;
    body.append(at, length);
    return 0;
}

int AnswerParser::onMessageComplete(http_parser *parser)
{
    AnswerParser &answer = self(parser);
    answer.m_isComplete = answer.m_head.isFinal();
    answer.m_keepsConnection = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &AnswerParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings parserSettings;
        http_parser_settings_init(&parserSettings);
        parserSettings.on_header_field = &AnswerParser::onFieldPart;
        parserSettings.on_header_value = &AnswerParser::onFieldPart;
        parserSettings.on_headers_complete = &AnswerParser::onHeadersComplete;
        parserSettings.on_body = &AnswerParser::onBody;
        parserSettings.on_message_complete = &AnswerParser::onMessageComplete;
        return parserSettings;
    }();
    return settings;
}

} // namespace bulrush::io

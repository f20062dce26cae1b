#include "connection/responsewriter.h"

#include "connection/httpfield.h"
#include "connection/httpstatus.h"

#include <array>
#include <charconv>
#include <utility>

namespace bulrush::io {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr int noContent = 204;
constexpr int notModified = 304;

bool isManagedField(const HttpHeader &header)
{
    return isSameFieldName(header.name, "Content-Length")
        || isSameFieldName(header.name, "Transfer-Encoding")
        || isSameFieldName(header.name, "Connection") || isSameFieldName(header.name, "Keep-Alive");
}

std::string chunk(std::string_view bytes)
{
    constexpr int hexadecimalBase = 16;
    std::array<char, sizeof(std::size_t) * 2> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), hexadecimalBase);
    std::string text{digits.data(), end.ptr};
    text.reserve(text.size() + bytes.size() + 4);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return text;
}

std::string lengthField(std::uint64_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

} // namespace

ResponseWriter::ResponseWriter(std::shared_ptr<CallerLink> link, bool isHead, bool isKeptAlive)
    : m_link(std::move(link))
    , m_isHead(isHead)
    , m_isKeptAlive(isKeptAlive)
{ }

ResponseWriter::~ResponseWriter()
{
    abort();
}

void ResponseWriter::send(const HttpResponse &response)
{
    std::string text = formatHead({response.status, response.headers});
    if (response.status != noContent)
        text += lengthField(response.body.size());
    text += "\r\n";
    if (!isBodyless(response.status))
        text += response.body;
    m_hasBegun = true;
    writeLast(std::move(text), response.memory);
}

void ResponseWriter::begin(const ResponseHead &head, std::optional<std::uint64_t> length)
{
    std::string text = formatHead(head);
    m_hasNoBody = isBodyless(head.status);
    m_bytesLeft = m_hasNoBody ? 0 : length;
    if (length && head.status != noContent)
        text += lengthField(*length);
    else if (!m_hasNoBody)
        text += "Transfer-Encoding: chunked\r\n";
    text += "\r\n";
    m_hasBegun = true;
    m_link->write(std::move(text), WritePart::More, nullptr);
}

void ResponseWriter::write(std::string bytes, CallerLink::WrittenHandler handler)
{
    if (m_bytesLeft && bytes.size() > *m_bytesLeft) {
        abort();
        return;
    }
    if (m_bytesLeft)
        *m_bytesLeft -= bytes.size();
    else
        bytes = chunk(bytes);
    m_link->write(std::move(bytes), WritePart::More, std::move(handler));
}

void ResponseWriter::finish()
{
    if (m_isOver)
        return;
    if (m_bytesLeft.value_or(0) > 0) {
        abort();
        return;
    }
    writeLast(m_bytesLeft ? std::string{} : std::string{lastChunk});
}

void ResponseWriter::abort()
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_link->setDisconnectHandler(nullptr);
    m_link->abort();
}

std::string ResponseWriter::formatHead(const ResponseHead &head)
{
    m_isKeptAlive = !m_link->decideClose(!m_isKeptAlive);
    std::string text = statusLine(head.status);
    for (const HttpHeader &header : head.headers) {
        if (isManagedField(header) || !isSafeField(header))
            continue;
        text += header.name;
        text += ": ";
        text += header.value;
        text += "\r\n";
    }
    if (!m_isKeptAlive)
        text += "Connection: close\r\n";
    return text;
}

/** Writes \a bytes, for which \a memory is held until they are written. */
void ResponseWriter::writeLast(std::string bytes, std::shared_ptr<MemoryHolder> memory)
{
    m_isOver = true;
    m_link->setDisconnectHandler(nullptr);
    const WritePart part = m_isKeptAlive ? WritePart::Last : WritePart::LastAndClose;
    if (memory)
        memory->setTransfer(m_link->answerTransfer());
    m_link->write(std::move(bytes), part, [memory = std::move(memory)](std::error_code) {});
}

bool ResponseWriter::isBodyless(int status) const
{
    return m_isHead || status == noContent || status == notModified;
}

} // namespace bulrush::io

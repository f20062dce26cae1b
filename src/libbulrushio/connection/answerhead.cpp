#include "connection/answerhead.h"

#include "connection/httpfield.h"
#include "connection/transporterror.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace bulrush::io {

namespace {

constexpr int firstStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr int lastStatus = 599;
constexpr std::size_t statusDigits = 3;
constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr std::string_view versionWithoutCodings = "HTTP/1.0";
constexpr std::string_view codingField = "Transfer-Encoding";

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isLength(std::string_view value)
{
    return !value.empty() && std::ranges::all_of(value, isDigit);
}

/** \returns the status in a status line whose reason phrase may be missing, or nothing. */
std::optional<int> statusIn(std::string_view line)
{
    if (!line.starts_with(versionPrefix) || !isFieldText(line))
        return std::nullopt;
    line.remove_prefix(versionPrefix.size());
    if (line.size() < 2 + statusDigits || !isDigit(line[0]) || line[1] != ' ')
        return std::nullopt;
    const std::string_view digits = line.substr(2, statusDigits);
    const std::string_view reason = line.substr(2 + statusDigits);
    const bool isSeparated = reason.empty() || reason.starts_with(' ');
    if (!std::ranges::all_of(digits, isDigit) || !isSeparated)
        return std::nullopt;
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status;
}

} // namespace

void AnswerHead::reset()
{
    m_status = 0;
    m_headers.clear();
    m_isComplete = false;
    m_isChunked = false;
}

std::error_code AnswerHead::readLine(std::string_view line)
{
    line = withoutLineEnd(line);
    if (isFinal())
        return line.empty() || fieldIn(line) ? std::error_code{} : TransportError::AnswerMalformed;
    if (m_isComplete)
        reset();
    // Empty lines before an answer change nothing in it.
    if (m_status == 0)
        return line.empty() ? std::error_code{} : readStatusLine(line);
    if (line.empty())
        return complete();
    std::optional<HttpHeader> field = fieldIn(line);
    if (!field)
        return TransportError::AnswerMalformed;
    m_headers.push_back(*std::move(field));
    return {};
}

bool AnswerHead::isFinal() const
{
    return m_isComplete && m_status >= firstFinalStatus;
}

bool AnswerHead::isBodyless() const
{
    return m_status < firstFinalStatus || m_status == noContent || m_status == notModified;
}

std::vector<HttpHeader> AnswerHead::takeHeaders()
{
    return std::exchange(m_headers, {});
}

std::error_code AnswerHead::readStatusLine(std::string_view line)
{
    const std::optional<int> status = statusIn(line);
    // No request asks for another protocol.
    if (!status || *status < firstStatus || *status > lastStatus || *status == switchingProtocols)
        return TransportError::AnswerMalformed;
    m_status = *status;
    m_canBeCoded = !line.starts_with(versionWithoutCodings);
    return {};
}

std::error_code AnswerHead::complete()
{
    m_isComplete = true;
    m_isChunked = findField(m_headers, codingField) != nullptr;
    return !isFinal() || isFramingKnown() ? std::error_code{} : TransportError::AnswerMalformed;
}

/**
 * \returns whether the fields state one length, or chunks, or neither. No request asks for any
 * other transfer coding.
 */
bool AnswerHead::isFramingKnown() const
{
    const std::vector<std::string_view> lengths = fieldValues(m_headers, "Content-Length");
    const std::vector<std::string_view> codings = fieldValues(m_headers, codingField);
    if (codings.empty())
        return lengths.empty() || (lengths.size() == 1 && isLength(lengths.front()));
    return lengths.empty() && codings.size() == 1 && m_canBeCoded
        && isSameFieldName(codings.front(), "chunked");
}

} // namespace bulrush::io

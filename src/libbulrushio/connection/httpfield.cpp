#include "connection/httpfield.h"

#include <algorithm>

namespace bulrush::io {

namespace {

constexpr std::string_view tokenSymbols = "!#$%&'*+-.^_`|~";

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isTokenCharacter(char c)
{
    const char low = toLower(c);
    return (low >= 'a' && low <= 'z') || (c >= '0' && c <= '9')
        || tokenSymbols.find(c) != std::string_view::npos;
}

bool isFieldCharacter(char c)
{
    const auto value = static_cast<unsigned char>(c);
    return c == '\t' || (value >= ' ' && value != 0x7f);
}

} // namespace

bool isSameFieldName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, toLower, toLower);
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

bool isFieldText(std::string_view text)
{
    return std::ranges::all_of(text, isFieldCharacter);
}

bool isSafeField(const HttpHeader &header)
{
    return isToken(header.name) && isFieldText(header.value);
}

std::size_t lengthOfLine(std::string_view bytes)
{
    const std::size_t end = bytes.find('\n');
    return end == std::string_view::npos ? bytes.size() : end + 1;
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    return line;
}

std::optional<HttpHeader> fieldIn(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    HttpHeader header{std::string{line.substr(0, colon)},
                      std::string{trimmed(line.substr(colon + 1))}};
    if (!isSafeField(header))
        return std::nullopt;
    return header;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

const HttpHeader *findField(std::span<const HttpHeader> headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
        headers, [name](const HttpHeader &header) { return isSameFieldName(header.name, name); });
    return found == headers.end() ? nullptr : &*found;
}

std::vector<std::string_view> fieldValues(std::span<const HttpHeader> headers,
                                          std::string_view name)
{
    std::vector<std::string_view> values;
    for (const HttpHeader &header : headers) {
        if (isSameFieldName(header.name, name))
            values.push_back(header.value);
    }
    return values;
}

bool listContains(std::string_view list, std::string_view item)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (isSameFieldName(trimmed(list.substr(0, comma)), item))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace bulrush::io

#include "contracttext.h"

#include "version/contractreader.h"

namespace bulrush::ctl {

namespace {

constexpr std::string_view fieldName = "version:";
constexpr std::string_view digits = "0123456789";

/** A range of characters in a text. */
struct Span
{
    std::size_t begin = 0;
    std::size_t length = 0;
};

/** \returns the digits in a line such as "version: 7 # comment", or nothing for other lines. */
std::optional<Span> findVersionDigits(std::string_view line)
{
    if (!line.starts_with(fieldName))
        return std::nullopt;

    const std::size_t begin = line.find_first_not_of(" \t", fieldName.size());
    if (begin == std::string_view::npos)
        return std::nullopt;
    const std::size_t end = std::min(line.find_first_not_of(digits, begin), line.size());
    const std::size_t rest = line.find_first_not_of(" \t\r", end);
    const bool isComment = rest != std::string_view::npos && line[rest] == '#' && rest > end;
    if (end == begin || (rest != std::string_view::npos && !isComment))
        return std::nullopt;
    return Span{begin, end - begin};
}

/** \returns the digits of the only version line of \a text; nothing unless there is exactly one. */
std::optional<Span> findOnlyVersion(std::string_view text)
{
    std::optional<Span> found;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        if (const auto span = findVersionDigits(text.substr(start, end - start))) {
            if (found)
                return std::nullopt;
            found = Span{start + span->begin, span->length};
        }
        start = end + 1;
    }
    return found;
}

} // namespace

std::optional<std::string> withVersion(std::string_view text, std::uint64_t version)
{
    const auto span = findOnlyVersion(text);
    if (!span)
        return std::nullopt;

    std::string changed{text};
    changed.replace(span->begin, span->length, std::to_string(version));

    // The line may belong to a multi-line text value, so both texts are parsed to verify that only
    // the version differs.
    const io::ContractResult before = io::readContract(text, "before");
    io::ContractResult after = io::readContract(changed, "after");
    if (before.error || after.error || after.contract.version != version)
        return std::nullopt;
    after.contract.version = before.contract.version;
    if (after.contract != before.contract)
        return std::nullopt;
    return changed;
}

} // namespace bulrush::ctl

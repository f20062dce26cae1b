#include "contracttext.h"

#include "version/contractreader.h"

namespace bulrush::ctl {

namespace {

constexpr std::string_view fieldName = "version:";
constexpr std::string_view digits = "0123456789";

/** A part of a text. */
struct Part
{
    std::size_t begin = 0;
    std::size_t length = 0;
};

/** \returns where the digits of a line "version: 7 # comment" are, or nothing. */
std::optional<Part> versionIn(std::string_view line)
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
    return Part{begin, end - begin};
}

std::optional<Part> onlyVersionIn(std::string_view text)
{
    std::optional<Part> found;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        if (const auto part = versionIn(text.substr(start, end - start))) {
            if (found)
                return std::nullopt;
            found = Part{start + part->begin, part->length};
        }
        start = end + 1;
    }
    return found;
}

} // namespace

std::optional<std::string> withVersion(std::string_view text, std::uint64_t version)
{
    const auto part = onlyVersionIn(text);
    if (!part)
        return std::nullopt;

    std::string changed{text};
    changed.replace(part->begin, part->length, std::to_string(version));

    // The line may have been part of a longer text, so the outcome is read to be sure.
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

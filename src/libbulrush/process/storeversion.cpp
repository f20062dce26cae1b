#include "process/storeversion.h"

#include <charconv>

namespace bulrush {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::string toString(const StoreVersion &version)
{
    return std::to_string(version.era) + '.' + std::to_string(version.number);
}

std::optional<StoreVersion> parseStoreVersion(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto era = parseNumber(text.substr(0, dot));
    const auto number = parseNumber(text.substr(dot + 1));
    if (!era || !number)
        return std::nullopt;
    return StoreVersion{*era, *number};
}

} // namespace bulrush

#include "process/scalartype.h"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <span>

namespace bulrush::io {

constinit const std::string_view validNameDescription =
    "a name of 1 to 63 lower-case letters, digits and hyphens, a letter or digit first";

namespace {

/** A unit and its size in the smallest unit. */
struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::uint64_t millisecond = 1'000'000;
constexpr std::uint64_t second = 1000 * millisecond;

constexpr Unit timeUnits[] = {
    {"d", 86'400 * second}, {"h", 3600 * second}, {"m", 60 * second},
    {"s", second},          {"ms", millisecond},
};

constexpr Unit byteUnits[] = {
    {"GiB", std::uint64_t{1} << 30},
    {"MiB", std::uint64_t{1} << 20},
    {"KiB", std::uint64_t{1} << 10},
    {"B", 1},
};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> parseQuantity(std::string_view text, std::span<const Unit> units)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = parseNumber(text.substr(0, digits));
    const auto unit = std::ranges::find(units, text.substr(digits), &Unit::name);
    if (!number || unit == units.end())
        return std::nullopt;
    if (*number > std::numeric_limits<std::int64_t>::max() / unit->factor)
        return std::nullopt;
    return *number * unit->factor;
}

std::string quantityText(std::uint64_t quantity, std::span<const Unit> units)
{
    const auto isExactIn = [quantity](const Unit &unit) {
        return quantity >= unit.factor && quantity % unit.factor == 0;
    };
    auto unit = std::ranges::find_if(units, isExactIn);
    if (unit == units.end())
        unit = units.end() - 1;
    return std::to_string(quantity / unit->factor) + std::string{unit->name};
}

/** \returns the shortest decimal text that parses back to \a number. */
std::string decimalText(double number)
{
    std::array<char, 32> text{};
    const auto [end, error] =
        std::to_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    return error == std::errc{} ? std::string{text.data(), end} : std::string{};
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

std::optional<std::uint32_t> parsePercentage(std::string_view text)
{
    constexpr std::size_t decimals = 4;
    constexpr std::uint64_t millionths = 1'000'000;
    if (!text.ends_with('%'))
        return std::nullopt;
    text.remove_suffix(1);

    const std::size_t point = std::min(text.find('.'), text.size());
    std::string fraction{text.substr(std::min(point + 1, text.size()))};
    const bool isPointAlone = point < text.size() && fraction.empty();
    if (isPointAlone || fraction.size() > decimals)
        return std::nullopt;
    fraction.resize(decimals, '0');

    const auto percent = parseNumber(text.substr(0, point));
    const auto fractionDigits = parseNumber(fraction);
    if (!percent || !fractionDigits || *percent >= 100)
        return std::nullopt;
    const std::uint64_t share = *percent * 10'000 + *fractionDigits;
    if (share == 0 || share >= millionths)
        return std::nullopt;
    return static_cast<std::uint32_t>(share);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);

    asio::error_code failure;
    const auto address = asio::ip::make_address(std::string{host}, failure);
    const auto port = parseNumber(text.substr(colon + 1));
    if (failure || address.is_v6() != isBracketed || !port)
        return std::nullopt;
    if (*port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return Endpoint{address.to_string(), static_cast<std::uint16_t>(*port)};
}

} // namespace

bool isValidName(std::string_view text)
{
    constexpr std::size_t maxNameLength = 63;
    return !text.empty() && text.size() <= maxNameLength && text.front() != '-'
        && std::ranges::all_of(text, isNameCharacter);
}

ScalarType<std::uint64_t> wholeNumber(std::uint64_t minimum, std::uint64_t maximum)
{
    const auto parse = [minimum, maximum](std::string_view text) -> std::optional<std::uint64_t> {
        const auto number = parseNumber(text);
        if (!number || *number < minimum || *number > maximum)
            return std::nullopt;
        return number;
    };
    return {parse,
            "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum)};
}

ScalarType<double> decimal(double minimum, double maximum)
{
    const auto parse = [minimum, maximum](std::string_view text) -> std::optional<double> {
        double number = 0.0;
        const char *end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, number, std::chars_format::fixed);
        const bool isNumber = !text.empty() && result.ec == std::errc{} && result.ptr == end;
        if (!isNumber || !(number >= minimum && number <= maximum))
            return std::nullopt;
        return number;
    };
    return {parse, "a number from " + decimalText(minimum) + " to " + decimalText(maximum)};
}

ScalarType<Duration> duration(Duration minimum, Duration maximum)
{
    const auto parse = [minimum, maximum](std::string_view text) -> std::optional<Duration> {
        const auto count = parseQuantity(text, timeUnits);
        if (!count)
            return std::nullopt;
        const Duration span{static_cast<Duration::rep>(*count)};
        if (span < minimum || span > maximum)
            return std::nullopt;
        return span;
    };
    return {parse,
            "a whole number with a unit (ms, s, m, h or d), from " + durationText(minimum) + " to "
                + durationText(maximum)};
}

ScalarType<std::uint64_t> byteCount(std::uint64_t minimum, std::uint64_t maximum)
{
    const auto parse = [minimum, maximum](std::string_view text) -> std::optional<std::uint64_t> {
        const auto bytes = parseQuantity(text, byteUnits);
        if (!bytes || *bytes < minimum || *bytes > maximum)
            return std::nullopt;
        return bytes;
    };
    return {parse,
            "a whole number with a unit (B, KiB, MiB or GiB), from " + byteCountText(minimum)
                + " to " + byteCountText(maximum)};
}

ScalarType<std::uint32_t> percentage()
{
    return {parsePercentage, "over 0% and under 100%, with at most four decimals, such as 99.9%"};
}

ScalarType<bool> boolean()
{
    return choice<bool>({{"true", true}, {"false", false}});
}

ScalarType<Endpoint> endpoint(PortZero portZero)
{
    const auto parse = [portZero](std::string_view text) -> std::optional<Endpoint> {
        auto parsed = parseEndpoint(text);
        if (!parsed || (parsed->port == 0 && portZero == PortZero::Refused))
            return std::nullopt;
        return parsed;
    };
    const std::string minimum = portZero == PortZero::Allowed ? "0 (any free one)" : "1";
    return {parse,
            "IP:PORT such as 127.0.0.1:8080 or [::1]:8080, no host name, port from " + minimum
                + " to 65535"};
}

std::string durationText(Duration span)
{
    return quantityText(static_cast<std::uint64_t>(span.count()), timeUnits);
}

std::string byteCountText(std::uint64_t bytes)
{
    return quantityText(bytes, byteUnits);
}

} // namespace bulrush::io

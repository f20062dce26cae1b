#pragma once

#include "process/clock.h"
#include "process/endpoint.h"
#include "version/identifier.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::io {

/**
 * How the text of a field becomes a value, and what to tell whoever wrote another text.
 */
template<typename T>
struct ScalarType
{
    /** \returns nothing for a text that is not allowed. */
    std::function<std::optional<T>(std::string_view)> parse;
    /** What is allowed, in words. */
    std::string allowed;
};

/** One of the texts of a choice and what it stands for. */
template<typename T>
struct Choice
{
    std::string_view text;
    T value;
};

/** \returns whether \a text is a name: lower-case letters, digits and hyphens. Thread safe. */
bool isName(std::string_view text);

/** Text for ScalarType::allowed of a name. */
extern const std::string_view allowedName;

/** A whole number with bounds. */
ScalarType<std::uint64_t> wholeNumber(std::uint64_t least, std::uint64_t most);

/** A number with bounds, with or without decimals, such as 0.2. */
ScalarType<double> decimal(double least, double most);

/** A span of time, a whole number with its unit: ms, s, m, h or d. */
ScalarType<Duration> duration(Duration least, Duration most);

/** A number of bytes, a whole number with its unit: B, KiB, MiB or GiB. */
ScalarType<std::uint64_t> byteCount(std::uint64_t least, std::uint64_t most);

/** A share such as 99.9%, in millionths: over 0% and under 100%, with at most four decimals. */
ScalarType<std::uint32_t> percentage();

/** true or false. */
ScalarType<bool> boolean();

enum class PortZero { Refused, Allowed };

/** An IP address and port, such as 127.0.0.1:8080 or [::1]:8080. */
ScalarType<Endpoint> endpoint(PortZero portZero);

/** \returns \a span with the largest unit that writes it whole, such as "800ms". Thread safe. */
std::string durationText(Duration span);

/** \returns \a bytes with the largest unit that writes it whole, such as "64MiB". Thread safe. */
std::string byteCountText(std::uint64_t bytes);

/** A name of one kind, such as a ServiceName. */
template<typename Id>
ScalarType<Id> identifier()
{
    const auto parse = [](std::string_view text) -> std::optional<Id> {
        if (!isName(text))
            return std::nullopt;
        return Id{std::string{text}};
    };
    return {parse, std::string{allowedName}};
}

/** One of a few words. */
template<typename T>
ScalarType<T> choice(std::vector<Choice<T>> choices)
{
    std::string allowed;
    for (const Choice<T> &each : choices)
        allowed += (allowed.empty() ? "" : ", ") + std::string{each.text};

    const auto parse = [choices = std::move(choices)](std::string_view text) -> std::optional<T> {
        for (const Choice<T> &each : choices) {
            if (each.text == text)
                return each.value;
        }
        return std::nullopt;
    };
    return {parse, allowed};
}

} // namespace bulrush::io

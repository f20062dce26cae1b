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
 * Parser for the text of a field, with a description of the allowed texts for error messages.
 */
template<typename T>
struct ScalarType
{
    /** \returns the value, or nothing if the text is not allowed. */
    std::function<std::optional<T>(std::string_view)> parse;
    /** Description of the allowed texts. */
    std::string allowed;
};

/** One allowed text of a choice and its value. */
template<typename T>
struct Choice
{
    std::string_view text;
    T value;
};

/** \returns whether \a text is a valid name, as described by validNameDescription. Thread safe. */
bool isValidName(std::string_view text);

/** Description of a valid name, for ScalarType::allowed. */
extern const std::string_view validNameDescription;

/** An integer from \a minimum to \a maximum. */
ScalarType<std::uint64_t> wholeNumber(std::uint64_t minimum, std::uint64_t maximum);

/** A number from \a minimum to \a maximum, with or without decimals, such as 0.2. */
ScalarType<double> decimal(double minimum, double maximum);

/** A duration: an integer with a unit (ms, s, m, h or d). */
ScalarType<Duration> duration(Duration minimum, Duration maximum);

/** A number of bytes: an integer with a unit (B, KiB, MiB or GiB). */
ScalarType<std::uint64_t> byteCount(std::uint64_t minimum, std::uint64_t maximum);

/**
 * A percentage such as 99.9%, parsed to millionths: more than 0% and less than 100%, with at
 * most four decimals.
 */
ScalarType<std::uint32_t> percentage();

/** true or false. */
ScalarType<bool> boolean();

enum class PortZero { Refused, Allowed };

/** An IP address and port, such as 127.0.0.1:8080 or [::1]:8080. */
ScalarType<Endpoint> endpoint(PortZero portZero);

/** \returns \a span as an integer with the largest unit possible, e.g. "800ms". Thread safe. */
std::string durationText(Duration span);

/** \returns \a bytes as an integer with the largest unit possible, e.g. "64MiB". Thread safe. */
std::string byteCountText(std::uint64_t bytes);

/** A name of type \a Id, such as ServiceName. */
template<typename Id>
ScalarType<Id> identifier()
{
    const auto parse = [](std::string_view text) -> std::optional<Id> {
        if (!isValidName(text))
            return std::nullopt;
        return Id{std::string{text}};
    };
    return {parse, std::string{validNameDescription}};
}

/** One of the texts of \a choices. */
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

#pragma once

#include <optional>
#include <string>
#include <variant>

namespace bulrush {

/** An answer that names no limit. */
struct NoLimit
{
    bool operator==(const NoLimit &) const = default;
};

/** The requests per second that a server takes from all daemons together; finite, from 0. */
struct RateLimit
{
    double perSecond = 0.0;

    bool operator==(const RateLimit &) const = default;
};

/** An answer whose limit is not a number from 0, or occurs twice. */
struct UnreadableLimit
{
    std::string text;

    bool operator==(const UnreadableLimit &) const = default;
};

/** What one answer of a backend server states about its limit. */
using LimitStatement = std::variant<NoLimit, RateLimit, UnreadableLimit>;

} // namespace bulrush

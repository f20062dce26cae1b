#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace bulrush::standins {

/** The answer is sent correctly. */
struct NormalAnswer
{ };

/** Half of the announced body is sent, then the connection closes. */
struct TruncatedAnswer
{ };

/** No answer is sent, and the connection stays open. */
struct NoAnswer
{ };

/** The connection is reset instead of being answered. */
struct ConnectionReset
{ };

/** The answer to the previous request is sent. */
struct MismatchedAnswer
{ };

/** The answer is sent `delay` after the work is done. */
struct DelayedAnswer
{
    std::chrono::milliseconds delay{0};
};

using AnswerMode = std::variant<NormalAnswer, TruncatedAnswer, NoAnswer, ConnectionReset,
                                MismatchedAnswer, DelayedAnswer>;

/** The fault of the next answers to work, and the number of answers that it applies to. */
struct Misbehaviour
{
    AnswerMode mode;
    std::uint64_t remaining = 0;

    /** \returns the mode of the next answer, and counts that answer. */
    AnswerMode nextMode();
};

/**
 * \returns the settings in the body of a `/_control/behave` request, or nothing if the body is
 * malformed. Thread safe.
 */
std::optional<Misbehaviour> parsedMisbehaviour(const Json::Value &body);

} // namespace bulrush::standins

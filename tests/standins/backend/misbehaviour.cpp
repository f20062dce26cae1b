#include "backend/misbehaviour.h"

#include <string>

namespace bulrush::standins {

namespace {

std::optional<AnswerMode> parsedMode(const Json::Value &body)
{
    const std::string answer = body["answer"].isString() ? body["answer"].asString() : "";
    if (answer == "whole")
        return NormalAnswer{};
    if (answer == "cut")
        return TruncatedAnswer{};
    if (answer == "silent")
        return NoAnswer{};
    if (answer == "reset")
        return ConnectionReset{};
    if (answer == "crossed")
        return MismatchedAnswer{};
    if (answer == "late" && body["lateMs"].isUInt())
        return DelayedAnswer{std::chrono::milliseconds{body["lateMs"].asUInt()}};

    return std::nullopt;
}

} // namespace

AnswerMode Misbehaviour::nextMode()
{
    if (remaining == 0)
        return NormalAnswer{};

    --remaining;
    return mode;
}

std::optional<Misbehaviour> parsedMisbehaviour(const Json::Value &body)
{
    const auto mode = parsedMode(body);
    const Json::Value count = body.get("count", 1);
    if (!mode || !count.isUInt64())
        return std::nullopt;

    return Misbehaviour{*mode, count.asUInt64()};
}

} // namespace bulrush::standins

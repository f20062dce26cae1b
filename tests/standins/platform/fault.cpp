#include "platform/fault.h"

#include <string>

namespace bulrush::standins {

namespace {

std::optional<FaultMode> parsedMode(const Json::Value &body)
{
    const std::string mode = body["mode"].isString() ? body["mode"].asString() : "";
    if (mode == "none")
        return Healthy{};
    if (mode == "down")
        return Down{};
    if (mode == "slow" && body["slowMs"].isUInt())
        return Slow{std::chrono::milliseconds{body["slowMs"].asUInt()}};

    return std::nullopt;
}

} // namespace

std::optional<Faults> changedFaults(const Faults &faults, const Json::Value &body)
{
    Faults result = faults;
    if (body.isMember("mode")) {
        const auto mode = parsedMode(body);
        if (!mode)
            return std::nullopt;
        result.mode = *mode;
    }
    if (body.isMember("loseAnswers")) {
        if (!body["loseAnswers"].isUInt64())
            return std::nullopt;
        result.answersToLose = body["loseAnswers"].asUInt64();
    }
    return result;
}

} // namespace bulrush::standins

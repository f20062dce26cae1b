#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace bulrush::standins {

/** Answers immediately. */
struct Healthy
{ };

/** Closes every connection without an answer; requests have no effect. */
struct Down
{ };

/** Executes requests immediately, and answers after `delay`. */
struct Slow
{
    std::chrono::milliseconds delay{0};
};

using FaultMode = std::variant<Healthy, Down, Slow>;

/** Fault settings of one listener. */
struct Faults
{
    FaultMode mode;
    /** Number of coming transactions that take effect, but whose answer is lost. */
    std::uint64_t answersToLose = 0;
};

/**
 * \returns \a faults with the changes in \a body applied; members that \a body omits stay as they
 * are. Nothing if \a body is malformed. Thread safe.
 */
std::optional<Faults> changedFaults(const Faults &faults, const Json::Value &body);

} // namespace bulrush::standins

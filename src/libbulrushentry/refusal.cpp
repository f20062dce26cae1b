#include "refusal.h"

#include "request/requestqueue.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bulrush {

namespace {

/** Refused callers are to retry after the minimum time plus a part of the spread. */
constexpr double minRetryAfterSeconds = 0.25;
constexpr double retryAfterSpreadSeconds = 0.5;

bool mayAnotherDaemonServe(std::string_view reason)
{
    return reason == refusal::shuttingDown || reason == refusal::noConfig
        || reason == refusal::outdatedConfig || reason == refusal::relayLimit;
}

} // namespace

RelayOutcome relayOutcomeOf(std::string_view reason, bool isOutOfReach)
{
    if (mayAnotherDaemonServe(reason))
        return RelayOutcome::Unavailable;
    if (reason != refusal::unreachable && reason != nameOf(GiveUpReason::Unreachable))
        return RelayOutcome::NotRun;
    return isOutOfReach ? RelayOutcome::CutOff : RelayOutcome::Denied;
}

std::string retryAfterText(std::uint64_t hash, Duration earliest)
{
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(hash % steps) / steps;
    const double least =
        std::max(minRetryAfterSeconds, std::chrono::duration<double>(earliest).count());
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", least + retryAfterSpreadSeconds * part);
    return text.data();
}

} // namespace bulrush

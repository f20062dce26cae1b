#include "refusal.h"

#include "request/requestqueue.h"

#include <array>
#include <cstdio>

namespace bulrush {

namespace {

/**
 * The caller has this much less time left than the daemon knows, for the way of the request and of
 * the refusal.
 */
constexpr Duration callerTransitTime = std::chrono::milliseconds{30};

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
    RefusedRequest refused;
    refused.availableIn = earliest;
    refused.hash = hash;
    return retryAfterText(refused);
}

RefusedRequest refusedRequest(std::string_view reason, const RefusalCircumstances &circumstances)
{
    RefusedRequest refused;
    refused.cause = refusalCauseOf(reason);
    if (reason == refusal::serverRefused && circumstances.hasOwnerRoom)
        refused.cause = RefusalCause::NotFull;
    refused.availableIn = circumstances.availableIn;
    refused.hash = circumstances.hash;
    if (circumstances.deadline)
        refused.callerTimeLeft =
            *circumstances.deadline - circumstances.elapsed - callerTransitTime;
    if (circumstances.routes && circumstances.route) {
        refused.rank = priorityRank(circumstances.routes->config(), circumstances.service,
                                    *circumstances.route);
        refused.targetTimeLeft = circumstances.route->targetLatency - circumstances.elapsed;
    }
    return refused;
}

bool isForLackOfCapacity(std::string_view reason)
{
    // A hot key is no lack of capacity of its service, and the planner limits the requests for it.
    return reason == nameOf(GiveUpReason::QueueTooLong)
        || reason == nameOf(GiveUpReason::NoTimeLeft) || reason == refusal::serverRefused
        || reason == refusal::ownerTooBusy || reason == refusal::limited
        || reason == refusal::backingOff;
}

RefusalCause refusalCauseOf(std::string_view reason)
{
    if (reason == refusal::keyTooHot || reason == refusal::ownerTooBusy)
        return RefusalCause::KeyTooHot;
    return reason == nameOf(GiveUpReason::NoOwner) ? RefusalCause::NoOwner : RefusalCause::Other;
}

std::string retryAfterText(const RefusedRequest &refused)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", ReturnAdvice::returnAfter(refused).count());
    return text.data();
}

} // namespace bulrush

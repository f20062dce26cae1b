#include "request/outcome.h"

#include <algorithm>
#include <array>
#include <optional>

namespace bulrush {

namespace {

constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int firstServerError = 500;

/** One row of the table of failure points. */
struct FailureEntry
{
    FailurePoint point;
    std::string_view name;
    bool isCertainlyNotRun;
    int status;
};

constexpr std::array failureTable{
    FailureEntry{FailurePoint::RateLimited, "rate-limited", true, statusTooManyRequests},
    FailureEntry{FailurePoint::Overloaded, "overloaded", true, statusUnavailable},
    FailureEntry{FailurePoint::QueueFull, "queue-full", true, statusUnavailable},
    FailureEntry{FailurePoint::DeadlineBeforeDispatch, "deadline", true, statusUnavailable},
    FailureEntry{FailurePoint::DaemonDraining, "daemon-draining", true, statusUnavailable},
    FailureEntry{FailurePoint::NoRoutingLease, "no-routing-lease", true, statusUnavailable},
    FailureEntry{FailurePoint::NoServer, "no-server", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerSuspected, "server-suspected", true, statusUnavailable},
    FailureEntry{FailurePoint::ClaimUnavailable, "claim-unavailable", true, statusUnavailable},
    FailureEntry{FailurePoint::ClaimAnswerLost, "claim-answer-lost", true, statusUnavailable},
    FailureEntry{FailurePoint::ConnectRefused, "connect-refused", true, statusUnavailable},
    FailureEntry{FailurePoint::ConnectTimedOut, "connect-timed-out", true, statusUnavailable},
    FailureEntry{FailurePoint::NothingWritten, "nothing-written", true, statusUnavailable},
    FailureEntry{FailurePoint::PartlyWritten, "partly-written", false, statusBadGateway},
    FailureEntry{FailurePoint::WrittenAndSilent, "silent", false, statusGatewayTimeout},
    FailureEntry{FailurePoint::ResetAfterWrite, "reset", false, statusBadGateway},
    FailureEntry{FailurePoint::CancelledAfterWrite, "cancelled", false, statusGatewayTimeout},
    FailureEntry{FailurePoint::DaemonLostAfterWrite, "daemon-lost", false, statusBadGateway},
    FailureEntry{FailurePoint::AnswerCut, "answer-cut", false, statusBadGateway},
    FailureEntry{FailurePoint::AnswerNotMatching, "answer-not-matching", false, statusBadGateway},
    FailureEntry{FailurePoint::AnswerWithoutRan, "answer-without-ran", false, statusBadGateway},
    FailureEntry{FailurePoint::ServerShed, "shed", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerDeadline, "server-deadline", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerFence, "fence", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerNotOwner, "not-owner", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerDraining, "draining", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerCold, "cold", true, statusUnavailable},
    FailureEntry{FailurePoint::ServerNotRunOther, "server-refused", true, statusUnavailable},
    FailureEntry{FailurePoint::ClaimInProgress, "in-progress", false, statusConflict},
    FailureEntry{FailurePoint::ClaimUnknown, "claim-unknown", false, statusGatewayTimeout},
    FailureEntry{FailurePoint::RepeatNotChecked, "repeat-not-checked", false, statusGatewayTimeout},
};

constexpr bool isTableInOrder()
{
    for (std::size_t i = 0; i < failureTable.size(); ++i) {
        if (static_cast<std::size_t>(failureTable[i].point) != i)
            return false;
    }
    return true;
}
static_assert(isTableInOrder(), "the table is indexed by the enumeration");
static_assert(failureTable.back().point == FailurePoint::RepeatNotChecked,
              "every failure point has its row");

const FailureEntry &entryOf(FailurePoint point)
{
    return failureTable[static_cast<std::size_t>(point)];
}

constexpr auto failurePoints = [] {
    std::array<FailurePoint, failureTable.size()> points{};
    std::ranges::transform(failureTable, points.begin(), &FailureEntry::point);
    return points;
}();

RefusalResponse refusal(FailurePoint reason, std::string_view ran, Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    return {entryOf(reason).status, ran, entryOf(reason).name,
            std::max(seconds, std::chrono::seconds{1})};
}

/** Converts each outcome to the response for the caller, if nothing was forwarded before. */
struct ResponseMaker
{
    CallerResponse operator()(const CompleteAnswer &) const
    {
        return ForwardAnswer{};
    }

    CallerResponse operator()(const NotRun &notRun) const
    {
        return refusal(notRun.reason, "no", notRun.retryAfter);
    }

    CallerResponse operator()(const Unknown &unknown) const
    {
        return refusal(unknown.reason, "unknown", unknown.retryAfter);
    }
};

} // namespace

std::span<const FailurePoint> allFailurePoints()
{
    return failurePoints;
}

std::string_view nameOf(FailurePoint point)
{
    return entryOf(point).name;
}

bool isCertainlyNotRun(FailurePoint point)
{
    return entryOf(point).isCertainlyNotRun;
}

Outcome outcomeOf(FailurePoint point, Duration retryAfter)
{
    if (isCertainlyNotRun(point))
        return NotRun{point, retryAfter};
    return Unknown{point, retryAfter};
}

Outcome outcomeOfAttempts(std::span<const FailurePoint> points, Duration retryAfter)
{
    const auto possiblyRun = std::ranges::find_if_not(points, isCertainlyNotRun);
    return outcomeOf(possiblyRun != points.end() ? *possiblyRun : points.back(), retryAfter);
}

FailurePoint failurePointOfRefusal(std::string_view reason)
{
    if (reason == "shed")
        return FailurePoint::ServerShed;
    if (reason == "deadline")
        return FailurePoint::ServerDeadline;
    if (reason == "fence")
        return FailurePoint::ServerFence;
    if (reason == "not-owner")
        return FailurePoint::ServerNotOwner;
    if (reason == "draining")
        return FailurePoint::ServerDraining;
    if (reason == "cold")
        return FailurePoint::ServerCold;
    return FailurePoint::ServerNotRunOther;
}

Outcome outcomeOfAnswer(int status, RanStatement ran, std::string_view reason, Duration retryAfter)
{
    if (ran == RanStatement::No)
        return outcomeOf(failurePointOfRefusal(reason), retryAfter);
    if (ran == RanStatement::Missing && status >= firstServerError)
        return outcomeOf(FailurePoint::AnswerWithoutRan, retryAfter);
    return CompleteAnswer{};
}

CallerResponse callerResponse(const Outcome &outcome, bool hasAnswerBegun)
{
    if (hasAnswerBegun && !std::holds_alternative<CompleteAnswer>(outcome))
        return AbortCallerConnection{};
    return std::visit(ResponseMaker{}, outcome);
}

} // namespace bulrush

#include "request/retrypolicy.h"

#include "process/retrybudget.h"

namespace bulrush {

namespace {

/** \returns whether an attempt on another server might succeed. */
bool dependsOnServer(FailurePoint point)
{
    switch (point) {
    case FailurePoint::Overloaded:
    case FailurePoint::QueueFull:
    case FailurePoint::ServerSuspected:
    case FailurePoint::ConnectRefused:
    case FailurePoint::ConnectTimedOut:
    case FailurePoint::NothingWritten:
    case FailurePoint::PartlyWritten:
    case FailurePoint::WrittenAndSilent:
    case FailurePoint::ResetAfterWrite:
    case FailurePoint::DaemonLostAfterWrite:
    case FailurePoint::AnswerCut:
    case FailurePoint::AnswerNotMatching:
    case FailurePoint::AnswerWithoutRan:
    case FailurePoint::ServerShed:
    case FailurePoint::ServerFence:
    case FailurePoint::ServerNotOwner:
    case FailurePoint::ServerDraining:
    case FailurePoint::ServerCold:
    case FailurePoint::ServerNotRunOther:
        return true;
    case FailurePoint::RateLimited:
    case FailurePoint::DeadlineBeforeDispatch:
    case FailurePoint::DaemonDraining:
    case FailurePoint::NoRoutingLease:
    case FailurePoint::NoServer:
    case FailurePoint::ClaimUnavailable:
    case FailurePoint::ClaimAnswerLost:
    case FailurePoint::CancelledAfterWrite:
    case FailurePoint::ServerDeadline:
    case FailurePoint::ClaimInProgress:
    case FailurePoint::ClaimUnknown:
    case FailurePoint::RepeatNotChecked:
        return false;
    }
    return false;
}

} // namespace

bool takeRetry(const FailedAttempt &failed, const RequestPolicy &policy, const RetryLimits &limits,
               RetryBudget &budget, Instant now)
{
    if (!isCertainlyNotRun(failed.point) && !policy.isIdempotent)
        return false;
    if (!dependsOnServer(failed.point) || !failed.hasOtherServer)
        return false;
    if (failed.hasAnswerBegun || !failed.isBodyReplayable)
        return false;
    if (failed.attemptCount >= limits.attemptLimit)
        return false;
    if (now + failed.expectedTime > policy.deadline)
        return false;
    return budget.takeRetry(policy.requestClass);
}

} // namespace bulrush

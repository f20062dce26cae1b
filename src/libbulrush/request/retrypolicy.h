#pragma once

#include "process/clock.h"
#include "request/outcome.h"
#include "request/requestpolicy.h"

namespace bulrush {

class RetryBudget;

/** State of a request after one of its attempts has failed. */
struct FailedAttempt
{
    FailurePoint point;
    /** Number of attempts so far, including the failed one. */
    int attemptCount = 1;
    /** Whether bytes of an answer have been sent to the caller. */
    bool hasAnswerBegun = false;
    /** Whether the body of the request can be sent again from its start. */
    bool isBodyReplayable = true;
    /**
     * Whether another server can do the work. False if the key has a single owner. After a refusal
     * due to load, true only if another server is known to have a free slot.
     */
    bool hasOtherServer = true;
    /** Expected total time of another attempt. */
    Duration expectedTime{};
};

/** Limits on the retries of a single request. */
struct RetryLimits
{
    int attemptLimit = 3;
};

/**
 * Decides whether a failed attempt is retried, and consumes a retry from \a budget if so.
 *
 * An attempt that certainly did not run may be retried for any operation; one that may have run
 * only for an idempotent operation. Refusals that concern the request or this daemon, rather than
 * one server, are final. To be called only by the entry daemon. Thread safe except for \a budget.
 */
bool takeRetry(const FailedAttempt &failed, const RequestPolicy &policy, const RetryLimits &limits,
               RetryBudget &budget, Instant now);

} // namespace bulrush

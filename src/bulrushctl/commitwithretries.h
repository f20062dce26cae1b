#pragma once

#include "platformtable.h"

#include <functional>
#include <optional>

namespace bulrush::ctl {

/** Limits how often a transaction is sent while its outcome is unknown. */
struct RetryPolicy
{
    int maxAttempts = 5;
    /** Called before each attempt except the first. */
    std::function<void()> waitBeforeRetry = [] {
    };
};

/**
 * Determines the outcome of a transaction whose answer was lost. \returns Committed with the new
 * versions, or Conflict with the conflicting row; nothing as long as the transaction may still take
 * effect.
 */
using OutcomeResolver = std::function<std::optional<CommitResult>()>;

/**
 * Sends \a transaction until its outcome is known, or the policy's attempts are used up. A lost
 * answer counts neither as a success nor as a failure: \a resolveOutcome decides.
 * \pre the transaction's conditions no longer hold once it has taken effect, so that sending it
 * again can't apply it twice.
 */
CommitResult commitWithRetries(PlatformTable &table, const Transaction &transaction,
                               const RetryPolicy &policy, const OutcomeResolver &resolveOutcome);

} // namespace bulrush::ctl

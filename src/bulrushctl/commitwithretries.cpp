#include "commitwithretries.h"

namespace bulrush::ctl {

CommitResult commitWithRetries(PlatformTable &table, const Transaction &transaction,
                               const RetryPolicy &policy, const OutcomeResolver &resolveOutcome)
{
    CommitResult lastResult;
    lastResult.outcome = CommitOutcome::NotSent;
    for (int attempt = 0; attempt < policy.maxAttempts; ++attempt) {
        if (attempt > 0)
            policy.waitBeforeRetry();

        CommitResult result = table.transact(transaction);
        const bool mayHaveRun = lastResult.outcome == CommitOutcome::Unknown;
        if (result.outcome == CommitOutcome::Committed)
            return result;
        if (!mayHaveRun
            && (result.outcome == CommitOutcome::Conflict
                || result.outcome == CommitOutcome::Refused))
            return result;
        lastResult = std::move(result);
        if (!mayHaveRun && lastResult.outcome == CommitOutcome::NotSent)
            continue;

        // An earlier attempt may have taken effect, so the answer to this one alone does not give
        // the outcome of the transaction.
        lastResult.outcome = CommitOutcome::Unknown;
        if (auto resolved = resolveOutcome())
            return std::move(*resolved);
    }
    return lastResult;
}

} // namespace bulrush::ctl

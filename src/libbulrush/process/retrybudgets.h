#pragma once

#include "process/retrybudget.h"
#include "version/identifier.h"

#include <map>

namespace bulrush {

/** Retries, beyond the first attempt of each request of a service, that all daemons may send. */
struct RetryAllowance
{
    /** Retries per request; a fraction. */
    double ratio = 0.2;
    /** Additional retries of all daemons together within a few seconds. */
    double slack = 56.0;

    bool operator==(const RetryAllowance &) const = default;
};

/**
 * This daemon's share of the retries that all daemons may send together. Each service has a
 * separate budget, to which the traffic of other services adds nothing. The daemons do not
 * communicate about it: each derives its share from its own requests and the number of daemons.
 *
 * Not thread safe.
 */
class RetryBudgets
{
public:
    /**
     * Fraction of the allowance that is used. The rest is a margin, because others count retries
     * over intervals that start and end at other times.
     */
    static constexpr double usedFraction = 0.75;
    /** Maximum number of unused retries of one daemon, however few daemons there are. */
    static constexpr double maxReserve = 5.0;
    /** With a reserve of less than one retry, a daemon could never send any. */
    static constexpr double minReserve = 1.0;

    explicit RetryBudgets(const RetryAllowance &terms);

    /** Sets how many daemons share the slack; 0 if unknown. */
    void setDaemonCount(std::size_t count);

    /** Counts a first attempt of a request for \a service. */
    void recordFirstAttempt(const ServiceName &service);

    /** Takes a retry at \a service. \returns false, and takes nothing, if there is none. */
    bool takeRetry(const ServiceName &service, RequestClass requestClass);

private:
    RetryBudget &budgetOf(const ServiceName &service);

    RetryAllowance m_terms;
    double m_reserve = minReserve;
    std::map<ServiceName, RetryBudget> m_budgets;
};

} // namespace bulrush

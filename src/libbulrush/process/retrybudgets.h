#pragma once

#include "process/retrybudget.h"
#include "version/identifier.h"

#include <map>

namespace bulrush {

/** What all daemons together may send beyond the first attempt of each request of a service. */
struct RetryTerms
{
    /** For each request; a fraction. */
    double ratio = 0.2;
    /** Beside that, in some seconds, by all daemons. */
    double slack = 56.0;

    bool operator==(const RetryTerms &) const = default;
};

/**
 * A daemon's part of the retries that all daemons share, apart for each service: traffic of one
 * earns nothing for another. Daemons don't ask each other; each goes by its own requests and by
 * how many daemons there are.
 *
 * Not thread safe.
 */
class RetryBudgets
{
public:
    /** Part of the terms that is used: what is counted elsewhere starts and ends at other times. */
    static constexpr double usedPart = 0.75;
    /** Retries that a daemon may save up, however few daemons there are. */
    static constexpr double mostReserve = 5.0;
    /** A daemon that could not save up one whole retry would never send any. */
    static constexpr double leastReserve = 1.0;

    explicit RetryBudgets(const RetryTerms &terms);

    /** Notes how many daemons share the slack; 0 if that is not known. */
    void setDaemonCount(std::size_t count);

    /** Counts a first attempt of a request for \a service. */
    void recordFirstAttempt(const ServiceName &service);

    /** Spends a retry at \a service. \returns false, and spends nothing, if there is none. */
    bool takeRetry(const ServiceName &service, RequestClass requestClass);

private:
    RetryBudget &budgetOf(const ServiceName &service);

    RetryTerms m_terms;
    double m_reserve = leastReserve;
    std::map<ServiceName, RetryBudget> m_budgets;
};

} // namespace bulrush

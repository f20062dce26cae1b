#pragma once

#include "request/requestpolicy.h"

namespace bulrush {

/**
 * Limits retries to a fraction of the traffic. Each first attempt adds that fraction of a retry to
 * the budget, each retry takes one, and the unused budget is bounded.
 *
 * Only the daemon that received the request from its caller has a budget, so that retries do not
 * multiply over several hops. Not thread safe.
 */
class RetryBudget
{
public:
    /** At most one retry for each ten requests. */
    static constexpr double defaultFraction = 0.1;
    static constexpr double defaultReserve = 10.0;

    /**
     * The budget is empty at first: a daemon that has just started must send requests before it may
     * retry any. \pre 0 <= \a fraction and 0 <= \a reserve
     */
    explicit RetryBudget(double fraction = defaultFraction, double reserve = defaultReserve);

    /** Sets the maximum of the unused budget. Any excess is lost. */
    void setReserve(double reserve);

    /** Counts a first attempt. */
    void recordFirstAttempt();

    /**
     * Takes one retry from the budget. \returns false, and takes nothing, if there is none. Half of
     * the reserve is kept for priority requests, provided that at least one complete retry remains
     * for the others.
     */
    bool takeRetry(RequestClass requestClass);

private:
    double m_fraction;
    double m_reserve;
    double m_retries = 0.0;
};

} // namespace bulrush

#pragma once

#include "request/requestpolicy.h"

namespace bulrush {

/**
 * Keeps retries to a fraction of traffic. Each first attempt earns that fraction of a retry, each
 * retry spends a whole one, and what is earned and unspent is bounded.
 *
 * Only the daemon that took the request from its caller holds one, so that retries don't multiply
 * over hops. Not thread safe.
 */
class RetryBudget
{
public:
    /** One retry for each ten requests at most. */
    static constexpr double defaultFraction = 0.1;
    static constexpr double defaultReserve = 10.0;

    /**
     * \pre 0 <= \a fraction and 0 <= \a reserve. Starts empty: a fresh daemon retries nothing
     * before it has sent something.
     */
    explicit RetryBudget(double fraction = defaultFraction, double reserve = defaultReserve);

    /** Bounds what may be saved up from now on; what is above it is lost. */
    void setReserve(double reserve);

    /** Counts a first attempt. */
    void recordFirstAttempt();

    /**
     * Spends a retry. \returns false, and spends nothing, if there is none. Half of the reserve is
     * kept for priority requests, as long as a whole retry is left for the others.
     */
    bool takeRetry(RequestClass requestClass);

private:
    double m_fraction;
    double m_reserve;
    double m_retries = 0.0;
};

} // namespace bulrush

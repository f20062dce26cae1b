#pragma once

#include "process/clock.h"
#include "process/shareallocator.h"
#include "process/tokenbucket.h"

namespace bulrush {

/**
 * One daemon's part in limiting an organisation's rate over all entry hosts: it admits requests
 * within the share granted by the leader of its failure domain, and none after the share has
 * expired. Not thread safe.
 */
class RateLimiter
{
public:
    explicit RateLimiter(std::int64_t driftPpm = defaultDriftPpm);

    /** Counts a request. \returns whether it is within the rate. */
    bool admits(Instant now);

    /** \returns the demand to report to the domain leader; the share counts from \a now. */
    ShareDemand demand(Instant now);

    /** Applies a share for a demand made at \a requestedAt. A share older than the last is ignored.
     */
    void applyShareGrant(const ShareGrant &grant, Instant requestedAt, Instant now);

    /** \returns the delay after which a refused caller may retry. */
    Duration retryAfter() const;

    /** \returns the share in effect at \a now. */
    double share(Instant now) const;

private:
    void expire(Instant now);
    void measure(Instant now);

    std::int64_t m_driftPpm;
    TokenBucket m_bucket;
    Fence m_sequence;
    Instant m_validUntil;
    double m_arrivals = 0.0;
    double m_arrivalRate = 0.0;
    Instant m_measuredAt;
};

/**
 * The same for the number of an organisation's concurrent requests. Not thread safe.
 */
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(std::int64_t driftPpm = defaultDriftPpm);

    /** Starts a request. \returns whether it may start; if so, ended() has to be called later. */
    bool start(Instant now);

    /** Records the end of a started request. */
    void ended();

    /** \returns the demand to report to the domain leader. */
    ShareDemand demand();

    /** Applies a share for a demand made at \a requestedAt. */
    void applyShareGrant(const ShareGrant &grant, Instant requestedAt);

    int inFlight() const;

    /** \returns the share in effect at \a now. */
    double share(Instant now) const;

private:
    std::int64_t m_driftPpm;
    Fence m_sequence;
    double m_share = 0.0;
    Instant m_validUntil;
    int m_inFlight = 0;
    int m_refusedSinceDemand = 0;
    int m_maxSinceDemand = 0;
};

inline int ConcurrencyLimiter::inFlight() const
{
    return m_inFlight;
}

inline double ConcurrencyLimiter::share(Instant now) const
{
    return now < m_validUntil ? m_share : 0.0;
}

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "process/shareallocator.h"
#include "process/tokenbucket.h"

namespace bulrush {

/**
 * One daemon's part in keeping an organisation to its rate and its concurrency over all entry
 * hosts: it admits by the shares that the steward of its failure domain gave, and by nothing once
 * they have run out. Not thread safe.
 */
class RateLimiter
{
public:
    explicit RateLimiter(std::int64_t driftPpm = defaultDriftPpm);

    /** A request has come. \returns whether the rate lets it pass. */
    bool admits(Instant now);

    /** \returns what to tell the steward now; the answer's share counts from \a now. */
    ShareDemand demand(Instant now);

    /** A share has come, for a demand told at \a requestedAt. An older one than the last is
     * ignored. */
    void applyShareGrant(const ShareGrant &grant, Instant requestedAt, Instant now);

    /** \returns when a refused caller may come back. */
    Duration retryAfter() const;

    /** \returns the share in force at \a now. */
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
 * The same for the number of an organisation's requests at once. Not thread safe.
 */
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(std::int64_t driftPpm = defaultDriftPpm);

    /** A request has come. \returns whether it may start; if so, ended() is to follow. */
    bool start(Instant now);

    /** A started request has ended. */
    void ended();

    /** \returns what to tell the steward now. */
    ShareDemand demand();

    /** A share has come, for a demand told at \a requestedAt. */
    void applyShareGrant(const ShareGrant &grant, Instant requestedAt);

    int inFlight() const;

    /** \returns the share in force at \a now. */
    double share(Instant now) const;

private:
    std::int64_t m_driftPpm;
    Fence m_sequence;
    double m_share = 0.0;
    Instant m_validUntil;
    int m_inFlight = 0;
    int m_refusedSinceAsked = 0;
    int m_mostSinceAsked = 0;
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

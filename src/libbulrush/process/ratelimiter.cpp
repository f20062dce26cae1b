#include "process/ratelimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrush {

namespace {

/** Factor of the demand above the measured need, which is rounded up to complete requests. */
constexpr double concurrencyHeadroom = 1.1;
constexpr Duration minMeasurementPeriod = std::chrono::milliseconds{100};
/** Time constant for averaging arrivals. */
constexpr Duration averagingPeriod = std::chrono::seconds{4};
/** Deviation, in standard deviations of a Poisson count, above which the demand has changed. */
constexpr double changeThresholdDeviations = 4.0;

double seconds(Duration span)
{
    return std::chrono::duration<double>{span}.count();
}

} // namespace

RateLimiter::RateLimiter(std::int64_t driftPpm)
    : m_driftPpm(driftPpm)
{ }

bool RateLimiter::admits(Instant now)
{
    expire(now);
    ++m_arrivals;
    return m_bucket.take(now);
}

ShareDemand RateLimiter::demand(Instant now)
{
    expire(now);
    measure(now);
    return {m_arrivalRate, 0.0, m_sequence};
}

void RateLimiter::applyShareGrant(const ShareGrant &grant, Instant requestedAt, Instant now)
{
    expire(now);
    if (grant.sequence <= m_sequence)
        return;
    m_sequence = grant.sequence;
    m_validUntil = requestedAt + shortened(grant.length, m_driftPpm);
    m_bucket.setRate(now < m_validUntil ? grant.amount : 0.0, now);
}

Duration RateLimiter::retryAfter() const
{
    return m_bucket.timeUntilToken();
}

double RateLimiter::share(Instant now) const
{
    return now < m_validUntil ? m_bucket.rate() : 0.0;
}

void RateLimiter::expire(Instant now)
{
    if (now >= m_validUntil && m_bucket.rate() > 0.0)
        m_bucket.setRate(0.0, m_validUntil);
}

void RateLimiter::measure(Instant now)
{
    const Duration span = now - m_measuredAt;
    if (span < minMeasurementPeriod)
        return;
    const double arrivals = std::exchange(m_arrivals, 0.0);
    const double expected = m_arrivalRate * seconds(span);
    const double noise = changeThresholdDeviations * std::sqrt(std::max(1.0, expected));
    const bool hasChanged = std::abs(arrivals - expected) > noise;
    const double weight =
        hasChanged ? 1.0 : 1.0 - std::exp(-seconds(span) / seconds(averagingPeriod));
    m_arrivalRate += weight * (arrivals / seconds(span) - m_arrivalRate);
    m_measuredAt = now;
}

ConcurrencyLimiter::ConcurrencyLimiter(std::int64_t driftPpm)
    : m_driftPpm(driftPpm)
{ }

bool ConcurrencyLimiter::start(Instant now)
{
    const bool isValid = now < m_validUntil;
    if (!isValid || m_inFlight + 1 > m_share) {
        ++m_refusedSinceDemand;
        return false;
    }
    ++m_inFlight;
    m_maxSinceDemand = std::max(m_maxSinceDemand, m_inFlight);
    return true;
}

void ConcurrencyLimiter::ended()
{
    --m_inFlight;
}

ShareDemand ConcurrencyLimiter::demand()
{
    const int refused = std::exchange(m_refusedSinceDemand, 0);
    const int most = std::exchange(m_maxSinceDemand, m_inFlight);
    return {std::ceil((most + refused) * concurrencyHeadroom), static_cast<double>(m_inFlight),
            m_sequence};
}

void ConcurrencyLimiter::applyShareGrant(const ShareGrant &grant, Instant requestedAt)
{
    if (grant.sequence <= m_sequence)
        return;
    m_sequence = grant.sequence;
    m_share = grant.amount;
    m_validUntil = requestedAt + shortened(grant.length, m_driftPpm);
}

} // namespace bulrush

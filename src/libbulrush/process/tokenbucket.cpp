#include "process/tokenbucket.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Tolerance for rounding: sums of small fractions fall slightly short of a complete token. */
constexpr double oneToken = 1.0 - 1e-9;

double seconds(Duration span)
{
    return std::chrono::duration<double>{span}.count();
}

} // namespace

TokenBucket::TokenBucket(Duration burstSpan)
    : m_burstSpan(burstSpan)
{ }

void TokenBucket::setRate(double perSecond, Instant now)
{
    refill(now);
    m_rate = perSecond;
    m_tokens = std::min(m_tokens, burst());
}

bool TokenBucket::take(Instant now)
{
    refill(now);
    if (m_tokens < oneToken)
        return false;
    m_tokens = std::max(0.0, m_tokens - 1.0);
    return true;
}

Duration TokenBucket::timeUntilToken() const
{
    constexpr Duration longest = std::chrono::seconds{1};
    const double missing = oneToken - m_tokens;
    if (missing <= 0.0)
        return Duration{};
    if (missing >= m_rate * seconds(longest))
        return longest;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{missing / m_rate});
}

void TokenBucket::refill(Instant now)
{
    m_tokens = std::min(m_tokens + m_rate * seconds(now - m_filledAt), burst());
    m_filledAt = now;
}

double TokenBucket::burst() const
{
    if (m_rate <= 0.0)
        return 0.0;
    const double small = std::min(minBurst, m_rate);
    return std::max({1.0, small, m_rate * seconds(m_burstSpan)});
}

} // namespace bulrush

#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Admits \e rate requests per second, and bursts of unused tokens: up to what the rate yields in
 * \e burstSpan, and more at a low rate, where random arrivals vary more relative to their mean.
 * Not thread safe.
 */
class TokenBucket
{
public:
    /** Tokens that can be saved at any rate, but of no more than one second. */
    static constexpr double minBurst = 32.0;

    /** Starts empty. \a burstSpan is the time for which tokens can be saved. */
    explicit TokenBucket(Duration burstSpan = std::chrono::milliseconds{100});

    /** Changes the rate from \a now on. Tokens beyond the new burst are dropped. */
    void setRate(double perSecond, Instant now);

    /** Takes a token. \returns whether one was available. */
    bool take(Instant now);

    /** \returns the time until a token is available, or one second if the rate is zero. */
    Duration timeUntilToken() const;

    double rate() const;

private:
    void refill(Instant now);
    double burst() const;

    Duration m_burstSpan;
    double m_rate = 0.0;
    double m_tokens = 0.0;
    Instant m_filledAt;
};

inline double TokenBucket::rate() const
{
    return m_rate;
}

} // namespace bulrush

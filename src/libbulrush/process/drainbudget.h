#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * How the time is spent within which a backend server that leaves is to get no more requests. The
 * bound runs from the store's acknowledgement of the server's word to the arrival of a request, so
 * that all hops between share it, and each part is a share of it: the daemon that reads, those that
 * follow it, the choice of a server, the connection, and bytes on a link behind others.
 *
 * Whatever happens on the way, the choice keeps the bound by itself: it goes by when the store was
 * last known to say that the server stays. The parts before it only see to it that this is seldom
 * long ago, as timeouts of single hops add up.
 *
 * Immutable; thread safe.
 */
class DrainBudget
{
public:
    /** The shortest bound of the deployments that are known. */
    static constexpr Duration shortestBound = std::chrono::seconds{2};

    /** \pre \a bound is positive */
    explicit constexpr DrainBudget(Duration bound = shortestBound)
        : m_bound(bound)
    { }

    /** Between two answers of the store to who reads it: one call brings several changes. */
    constexpr Duration readerPause() const
    {
        return part(10);
    }

    /** For how long the store may hold a call of who reads it, so that its silence shows. */
    constexpr Duration readerWait() const
    {
        return part(20);
    }

    /**
     * Knowledge of this age is asked for beside whoever is waited for: at another daemon of the
     * failure domain, so that a reader that froze costs the store one call and not one a daemon.
     */
    constexpr Duration askBesideAfter() const
    {
        return part(40);
    }

    /** Knowledge of this age is confirmed by the store, whoever is waited for. */
    constexpr Duration confirmAfter() const
    {
        return part(50);
    }

    /** For that answer; without it the store is taken to be away from this daemon. */
    constexpr Duration confirmWithin() const
    {
        return part(15);
    }

    /** A server that drains gets requests until this long after it was known to stay. */
    constexpr Duration drainingUse() const
    {
        return part(50);
    }

    /** The same for one that is not known to drain, by knowledge that could be renewed. */
    constexpr Duration unconfirmedUse() const
    {
        return part(70);
    }

    /**
     * Requests that wait for a connection are sent until then. The rest is for bytes on their way:
     * on a link of 10 Mbit/s they wait up to 0.6 s behind uploads.
     */
    constexpr Duration lastSend() const
    {
        return part(75);
    }

private:
    constexpr Duration part(int percent) const
    {
        return m_bound * percent / 100;
    }

    Duration m_bound;
};

static_assert(DrainBudget{}.confirmAfter() + DrainBudget{}.confirmWithin()
              < DrainBudget{}.unconfirmedUse());

} // namespace bulrush

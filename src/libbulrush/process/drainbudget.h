#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Divides the drain bound, which is the time after which a backend server that leaves must not
 * receive any more requests. The bound runs from the store's acknowledgement of the server's
 * announcement to the arrival of a request. All steps in between share it, each with a fraction:
 * the daemon that reads the store, its followers, the selection of a server, the connection, and
 * the time that bytes wait behind others on a link.
 *
 * The selection of a server keeps the bound independently of the steps before it, because it checks
 * when the store last confirmed that the server does not drain. The steps before it only ensure
 * that this is rarely long ago, because the timeouts of the single hops add up.
 *
 * Immutable; thread safe.
 */
class DrainBudget
{
public:
    /** The shortest bound of any known deployment. */
    static constexpr Duration minBound = std::chrono::seconds{2};

    /** \pre \a bound is positive */
    explicit constexpr DrainBudget(Duration bound = minBound)
        : m_bound(bound)
    { }

    /** Interval between two answers to the store's reader, so that one brings several changes. */
    constexpr Duration minReadInterval() const
    {
        return part(10);
    }

    /** Maximum time that the store may hold a reader's call, so that a silent store is detected. */
    constexpr Duration readerPollTimeout() const
    {
        return part(20);
    }

    /**
     * Routing data of this age is also requested from another daemon of the failure domain, while
     * the request to the reader is pending. If the reader hangs, the store thus receives one call
     * instead of one from each daemon.
     */
    constexpr Duration askAlternatesAfter() const
    {
        return part(40);
    }

    /** Routing data of this age is confirmed by the store, whatever other request is pending. */
    constexpr Duration confirmAfter() const
    {
        return part(50);
    }

    /** Timeout of that confirmation, after which the store is considered unreachable from here. */
    constexpr Duration confirmTimeout() const
    {
        return part(15);
    }

    /**
     * A draining server receives requests until this long after the last instant at which it was
     * confirmed not to drain.
     */
    constexpr Duration maxDrainingAge() const
    {
        return part(50);
    }

    /** The same for a server that is not known to drain, if the routing data could be renewed. */
    constexpr Duration maxUnconfirmedAge() const
    {
        return part(70);
    }

    /**
     * A server that announced in an answer to this daemon that it leaves gets requests for its keys
     * until this long after the answer. No reader or follower shares this bound.
     */
    constexpr Duration maxAnnouncedAge() const
    {
        return part(70);
    }

    /**
     * Requests that wait for a connection are sent until then. The rest of the bound is for the
     * transfer: on a link of 10 Mbit/s, bytes wait up to 0.6 s behind uploads.
     */
    constexpr Duration maxSendAge() const
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

static_assert(DrainBudget{}.confirmAfter() + DrainBudget{}.confirmTimeout()
              < DrainBudget{}.maxUnconfirmedAge());

} // namespace bulrush

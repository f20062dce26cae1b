#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Divides the time within which an acknowledged configuration must be in force at all daemons. The
 * time runs from the store's acknowledgement to the first requests routed by the configuration, so
 * all hops in between share it. A daemon acts on the age of its routing data, which is preserved
 * through every hop: a confirmation that nothing has changed counts from when the store gave it.
 *
 * Immutable; thread safe.
 */
class ConfigBudget
{
public:
    /** The shortest bound of all known deployments. */
    static constexpr Duration minBound = std::chrono::seconds{2};

    /** \pre \a bound is positive */
    explicit constexpr ConfigBudget(Duration bound = minBound)
        : m_bound(bound)
    { }

    /** A reader requests a confirmation by the store of routing data of this age. */
    constexpr Duration readerConfirmAfter() const
    {
        return part(40);
    }

    /** Routing data of this age is also requested from daemons other than the one waited for. */
    constexpr Duration askAlternatesAfter() const
    {
        return part(65);
    }

    /**
     * Routing data of this age has to be confirmed by the store; the time that remains is reserved
     * for the transfer of a long configuration.
     */
    constexpr Duration confirmAfter() const
    {
        return part(75);
    }

    /** Timeout of that confirmation; without it the store counts as unreachable for this daemon. */
    constexpr Duration confirmTimeout() const
    {
        return part(20);
    }

    /** Routing data of this age no longer proves that a route does not exist. */
    constexpr Duration maxReliableAge() const
    {
        return m_bound;
    }

private:
    constexpr Duration part(int percent) const
    {
        return m_bound * percent / 100;
    }

    Duration m_bound;
};

static_assert(ConfigBudget{}.confirmAfter() + ConfigBudget{}.confirmTimeout()
              < ConfigBudget{}.maxReliableAge());

} // namespace bulrush

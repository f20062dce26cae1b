#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * How the time is spent within which an acknowledged configuration is to be in force at all
 * daemons. It runs from the store's acknowledgement to the requests that go by it, so that all hops
 * between share it. A daemon goes by the age of what it knows, which passes through every hop: word
 * that nothing has changed counts from when the store gave it.
 *
 * Immutable; thread safe.
 */
class ConfigBudget
{
public:
    /** The shortest bound of the deployments that are known. */
    static constexpr Duration shortestBound = std::chrono::seconds{2};

    /** \pre \a bound is positive */
    explicit constexpr ConfigBudget(Duration bound = shortestBound)
        : m_bound(bound)
    { }

    /** Who reads the store asks whether knowledge of this age still holds. */
    constexpr Duration readerConfirmAfter() const
    {
        return part(40);
    }

    /** Knowledge of this age is asked for beside whoever is waited for. */
    constexpr Duration askBesideAfter() const
    {
        return part(65);
    }

    /** Knowledge of this age is confirmed by the store; the rest is for a long configuration. */
    constexpr Duration confirmAfter() const
    {
        return part(75);
    }

    /** For that answer; without it the store is taken to be away from this daemon. */
    constexpr Duration confirmWithin() const
    {
        return part(20);
    }

    /** By knowledge of this age no route is known not to exist. */
    constexpr Duration doubtAfter() const
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

static_assert(ConfigBudget{}.confirmAfter() + ConfigBudget{}.confirmWithin()
              < ConfigBudget{}.doubtAfter());

} // namespace bulrush

#pragma once

#include "process/clock.h"

namespace bulrush {

/**
 * Divides the evacuation bound, which is the time after which the backend servers of an evacuated
 * failure domain must not receive any more requests. The bound runs from the store's
 * acknowledgement of the operator's request to the arrival of a request at a server. As with
 * DrainBudget, the selection of a server keeps the bound independently of the steps before it.
 *
 * Immutable; thread safe.
 */
class EvacuationBudget
{
public:
    /** The bound if the settings name none. */
    static constexpr Duration defaultBound = std::chrono::seconds{5};

    /** \pre \a bound is positive */
    explicit constexpr EvacuationBudget(Duration bound = defaultBound)
        : m_bound(bound)
    { }

    /**
     * The owner of a key receives requests until this long after the last instant at which its
     * domain was confirmed not to be evacuated. Its keys move to other servers in the meantime.
     */
    constexpr Duration maxOwnerAge() const
    {
        return part(45);
    }

    /**
     * Without newer data no server is used after this time, if the data could be renewed, because
     * any domain may be evacuated.
     */
    constexpr Duration maxUnconfirmedAge() const
    {
        return part(60);
    }

    /** Requests that wait for a connection are sent until then; the rest is for the transfer. */
    constexpr Duration maxSendAge() const
    {
        return part(65);
    }

private:
    constexpr Duration part(int percent) const
    {
        return m_bound * percent / 100;
    }

    Duration m_bound;
};

} // namespace bulrush

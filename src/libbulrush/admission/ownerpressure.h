#pragma once

#include "admission/keyshares.h"
#include "process/clock.h"

#include <map>
#include <optional>
#include <span>
#include <utility>

namespace bulrush {

/**
 * The load of those owners of keys that are near or above their capacity, as the planner stated it
 * last. A statement expires after KeyGate::validity, as the shares do that come with it.
 *
 * Not thread safe.
 */
class OwnerPressure
{
public:
    /** Demand as a fraction of the capacity, by owner. */
    using Loads = std::map<std::pair<ServiceName, ServerName>, double>;

    /** Replaces all statements by those in \a shares. */
    void set(std::span<const KeyShares> shares, Instant now);

    /**
     * \returns the demand for \a server as a fraction of its capacity, or nothing if the planner
     * has not named it lately: then it is not near its capacity, or nothing is known of it.
     */
    std::optional<double> of(const ServiceName &service, const ServerName &server,
                             Instant now) const;

    /** \returns all statements that have not expired. */
    Loads loads(Instant now) const;

private:
    bool isExpired(Instant now) const;

    Loads m_loads;
    Instant m_receivedAt;
};

} // namespace bulrush

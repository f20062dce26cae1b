#pragma once

#include "pacing/serverpace.h"
#include "process/routingstate.h"
#include "process/servergauges.h"
#include "version/identifier.h"

namespace bulrush {

/**
 * Begins the slow start of servers that are or were cold, by the data that this daemon has about
 * the servers and the other daemons. Servers whose records state no cold time, in a service without
 * a cold rate, are ignored.
 *
 * Stateless and thread safe.
 */
class ColdStarts
{
public:
    /** \a self is the host of this daemon. */
    explicit ColdStarts(HostName self);

    /** Begins the slow start of each cold server of \a state that had none, in \a gauges. */
    void begin(const RoutingState &state, ServerGauges &gauges, Instant now) const;

private:
    PaceFleet fleetFor(const RoutingState &state, const KnownServer &server,
                       const ServerGauges &gauges) const;

    HostName m_self;
};

} // namespace bulrush

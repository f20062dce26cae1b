#pragma once

#include "process/endpoint.h"
#include "version/identifier.h"

namespace bulrush {

/** A daemon that other daemons may relay requests through. */
struct RelayDaemon
{
    HostName host;
    DomainName domain;
    /** Receives relayed requests. */
    Endpoint address;
    /** CPU capacity of its host, in cores, as it announces. */
    double processors = 1.0;

    bool operator==(const RelayDaemon &) const = default;
};

} // namespace bulrush

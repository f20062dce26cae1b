#pragma once

#include "process/configbudget.h"
#include "process/daemonsettings.h"
#include "process/drainbudget.h"
#include "process/endpoint.h"
#include "process/retrybudgets.h"
#include "version/identifier.h"

#include <string>

namespace bulrush {

/** All that an entry daemon on the users' platform knows of its surroundings when it starts. */
struct EntrySettings
{
    HostName host;
    DomainName domain;
    /** Callers' requests, behind the platform's balancer. */
    Endpoint callers;
    /** Messages of other daemons; its port is told to them, so it can't be left to the host. */
    Endpoint peers;
    /** Readiness, metrics and status. */
    Endpoint operators;
    /** A second address for the operators' pages, on a port that does not change; port 0: none. */
    Endpoint metrics;
    /** The platform's metadata store. */
    Endpoint store;
    /** How long a graceful shutdown lets requests in flight go on. */
    Duration drainTime = std::chrono::milliseconds{5500};
    /** How long after its word a backend server that leaves may still get requests. */
    Duration serverDrain = DrainBudget::shortestBound;
    /** How long after its acknowledgement a configuration is in force at the latest. */
    Duration configInForce = ConfigBudget::shortestBound;
    CallerLimits limits;
    /** What the host has of processors, in cores. */
    double processors = 1.0;
    /** What the host's link carries, in megabits a second. */
    double linkMegabits = 1000.0;
    /** What all daemons together may repeat. */
    RetryTerms retries;
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const EntrySettings &) const = default;
};

} // namespace bulrush

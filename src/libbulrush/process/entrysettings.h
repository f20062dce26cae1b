#pragma once

#include "process/configbudget.h"
#include "process/daemonsettings.h"
#include "process/drainbudget.h"
#include "process/endpoint.h"
#include "process/evacuationbudget.h"
#include "process/recordlifetime.h"
#include "process/retrybudgets.h"
#include "version/identifier.h"

#include <cstdint>
#include <string>

namespace bulrush {

/** Settings of an entry daemon on the users' platform at startup. */
struct EntrySettings
{
    HostName host;
    DomainName domain;
    /** Requests of callers, forwarded by the platform's load balancer. */
    Endpoint callers;
    /** Messages of other daemons. Its port is announced to them and must therefore not be 0. */
    Endpoint peers;
    /** Requests that other daemons relay. It is announced to them; port 0 means none are taken. */
    Endpoint relays;
    /** Readiness, metrics and status. */
    Endpoint operators;
    /** Second address for the operators' pages, with a fixed port; port 0 means none. */
    Endpoint metrics;
    /**
     * The address from which connections to servers, daemons and the store leave; if it is empty,
     * the system chooses. Its port is not used.
     */
    Endpoint outgoing;
    /** The platform's metadata store. */
    Endpoint store;
    /** Time that a graceful shutdown gives to requests in flight. */
    Duration drainTime = std::chrono::milliseconds{5500};
    /** Time after its announcement during which a backend server that leaves may get requests. */
    Duration serverDrain = DrainBudget::minBound;
    /** The records of backend servers in the store. */
    RecordLifetime serverRecords;
    /** Maximum time from the acknowledgement of a configuration until it is in force. */
    Duration configInForce = ConfigBudget::minBound;
    /** Maximum time until servers of an evacuated failure domain get no more requests. */
    Duration evacuation = EvacuationBudget::defaultBound;
    CallerLimits limits;
    /** Number of processor cores of the host. */
    double processors = 1.0;
    /** Bandwidth of the host's network link, in megabits per second. */
    double linkMegabits = 1000.0;
    /** Memory of the host, which the process must not exceed. The smallest host's by default. */
    std::uint64_t memoryBytes = 120'000'000;
    /** Retries that all daemons together may send. */
    RetryAllowance retries;
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const EntrySettings &) const = default;
};

} // namespace bulrush

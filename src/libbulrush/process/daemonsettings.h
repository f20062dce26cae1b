#pragma once

#include "process/clock.h"
#include "process/endpoint.h"
#include "version/fieldproblem.h"
#include "version/identifier.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/** Addresses on which a daemon listens. */
struct ListenAddresses
{
    /** Requests of callers, forwarded by the platform's load balancer. */
    Endpoint callers;
    /** Messages and relayed requests of other daemons. */
    Endpoint peers;
    /** Metrics, health and status. */
    Endpoint operators;

    bool operator==(const ListenAddresses &) const = default;
};

/** Another entry host that a daemon may contact at startup. */
struct PeerSeed
{
    HostName host;
    DomainName domain;
    /** Its address for peers. */
    Endpoint address;

    bool operator==(const PeerSeed &) const = default;
};

/** Backend server to which requests may be sent. */
struct BackendServer
{
    ServerName name;
    DomainName domain;
    ServiceName service;
    Endpoint address;
    /** Number of requests that it processes concurrently. */
    std::uint32_t slots = 0;
    std::uint32_t connectionLimit = 0;
    /** Whether it compares the fencing token of an order with the grant that it holds. */
    bool checksFence = false;

    bool operator==(const BackendServer &) const = default;
};

/** Validity of leases, promises and requests; docs/settings.md explains the time budget. */
struct LeaseTimings
{
    /** Duration of a domain leader's lease from each renewal of its row. */
    Duration stewardLease = std::chrono::milliseconds{1200};
    /** Time for which a daemon may send requests for slices after the domain leader's answer. */
    Duration routingLease = std::chrono::milliseconds{800};
    /** Time for which a candidate promises not to take over leadership in a platform outage. */
    Duration promise = std::chrono::seconds{10};
    /** Maximum deadline of requests for a service that is divided by key. */
    Duration deadlineCap = std::chrono::milliseconds{1000};
    /** Interval at which leases are renewed. */
    Duration renewEvery = std::chrono::milliseconds{250};
    /** Maximum difference in rate between the clocks of two hosts, in parts per million. */
    std::int64_t driftPpm = defaultDriftPpm;

    bool operator==(const LeaseTimings &) const = default;
};

/** Limits for the requests of one caller. */
struct CallerLimits
{
    std::uint64_t maxBodyBytes = std::uint64_t{128} << 20;
    std::uint64_t maxHeaderBytes = std::uint64_t{16} << 10;
    /** Maximum time until the complete header of a request has arrived. */
    Duration headerTime = std::chrono::seconds{5};

    bool operator==(const CallerLimits &) const = default;
};

/** Minimum severity of the log lines that are written. */
enum class LogLevel { Debug, Info, Warning, Error };

/** Settings of a daemon at startup. */
struct DaemonSettings
{
    HostName host;
    DomainName domain;
    ListenAddresses addresses;
    /** Endpoints of the platform, tried in order. */
    std::vector<Endpoint> platform;
    /** All failure domains, including the daemon's own. */
    std::vector<DomainName> domains;
    /** May include the daemon's own host, which is ignored. */
    std::vector<PeerSeed> seeds;
    std::vector<BackendServer> servers;
    LeaseTimings leases;
    /** Time that a graceful shutdown gives to requests in flight. */
    Duration drainTime = std::chrono::seconds{60};
    CallerLimits limits;
    /** Number of traffic threads, in addition to the control thread. */
    std::uint32_t trafficThreads = 2;
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const DaemonSettings &) const = default;
};

/** Maximum time after a loss until a key is served again. */
constexpr Duration recoveryBound = std::chrono::seconds{4};

/**
 * \returns the maximum time from the simultaneous loss of a domain leader and a server until the
 * new leader may grant the server's slices to others. It is the sum of the leader's lease, the last
 * routing lease that it gave and the last deadline of requests sent under that, each lengthened by
 * the clock drift.
 */
Duration recoveryBudget(const LeaseTimings &leases);

/**
 * Checks conditions that involve several fields, such as the order of lease durations.
 * \returns all problems; none if a daemon can start with \a settings. Thread safe.
 */
FieldProblems problemsOf(const DaemonSettings &settings);

} // namespace bulrush

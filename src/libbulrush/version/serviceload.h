#pragma once

#include "admission/admissiontraffic.h"
#include "connection/servicetimeestimate.h"
#include "version/keyloads.h"
#include "version/priorityloads.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bulrush {

/** Measurements of one server by a daemon since its last report. */
struct ServerWork
{
    ServerName server;
    /** Mean service time of requests that did not queue at the server. */
    Duration meanTime{};
    std::uint32_t count = 0;

    bool operator==(const ServerWork &) const = default;
};

/** What a server last stated about its limit, as a daemon reports it. */
struct LimitReport
{
    ServerName server;
    /** Requests per second that it takes from all daemons together; nothing if it has no limit. */
    std::optional<double> perSecond;
    /** Age of the answer in which the server stated this. */
    Duration statedAgo{};

    bool operator==(const LimitReport &) const = default;
};

/** Requests that a daemon refused since its last report because their server asked for a backoff.
 */
struct BackoffReport
{
    ServerName server;
    std::uint32_t refusedCount = 0;
    /** Until the end of the backoff. */
    Duration left{};

    bool operator==(const BackoffReport &) const = default;
};

/** Measurements of a service that is divided by key, by a daemon since its last report. */
struct LoadSample
{
    ServiceName service;
    /** The key of each request. */
    std::vector<KeyPosition> keys;
    std::vector<ServerWork> work;
    /** Servers at whose address another server answered. */
    std::vector<ServerName> ended;
    std::vector<LimitReport> limits = {};
    /** Servers that announced in an answer that they leave. */
    std::vector<ServerName> leaving = {};
    std::vector<BackoffReport> backoffs = {};
    /**
     * The priority of each request, in the order of \a keys. Empty if the routes to the service
     * have only one priority, and from daemons of older versions.
     */
    std::vector<std::uint32_t> priorities = {};

    bool operator==(const LoadSample &) const = default;
};

/**
 * The load of one service as reported by all daemons: the request rates of its keys, and the speed
 * of its servers.
 *
 * Not thread safe.
 */
class ServiceLoad
{
public:
    /** Half-life of the regular rates, long enough that random variation does not move keys. */
    static constexpr Duration steadyHalfLife = std::chrono::seconds{6};
    /** Half-life that detects keys that become hot, or cool down, within one to two seconds. */
    static constexpr Duration spikeHalfLife = std::chrono::milliseconds{1200};
    /** A key is hot if it gets at least this rate, in requests per second. */
    static constexpr double hotRate = 3.0;
    /** Assumed service time while there are no measurements. */
    static constexpr Duration defaultWorkTime = std::chrono::milliseconds{200};
    /**
     * A limit that no daemon has heard of for this long is ignored, because a server without keys
     * gets no requests and thus cannot state that its limit has ended.
     */
    static constexpr Duration limitValidity = std::chrono::seconds{10};

    /**
     * A server that asked for pauses loses its keys if at least this fraction of their requests are
     * refused for that: those that are served elsewhere then outweigh the moves.
     */
    static constexpr double minRefusedFraction = 0.4;
    /** Requests refused per second from which on that fraction is significant. */
    static constexpr double minRefusedRate = 1.0;
    /** Keys do not move for a pause that ends sooner, as a move takes about as long. */
    static constexpr Duration minBackoff = std::chrono::milliseconds{700};
    /**
     * If a server asks for a pause again within this time after it got keys back, it is without
     * keys for twice as long as before.
     */
    static constexpr Duration relapsePeriod = std::chrono::seconds{5};
    /**
     * After this time such a server gets keys whatever it asked for, as the planner does not hear
     * that an operator has ended a backoff.
     */
    static constexpr Duration maxTimeWithoutKeys = std::chrono::seconds{30};

    /** For this long after its limit has ended, a server counts as recovered. */
    static constexpr Duration recoveryPeriod = std::chrono::seconds{10};

    explicit ServiceLoad(Instant start);

    void add(const LoadSample &sample, Instant now);

    /** \returns the request rates by key and the period that they cover. */
    KeyTraffic traffic(Instant now);

    /**
     * \returns the request rates by key and priority. While daemons state only one priority, these
     * are the rates that traffic() returns.
     */
    AdmissionTraffic admissionTraffic(Instant now);

    /**
     * \returns the service time of a request at \a server. With few measurements it is close to the
     * mean over all servers.
     */
    Duration workTime(const ServerName &server) const;

    /** \returns the requests per second that \a server takes, if it names a limit. */
    std::optional<double> limitOf(const ServerName &server, Instant now) const;

    /** \returns whether \a server named a limit that has ended, or expired, recently. */
    bool isRecovered(const ServerName &server, Instant now) const;

    /** \returns whether a server asked for a pause that some daemon has reported. */
    bool hasBackoffs() const;

    /**
     * \returns the servers that are to have no keys because they asked for pauses. \a demand is the
     * number of requests per second for the keys of each server.
     */
    std::set<ServerName> serversBackingOff(const std::map<ServerName, double> &demand, Instant now);

private:
    struct Speed
    {
        double meanNs = 0.0;
        double weight = 0.0;
    };

    /** The latest statement of a server about its limit. */
    struct Limit
    {
        std::optional<double> perSecond;
        Instant statedAt;
    };

    /** The pauses that a server asked for. */
    struct ServerBackoff
    {
        /** Refused requests, with a half-life of spikeHalfLife. */
        double refusals = 0.0;
        Instant countedAt;
        /** The latest end of the pauses that daemons have reported. */
        Instant end;
        /** The server is without keys from then until withoutKeysUntil. */
        Instant withoutKeysSince;
        Instant withoutKeysUntil;
    };

    double meanTime() const;
    void addBackoff(const BackoffReport &report, Instant now);
    static double refusedRate(const ServerBackoff &backoff, Instant now);
    static bool isWithoutKeys(ServerBackoff &backoff, double demand, Instant now);
    void addLimit(const LimitReport &report, Instant now);

    KeyLoads m_steady;
    KeyLoads m_spikes;
    PriorityLoads m_priorities{steadyHalfLife};
    std::map<ServerName, Speed> m_speeds;
    std::map<ServerName, Limit> m_limits;
    std::map<ServerName, ServerBackoff> m_backoffs;
};

} // namespace bulrush

#pragma once

#include "connection/servicetimeestimate.h"
#include "version/keyloads.h"

#include <map>
#include <optional>
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

/** Measurements of a service that is divided by key, by a daemon since its last report. */
struct LoadSample
{
    ServiceName service;
    /** The key of each request. */
    std::vector<KeyPosition> keys;
    std::vector<ServerWork> work;
    /** Servers at whose address another server answered. */
    std::vector<ServerName> ended;

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

    explicit ServiceLoad(Instant start);

    void add(const LoadSample &sample, Instant now);

    /** \returns the request rates by key and the period that they cover. */
    KeyTraffic traffic(Instant now);

    /**
     * \returns the service time of a request at \a server. With few measurements it is close to the
     * mean over all servers.
     */
    Duration workTime(const ServerName &server) const;

private:
    struct Speed
    {
        double meanNs = 0.0;
        double weight = 0.0;
    };

    double meanTime() const;

    KeyLoads m_steady;
    KeyLoads m_spikes;
    std::map<ServerName, Speed> m_speeds;
};

} // namespace bulrush

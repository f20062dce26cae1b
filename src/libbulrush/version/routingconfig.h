#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** Determines whether the requests of a route may be retried. */
enum class RequestKind {
    Idempotent, ///< may be executed more than once
    RunOnce,    ///< is executed at most once for each attempt of a caller
    Upload,     ///< like RunOnce, with a large body
};

/** Service that receives a share of the requests of a route. */
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 0;

    bool operator==(const WeightedService &) const = default;
};

/** Destination of requests whose path begins with a prefix. */
struct Route
{
    std::string name;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::RunOnce;
    /** Maximum time that a caller waits for an answer, if the route sets one. */
    std::optional<Duration> timeout;
    /** Time within which an answer has its full value to the caller. */
    Duration targetLatency = std::chrono::seconds{1};
    /** Priority of its requests; 0 is the highest. */
    std::uint32_t priority = 0;
    /** Contains at least one service. */
    std::vector<WeightedService> split;
    /** Maximum number of servers to which one attempt of a caller may be sent. */
    std::uint32_t maxAttempts = 1;

    bool operator==(const Route &) const = default;
};

/** Routes for one value of the Host field. */
struct RoutedHost
{
    std::string host;
    std::vector<Route> routes;

    bool operator==(const RoutedHost &) const = default;
};

/** How servers of a service behave for some time after their start. */
struct ColdStart
{
    /** How long a server is cold; 0 if the configuration does not say. */
    Duration duration{};
    /** Requests per second, from all daemons together, that a cold server bears. */
    double rate = 0.0;

    bool operator==(const ColdStart &) const = default;
};

/** Service to which requests are routed. */
struct RoutedService
{
    ServiceName name;
    bool isDividedByKey = false;
    /** Maximum number of connections that one of its servers accepts, over all callers. */
    std::uint32_t connectionLimit = 0;
    /** Set if cold servers of the service bear only few requests. */
    std::optional<ColdStart> coldStart = std::nullopt;

    bool operator==(const RoutedService &) const = default;
};

/** Limits on the size and duration of callers' requests. */
struct RoutingLimits
{
    std::uint64_t headerBytes = std::uint64_t{16} << 10;
    std::uint64_t bodyBytes = std::uint64_t{64} << 20;
    Duration headerTime = std::chrono::seconds{3};
    /** Maximum time that a caller's connection may stay idle. */
    Duration idleTime = std::chrono::seconds{15};

    bool operator==(const RoutingLimits &) const = default;
};

/** One complete version of the operators' configuration. */
struct RoutingConfig
{
    /** Increases with each configuration. */
    std::uint64_t version = 0;
    std::vector<RoutedService> services;
    std::vector<RoutedHost> hosts;
    RoutingLimits limits;

    bool operator==(const RoutingConfig &) const = default;
};

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/**
 * Service times by route and server, for services whose routes differ. A daemon sends few requests
 * of one route to one server, so that a time is the product of two estimates that it measures
 * often: the time of the route on an average server, and the speed of the server.
 *
 * Both follow the measurements, each of which counts for at most three times the estimate: of 100
 * requests, three take seven times the mean, and would otherwise move it by a third each.
 *
 * Not thread safe. Instants never decrease.
 */
class RouteTimes
{
public:
    /** Number of measurements after which an estimate is used. */
    static constexpr int minMeasurements = 8;
    /** Upper bound of a measurement, relative to the estimate. */
    static constexpr double maxRatio = 3.0;
    /** Routes whose times differ by less are not told apart; the estimates are not more accurate.
     */
    static constexpr double minDifference = 1.2;

    /** Records that a request by \a route took \a time at \a server, without waiting there. */
    void record(const ServiceName &service, const ServerName &server, std::string_view route,
                Duration time, Instant now);

    /**
     * \returns the service time of requests by \a route at \a server; nothing if it is unknown, or
     * if the routes of \a service do not differ.
     */
    std::optional<Duration> time(const ServiceName &service, const ServerName &server,
                                 std::string_view route) const;

    /** Removes routes and servers without measurements for a minute. */
    void removeIdle(Instant now);

private:
    struct Estimate
    {
        double value = 0.0;
        int count = 0;
        Instant recordedAt;

        void add(double measured, Instant now);
    };

    struct Service
    {
        /** In nanoseconds. */
        std::map<std::string, Estimate, std::less<>> routes;
        /** Time relative to that of the route. */
        std::map<ServerName, Estimate> servers;
    };

    static bool doRoutesDiffer(const Service &service);

    std::map<ServiceName, Service> m_services;
};

} // namespace bulrush

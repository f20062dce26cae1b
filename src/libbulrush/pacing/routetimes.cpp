#include "pacing/routetimes.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Weight of a measurement once there are many; the first ones weigh more. */
constexpr double gain = 1.0 / 16.0;
constexpr Duration idleRetention = std::chrono::minutes{1};

} // namespace

void RouteTimes::Estimate::add(double measured, Instant now)
{
    recordedAt = now;
    ++count;
    if (count == 1) {
        value = measured;
        return;
    }
    const double bounded = std::min(measured, value * maxRatio);
    value += std::max(gain, 1.0 / count) * (bounded - value);
}

void RouteTimes::record(const ServiceName &service, const ServerName &server,
                        std::string_view route, Duration time, Instant now)
{
    Service &known = m_services[service];
    auto ofRoute = known.routes.find(route);
    if (ofRoute == known.routes.end())
        ofRoute = known.routes.try_emplace(std::string{route}).first;
    Estimate &ofServer = known.servers[server];
    const double speed = ofServer.count >= minMeasurements ? ofServer.value : 1.0;
    const double measured = static_cast<double>(time.count());
    ofRoute->second.add(measured / speed, now);
    if (ofRoute->second.count >= minMeasurements && ofRoute->second.value > 0.0)
        ofServer.add(measured / ofRoute->second.value, now);
}

std::optional<Duration> RouteTimes::time(const ServiceName &service, const ServerName &server,
                                         std::string_view route) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || !doRoutesDiffer(known->second))
        return std::nullopt;
    const auto ofRoute = known->second.routes.find(route);
    if (ofRoute == known->second.routes.end() || ofRoute->second.count < minMeasurements)
        return std::nullopt;
    const auto ofServer = known->second.servers.find(server);
    const bool isServerKnown =
        ofServer != known->second.servers.end() && ofServer->second.count >= minMeasurements;
    const double speed = isServerKnown ? ofServer->second.value : 1.0;
    return Duration{static_cast<std::int64_t>(ofRoute->second.value * speed)};
}

/** \returns whether the times of the measured routes differ by more than their error. */
bool RouteTimes::doRoutesDiffer(const Service &service)
{
    double least = 0.0;
    double most = 0.0;
    for (const auto &[route, estimate] : service.routes) {
        if (estimate.count < minMeasurements)
            continue;
        least = least == 0.0 ? estimate.value : std::min(least, estimate.value);
        most = std::max(most, estimate.value);
    }
    return least > 0.0 && most >= least * minDifference;
}

void RouteTimes::removeIdle(Instant now)
{
    const auto isIdle = [now](const auto &entry) {
        return now - entry.second.recordedAt > idleRetention;
    };
    for (auto &[name, service] : m_services) {
        std::erase_if(service.routes, isIdle);
        std::erase_if(service.servers, isIdle);
    }
    std::erase_if(m_services, [](const auto &entry) { return entry.second.routes.empty(); });
}

} // namespace bulrush

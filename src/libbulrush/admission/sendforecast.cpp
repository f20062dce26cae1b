#include "admission/sendforecast.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Accuracy of the end of a pause; requests are dispatched every 15 ms. */
constexpr Duration pauseAccuracy = std::chrono::milliseconds{5};
/** After this time without answers, the rate is the one that the window allows. */
constexpr Duration completionsDecayTime = std::chrono::minutes{1};

std::optional<Duration> intervalOf(double rate)
{
    if (rate <= 0.0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate));
}

/** \returns the time until the pause after the last request ends; at most \a horizon. */
Duration pauseLeft(const ServerGauges &gauges, const ServerRecord &server, Duration horizon,
                   Instant now)
{
    if (!gauges.hasRoom(server, now + horizon))
        return horizon;
    Duration closed{};
    Duration open = horizon;
    while (open - closed > pauseAccuracy) {
        const Duration middle = (open + closed) / 2;
        (gauges.hasRoom(server, now + middle) ? open : closed) = middle;
    }
    return open;
}

/** \returns the rate with requests at the server that have no answer yet. */
double rateAhead(const ServerGauges &gauges, const ServerRecord &server, Instant sentAt,
                 Instant now)
{
    const std::optional<Duration> measured = gauges.serviceTime(server.id);
    double rate = gauges.completionRate(server.id, now);
    if (measured) {
        const double seconds = std::chrono::duration<double>(*measured).count();
        rate = std::min(rate, std::max(1U, server.slots) / seconds);
        // Of several requests, the oldest will be answered first, and its age is considered.
        if (gauges.inFlight(server.id) > 1)
            return rate;
    }
    const Instant answeredAt = sentAt + measured.value_or(ServerGauges::defaultServiceTime);
    return answeredAt > now ? std::min(rate, gauges.completionRate(server.id, answeredAt)) : rate;
}

} // namespace

Duration SendForecast::wait(double before) const
{
    return first
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval) * before);
}

std::optional<SendForecast> forecastSends(const ServerGauges &gauges, const ServerRecord &server,
                                          Instant sentAt, Duration horizon, Instant now)
{
    if (gauges.inFlight(server.id) > 0) {
        const auto interval = intervalOf(rateAhead(gauges, server, sentAt, now));
        if (!interval)
            return std::nullopt;
        return SendForecast{*interval, *interval, false};
    }
    if (gauges.hasRoom(server, now))
        return std::nullopt; // it is not the window that keeps requests from the server
    const auto interval = intervalOf(gauges.completionRate(server.id, now + completionsDecayTime));
    if (!interval)
        return std::nullopt;
    return SendForecast{pauseLeft(gauges, server, horizon, now), *interval, true};
}

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "process/servergauges.h"

#include <optional>

namespace bulrush {

/** When a daemon can send the requests that wait for one server. */
struct SendForecast
{
    /** Time until the first of them can be sent. */
    Duration first{};
    /** Time between one and the next. */
    Duration interval{};
    /** Whether the window opens at a known instant, independent of the answers to come. */
    bool isCertain = false;

    /** \returns the time until a request with \a before others ahead of it can be sent. */
    Duration wait(double before) const;
};

/**
 * Forecasts when this daemon, whose window for \a server is full, can send there again. \a sentAt
 * is the instant of its last request there. \a horizon bounds SendForecast::first.
 *
 * ServerGauges::completionRate() states the rate by what has been answered up to now. It falls
 * while requests at the server have no answer yet, and while a single completion decays. A request
 * that waits would therefore be accepted on arrival, and given up some tenths of a second later.
 * The forecast uses the rate as it will be when the request at the server has run for the usual
 * time, and the instant at which a pause between requests ends.
 *
 * \returns nothing if no rate is known. Thread safe if \a gauges is not changed meanwhile.
 */
std::optional<SendForecast> forecastSends(const ServerGauges &gauges, const ServerRecord &server,
                                          Instant sentAt, Duration horizon, Instant now);

} // namespace bulrush

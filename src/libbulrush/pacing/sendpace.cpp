#include "pacing/sendpace.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace bulrush {

namespace {

/** \returns a number from \a low to \a high that depends on the daemon and the event. */
double spread(double low, double high, const SendPace::Sharing &sharing, Instant now)
{
    const std::array<std::uint64_t, 2> event = {
        sharing.seed, static_cast<std::uint64_t>(now.time_since_epoch().count())};
    const std::uint64_t hash = XXH3_64bits(event.data(), sizeof event);
    const double fraction =
        static_cast<double>(hash >> 11U) / static_cast<double>(std::uint64_t{1} << 53U);
    return low + (high - low) * fraction;
}

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

} // namespace

bool SendPace::isNeeded(std::size_t daemonCount, std::uint32_t slots)
{
    return daemonCount > std::size_t{std::max(1U, slots)} * (1 + queuePerSlot);
}

void SendPace::recordReport(const ServerLoad &load, const Sharing &sharing, Instant now)
{
    m_slots = std::max(1U, load.slots);
    m_wasLong = load.waiting >= longQueue;
    if (load.waiting == 0) {
        m_freeAt = now;
        return;
    }
    const double present = static_cast<double>(load.running) + static_cast<double>(load.waiting);
    const Duration drain = scaled(sharing.serviceTime, present / m_slots);
    Duration wait = scaled(drain, spread(0.5, 1.0, sharing, now));
    if (m_wasLong)
        wait = std::max(wait, scaled(turn(sharing), spread(0.5, 1.0, sharing, now)));
    m_freeAt = now + wait;
}

void SendPace::recordFull(const Sharing &sharing, Instant now)
{
    // Those that found a full queue return over a longer time than those that were served, as the
    // requests of those are still waiting.
    const Duration wait = m_wasLong
        ? scaled(turn(sharing), spread(0.5, 1.5, sharing, now))
        : scaled(sharing.serviceTime, spread(1.0, 2.0, sharing, now) / m_slots);
    m_wasLong = true;
    m_freeAt = now + wait;
}

/** \returns the time in which the server handles one request of each daemon. */
Duration SendPace::turn(const Sharing &sharing) const
{
    const double daemons = static_cast<double>(std::max<std::size_t>(1, sharing.daemonCount));
    return std::min(maxTurn, scaled(sharing.serviceTime, daemons / m_slots));
}

} // namespace bulrush

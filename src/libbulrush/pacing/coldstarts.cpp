#include "pacing/coldstarts.h"

#include <xxhash.h>

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

/** \returns a number from 0 to 1 that differs between daemons and between servers. */
double placeOf(const HostName &self, const ServerName &server)
{
    const std::string &host = self.value();
    const std::string &name = server.value();
    const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
    return static_cast<double>(XXH3_64bits_withSeed(host.data(), host.size(), seed))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/**
 * \returns the mean of the measured service times of \a servers; zero if there are none. The
 * machine of a new server may be a fast or a slow one, so that the mean is the least wrong.
 */
Duration typicalTime(const std::vector<KnownServer> &servers, const ServerName &except,
                     const ServerGauges &gauges)
{
    Duration total{};
    std::int64_t count = 0;
    for (const KnownServer &server : servers) {
        const std::optional<Duration> time = gauges.serviceTime(server.record.id);
        if (!time || server.record.id == except)
            continue;
        total += *time;
        ++count;
    }
    return count == 0 ? Duration::zero() : total / count;
}

} // namespace

ColdStarts::ColdStarts(HostName self)
    : m_self(std::move(self))
{ }

void ColdStarts::begin(const RoutingState &state, ServerGauges &gauges, Instant now) const
{
    for (const auto &[service, servers] : state.servers) {
        if (!gauges.usesServerPace(service, now))
            continue;
        for (const KnownServer &server : servers) {
            if (!ServerPace::isStarting(server, now))
                continue;
            const PaceFleet fleet = fleetFor(state, server, gauges);
            if (const auto terms = ServerPace::startTerms(server, fleet, now))
                gauges.beginPace(server.record.id, *terms, now);
        }
    }
}

PaceFleet ColdStarts::fleetFor(const RoutingState &state, const KnownServer &server,
                               const ServerGauges &gauges) const
{
    PaceFleet fleet;
    fleet.daemonCount = state.daemonCount;
    fleet.rank = state.slowStartRank(server.record.id);
    fleet.place = placeOf(m_self, server.record.id);
    fleet.reference = typicalTime(state.serversOf(server.record.service), server.record.id, gauges);
    fleet.isSpread = !state.assignments.contains(server.record.service);
    return fleet;
}

} // namespace bulrush

#include "hostadmission.h"

#include "entrycounters.h"
#include "process/logging.h"
#include "refusal.h"

#include <algorithm>
#include <cmath>

namespace bulrush {

namespace {

/** Requests of other daemons at a time for each core, as they must not displace own callers. */
constexpr double openRelaysPerCore = 200.0;
/** Even the weakest host helps a cut-off one with some of its requests. */
constexpr std::size_t minOpenRelays = 10;

} // namespace

HostAdmission::HostAdmission(double processors, EntryCounters &counters)
    : m_counters(counters)
    , m_maxOpenRelays(maxOpenRelaysOf(processors))
{ }

void HostAdmission::setRoutes(const RoutingConfig &config)
{
    m_overload.setRoutes(config);
}

void HostAdmission::recordDelay(Instant readyAt, Instant now)
{
    m_overload.recordDelay(now - readyAt);
}

void HostAdmission::update(Duration period, Instant now)
{
    const Duration lateness = m_updatedAt ? now - *m_updatedAt - period : Duration::zero();
    m_updatedAt = now;
    const HostOverload::Change change = m_overload.update(lateness, now);
    if (change == HostOverload::Change::None)
        return;
    const std::uint64_t refused = m_counters.value(EntryCounter::RefusedOverloaded);
    if (change == HostOverload::Change::Began) {
        m_overloadedSince = now;
        m_refusedBefore = refused;
        m_counters.add(EntryCounter::HostOverloads);
        io::logEvent(LogLevel::Warning, "host-overloaded",
                     {{"lag-ms", io::millisecondsText(m_overload.lag())}});
        return;
    }
    io::logEvent(LogLevel::Warning, "host-overload-ended",
                 {{"after-ms", io::millisecondsText(now - m_overloadedSince)},
                  {"refused", std::to_string(refused - m_refusedBefore)}});
}

std::optional<std::string_view> HostAdmission::relayRefusal(std::size_t openCount,
                                                            bool isOutOfReach, Instant now)
{
    if (isOutOfReach)
        return refusal::unreachable;
    if (!m_overload.admitsRelayed(now)) {
        m_counters.add(EntryCounter::RefusedOverloaded);
        return refusal::hostOverloaded;
    }
    if (openCount > m_maxOpenRelays)
        return refusal::relayLimit;
    return std::nullopt;
}

bool HostAdmission::admits(const Route &route, std::uint64_t hash, Instant now)
{
    if (m_overload.admits(route.priority, hash, now))
        return true;
    m_counters.add(EntryCounter::RefusedOverloaded);
    return false;
}

std::size_t maxOpenRelaysOf(double processors)
{
    const double count = std::round(openRelaysPerCore * std::min(1.0, processors));
    return std::max(minOpenRelays, static_cast<std::size_t>(std::max(0.0, count)));
}

RelayOutcome relayOutcomeOfRefusal(std::string_view reason, bool isOutOfReach)
{
    return reason == refusal::hostOverloaded ? RelayOutcome::Unavailable
                                             : relayOutcomeOf(reason, isOutOfReach);
}

} // namespace bulrush

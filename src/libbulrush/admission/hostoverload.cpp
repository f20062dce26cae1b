#include "admission/hostoverload.h"

#include "version/routingconfig.h"

#include <algorithm>
#include <iterator>

namespace bulrush {

namespace {

constexpr int stepsPerPriority =
    static_cast<int>(HostOverload::maxRefusedShare / HostOverload::shareStep);
/** Steps at a time if the lag is that many times the lag of an overload. */
constexpr std::int64_t maxStepsAtATime = 3;

} // namespace

void HostOverload::setRoutes(const RoutingConfig &config)
{
    m_priorities.clear();
    std::optional<Duration> leastLatency;
    for (const RoutedHost &host : config.hosts) {
        for (const Route &route : host.routes) {
            m_priorities.insert(route.priority);
            leastLatency =
                std::min(leastLatency.value_or(route.targetLatency), route.targetLatency);
        }
    }
    m_overloadLag.reset();
    if (leastLatency)
        m_overloadLag = std::max(minOverloadLag, *leastLatency / lagDivisor);
}

void HostOverload::recordDelay(Duration delay)
{
    m_delaySum += delay;
    ++m_delayCount;
}

HostOverload::Change HostOverload::update(Duration lateness, Instant now)
{
    const bool wasOverloaded = m_level > 0;
    const Duration latest = takeLag(lateness);
    if (!m_overloadLag) {
        m_level = 0;
        return wasOverloaded ? Change::Ended : Change::None;
    }
    const Duration bounded = std::clamp(latest, Duration::zero(), maxLagFactor * *m_overloadLag);
    m_lag += std::chrono::duration_cast<Duration>((bounded - m_lag) * latestWeight);
    m_measuredAt = now;
    if (m_lag >= *m_overloadLag) {
        raise(now);
    } else if (m_lag <= *m_overloadLag / recoveryDivisor && m_level > 0
               && now - m_changedAt >= lowerInterval) {
        --m_level;
        m_changedAt = now;
    }
    if (wasOverloaded == (m_level > 0))
        return Change::None;
    return wasOverloaded ? Change::Ended : Change::Began;
}

bool HostOverload::isOverloaded(Instant now) const
{
    return m_overloadLag && m_level > 0 && now - m_measuredAt < measurementLifetime;
}

bool HostOverload::admitsRelayed(Instant now) const
{
    return !isOverloaded(now);
}

bool HostOverload::admits(std::uint32_t priority, std::uint64_t hash, Instant now) const
{
    constexpr std::uint64_t parts = 1000;
    const double refused = refusedShare(priority, now);
    // The low digits decide elsewhere about shares of services and keys.
    const double part = static_cast<double>((hash >> 32U) % parts) / static_cast<double>(parts);
    return part >= refused;
}

double HostOverload::refusedShare(std::uint32_t priority, Instant now) const
{
    if (!isOverloaded(now))
        return 0.0;
    // Priorities that are less urgent come first.
    const auto before = std::distance(m_priorities.begin(), m_priorities.lower_bound(priority));
    const int steps = m_level - 1 - stepsPerPriority * static_cast<int>(before);
    return shareStep * std::clamp(steps, 0, stepsPerPriority);
}

/** \returns the lag since the last call. */
Duration HostOverload::takeLag(Duration lateness)
{
    const Duration delay = m_delayCount > 0 ? m_delaySum / m_delayCount : Duration::zero();
    m_delaySum = Duration::zero();
    m_delayCount = 0;
    return std::max(lateness, delay);
}

void HostOverload::raise(Instant now)
{
    if (m_level == 0) {
        m_level = 1;
        m_changedAt = now;
        return;
    }
    if (m_level >= maxLevel() || now - m_changedAt < raiseInterval)
        return;
    const std::int64_t steps = std::clamp<std::int64_t>(m_lag / *m_overloadLag, 1, maxStepsAtATime);
    m_level = std::min(maxLevel(), m_level + static_cast<int>(steps));
    m_changedAt = now;
}

int HostOverload::maxLevel() const
{
    return m_priorities.empty() ? 0 : 1 + stepsPerPriority * static_cast<int>(m_priorities.size());
}

} // namespace bulrush

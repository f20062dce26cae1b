#include "version/serviceload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace bulrush {

namespace {

/** Maximum weight of the measurements of a server, in requests; older ones are discounted. */
constexpr double maxWeight = 60.0;
/** Number of requests at the mean speed that each server is initially assumed to have served. */
constexpr double priorWeight = 6.0;
/** Bounds of the service time of a server as a multiple of the mean. */
constexpr double minTimeFactor = 0.4;
constexpr double maxTimeFactor = 2.5;

} // namespace

ServiceLoad::ServiceLoad(Instant start)
    : m_steady(steadyHalfLife, start)
    , m_spikes(spikeHalfLife, start)
{ }

void ServiceLoad::add(const LoadSample &sample, Instant now)
{
    for (const KeyPosition place : sample.keys) {
        if (place >= keyPositionCount)
            continue;
        m_steady.add(place, now);
        m_spikes.add(place, now);
    }
    m_priorities.add(sample.keys, sample.priorities, now);
    for (const LimitReport &report : sample.limits)
        addLimit(report, now);
    for (const BackoffReport &report : sample.backoffs)
        addBackoff(report, now);
    for (const ServerWork &work : sample.work) {
        Speed &speed = m_speeds[work.server];
        const auto count = static_cast<double>(work.count);
        const double kept = std::min(speed.weight, std::max(0.0, maxWeight - count));
        const double sum = speed.meanNs * kept + static_cast<double>(work.meanTime.count()) * count;
        speed.weight = kept + count;
        if (speed.weight > 0.0)
            speed.meanNs = sum / speed.weight;
    }
}

void ServiceLoad::addLimit(const LimitReport &report, Instant now)
{
    const Instant statedAt = now - report.statedAgo;
    const auto [limit, isNew] =
        m_limits.try_emplace(report.server, Limit{report.perSecond, statedAt});
    if (!isNew && statedAt >= limit->second.statedAt)
        limit->second = {report.perSecond, statedAt};
}

std::optional<double> ServiceLoad::limitOf(const ServerName &server, Instant now) const
{
    const auto limit = m_limits.find(server);
    if (limit == m_limits.end() || now - limit->second.statedAt > limitValidity)
        return std::nullopt;
    return limit->second.perSecond;
}

bool ServiceLoad::isRecovered(const ServerName &server, Instant now) const
{
    const auto limit = m_limits.find(server);
    if (limit == m_limits.end())
        return false;
    const Instant endedAt =
        limit->second.statedAt + (limit->second.perSecond ? limitValidity : Duration::zero());
    return now >= endedAt && now - endedAt <= recoveryPeriod;
}

/** \returns the requests per second that were refused lately because of \a backoff. */
double ServiceLoad::refusedRate(const ServerBackoff &backoff, Instant now)
{
    const std::chrono::duration<double> halfLife = spikeHalfLife;
    const std::chrono::duration<double> age = now - backoff.countedAt;
    return backoff.refusals * std::exp2(-age / halfLife) * std::numbers::ln2 / halfLife.count();
}

void ServiceLoad::addBackoff(const BackoffReport &report, Instant now)
{
    ServerBackoff &backoff = m_backoffs[report.server];
    const std::chrono::duration<double> halfLife = spikeHalfLife;
    backoff.refusals = refusedRate(backoff, now) * halfLife.count() / std::numbers::ln2
        + static_cast<double>(report.refusedCount);
    backoff.countedAt = now;
    backoff.end = std::max(backoff.end, now + report.left);
}

bool ServiceLoad::hasBackoffs() const
{
    return !m_backoffs.empty();
}

std::set<ServerName> ServiceLoad::serversBackingOff(const std::map<ServerName, double> &demand,
                                                    Instant now)
{
    std::erase_if(m_backoffs, [now](const auto &entry) {
        return now - std::max(entry.second.end, entry.second.withoutKeysUntil) > relapsePeriod;
    });
    std::set<ServerName> servers;
    for (auto &[server, backoff] : m_backoffs) {
        const auto rate = demand.find(server);
        if (isWithoutKeys(backoff, rate == demand.end() ? 0.0 : rate->second, now))
            servers.insert(server);
    }
    return servers;
}

/** \returns whether a server with \a backoff is to have no keys, and starts such a time if it is
 * due.
 */
bool ServiceLoad::isWithoutKeys(ServerBackoff &backoff, double demand, Instant now)
{
    if (now < backoff.withoutKeysUntil)
        return true;
    const double refused = refusedRate(backoff, now);
    if (backoff.end - now < minBackoff || refused < minRefusedRate
        || refused < minRefusedFraction * demand)
        return false;
    const bool isRelapse = now - backoff.withoutKeysUntil < relapsePeriod;
    const Duration earlier =
        isRelapse ? backoff.withoutKeysUntil - backoff.withoutKeysSince : Duration::zero();
    backoff.withoutKeysSince = now;
    backoff.withoutKeysUntil =
        now + std::min(maxTimeWithoutKeys, std::max(backoff.end - now, 2 * earlier));
    return true;
}

KeyTraffic ServiceLoad::traffic(Instant now)
{
    std::vector<double> rates = m_steady.rates(now);
    const std::vector<double> spikes = m_spikes.rates(now);
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const bool hasTurnedHot = spikes[i] >= hotRate && spikes[i] > rates[i];
        const bool hasCooled = rates[i] >= hotRate / 2 && spikes[i] < rates[i] / 2;
        if (hasTurnedHot || hasCooled)
            rates[i] = spikes[i];
    }
    return {std::move(rates), m_steady.countedSeconds(now)};
}

AdmissionTraffic ServiceLoad::admissionTraffic(Instant now)
{
    AdmissionTraffic result{traffic(now)};
    result.byPriority = m_priorities.counts(now);
    if (!result.byPriority.empty())
        result.recent = {m_spikes.rates(now), m_spikes.countedSeconds(now)};
    return result;
}

Duration ServiceLoad::workTime(const ServerName &server) const
{
    const double mean = meanTime();
    const auto found = m_speeds.find(server);
    if (found == m_speeds.end())
        return Duration{static_cast<std::int64_t>(mean)};
    const Speed &own = found->second;
    const double time = (own.meanNs * own.weight + mean * priorWeight) / (own.weight + priorWeight);
    return Duration{
        static_cast<std::int64_t>(std::clamp(time, mean * minTimeFactor, mean * maxTimeFactor))};
}

/** \returns the mean over the servers, with nearly equal weights however many requests each got. */
double ServiceLoad::meanTime() const
{
    double sum = 0.0;
    double weight = 0.0;
    for (const auto &[name, speed] : m_speeds) {
        const double share = std::min(speed.weight, priorWeight);
        sum += speed.meanNs * share;
        weight += share;
    }
    return weight > 0.0 ? sum / weight : static_cast<double>(defaultWorkTime.count());
}

} // namespace bulrush

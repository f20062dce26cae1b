#include "admission/callershares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace bulrush {

namespace {

/** The level changes little in this time, compared with the half-life of the counts. */
constexpr Duration levelInterval = std::chrono::milliseconds{100};
/** A service without requests for this long may be replaced in the table. */
constexpr Duration idleRetention = std::chrono::minutes{1};
/**
 * Part of what was served lately that is admitted in addition, so that more capacity is noticed. It
 * grows with the time since the last refusal for lack of capacity.
 */
constexpr double minProbePart = 0.02;
constexpr double probeGrowthPerSecond = 0.25;
constexpr double maxProbePart = 0.5;

/** \returns a number from 0 to 1 that is independent of other uses of the \a hash of a request. */
double fractionOf(std::uint64_t hash)
{
    constexpr XXH64_hash_t seed = 1;
    const XXH64_hash_t mixed = XXH64(&hash, sizeof hash, seed);
    return static_cast<double>(mixed >> 11U) / static_cast<double>(std::uint64_t{1} << 53U);
}

double probePart(Duration sinceRefusal)
{
    const double seconds = std::chrono::duration<double>(sinceRefusal).count();
    return std::min(maxProbePart, minProbePart + probeGrowthPerSecond * seconds);
}

/**
 * \returns the level that cuts \a excess from \a counts, which are in descending order; zero if
 * they are less than that in total.
 */
double maxMinLevel(const std::vector<double> &counts, double excess)
{
    double sum = 0.0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        sum += counts[i];
        const double level = (sum - excess) / static_cast<double>(i + 1);
        if (i + 1 == counts.size() || level >= counts[i + 1])
            return std::max(0.0, level);
    }
    return 0.0;
}

} // namespace

CallerShares::CallerShares(Instant start)
    : m_decay(halfLife, start)
{ }

CallerAdmission CallerShares::admit(const ServiceName &service, std::string_view caller,
                                    std::uint64_t hash, Instant now)
{
    Service *state = serviceOf(service, now);
    if (!state)
        return {};
    const std::uint64_t seed = XXH3_64bits(service.value().data(), service.value().size());
    const std::uint64_t id = XXH3_64bits_withSeed(caller.data(), caller.size(), seed);
    const double weight = m_decay.weightAt(now);
    state->requests += weight;
    state->usedAt = now;
    bool isFirst = true;
    const Caller *listed = countRequest(*state, id, now, isFirst);
    CallerAdmission admission;
    admission.change = updateShortage(*state, now);
    if (state->isShort && listed && !isFirst) {
        const double count = listed->count / weight;
        const double share = level(*state, now);
        if (count > share && fractionOf(hash) >= share / count) {
            admission.isAdmitted = false;
            const double halfLives = std::log2(count / std::max(1.0, share));
            admission.availableIn = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(halfLife) * std::max(0.0, halfLives));
            state->overShare += weight;
        }
    }
    rescaleIfDue();
    return admission;
}

ShortageChange CallerShares::recordRefusal(const ServiceName &service, Instant now)
{
    Service *state = serviceOf(service, now);
    if (!state)
        return ShortageChange::None;
    state->refusals += m_decay.weightAt(now);
    state->refusedAt = now;
    return updateShortage(*state, now);
}

bool CallerShares::isShort(const ServiceName &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isShort;
}

std::size_t CallerShares::listedCount() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services)
        count += service.callers.size();
    return count;
}

/** \returns the state of the service \a name, or null if there are too many services. */
CallerShares::Service *CallerShares::serviceOf(const ServiceName &name, Instant now)
{
    if (const auto found = m_services.find(name); found != m_services.end())
        return &found->second;
    if (m_services.size() >= maxServices)
        std::erase_if(m_services, [now](const auto &entry) {
            return now - entry.second.usedAt > idleRetention;
        });
    if (m_services.size() >= maxServices)
        return nullptr;
    Service &added = m_services[name];
    added.usedAt = now;
    return &added;
}

/**
 * Counts a request of the caller \a id. \returns its place in the list, or null if it has none. \a
 * isFirst tells whether no former request of it is known.
 */
CallerShares::Caller *CallerShares::countRequest(Service &service, std::uint64_t id, Instant now,
                                                 bool &isFirst)
{
    const double weight = m_decay.weightAt(now);
    const double estimate = m_sketch.add(id, weight);
    std::vector<Caller> &callers = service.callers;
    if (const auto known = std::ranges::find(callers, id, &Caller::id); known != callers.end()) {
        isFirst = now - known->lastAt >= firstRequestPeriod;
        known->count += weight;
        known->lastAt = now;
        return &*known;
    }
    isFirst = true;
    if (callers.size() < maxCallers)
        return &callers.emplace_back(Caller{id, estimate, now});
    const auto least = std::ranges::min_element(callers, {}, &Caller::count);
    if (estimate <= least->count)
        return nullptr;
    *least = {id, estimate, now};
    return &*least;
}

ShortageChange CallerShares::updateShortage(Service &service, Instant now)
{
    const double weight = m_decay.weightAt(now);
    const double refused = service.refusals + service.overShare;
    if (!service.isShort) {
        if (service.refusals < minRefusals * weight
            || service.refusals < beginFraction * service.requests)
            return ShortageChange::None;
        service.isShort = true;
        service.shortSince = now;
        service.levelAt = {};
        return ShortageChange::Begins;
    }
    if (now - service.shortSince < minShortage)
        return ShortageChange::None;
    const bool isCapacityEnough = now - service.refusedAt >= firstRequestPeriod;
    if (!isCapacityEnough && refused >= endFraction * service.requests)
        return ShortageChange::None;
    service.isShort = false;
    service.overShare = 0.0;
    return ShortageChange::Ends;
}

/** \returns the decayed count of requests beyond what can be served. */
double CallerShares::excess(const Service &service, Instant now)
{
    const double refused = service.refusals + service.overShare;
    const double served = std::max(0.0, service.requests - refused);
    const double probes = served * probePart(now - service.refusedAt);
    return std::max(0.0, refused - probes) / m_decay.weightAt(now);
}

/** \returns the decayed count up to which a caller of \a service is within its share. */
double CallerShares::level(Service &service, Instant now)
{
    if (now - service.levelAt < levelInterval && service.levelAt >= service.shortSince)
        return service.level;
    const double weight = m_decay.weightAt(now);
    std::vector<double> counts;
    counts.reserve(service.callers.size());
    // Callers that have left would make those that remain look frequent.
    for (const Caller &caller : service.callers) {
        if (now - caller.lastAt < firstRequestPeriod)
            counts.push_back(caller.count / weight);
    }
    if (counts.size() < 2)
        return std::numeric_limits<double>::max();
    std::ranges::sort(counts, std::greater<>{});
    const double median = counts[counts.size() / 2];
    service.level = std::max(maxMinLevel(counts, excess(service, now)), minMedianFactor * median);
    service.levelAt = now;
    return service.level;
}

void CallerShares::rescaleIfDue()
{
    if (!m_decay.isRescaleDue())
        return;
    const double factor = m_decay.rescale();
    m_sketch.scale(factor);
    for (auto &[name, service] : m_services) {
        service.requests *= factor;
        service.refusals *= factor;
        service.overShare *= factor;
        for (Caller &caller : service.callers)
            caller.count *= factor;
    }
}

} // namespace bulrush

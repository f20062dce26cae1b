#include "admission/returnadvice.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bulrush {

namespace {

using Seconds = ReturnInterval::Seconds;

/** Texts have two digits; a limit is rounded down to them, so that no text exceeds it. */
constexpr double textStepsPerSecond = 100.0;
constexpr std::uint64_t hashSteps = 1000;
/** KeyGate refuses by the hash modulo this number, so that refused requests have similar ones. */
constexpr std::uint64_t gateSteps = 10'000;

bool leadsTo(const Route &route, const ServiceName &service)
{
    return std::ranges::any_of(route.split, [&service](const WeightedService &part) {
        return part.service == service && part.weight > 0;
    });
}

/**
 * \returns the longest pause that the caller honours, or nothing if it is unknown or too short for
 * any return. A caller that returns in spite of that did not state its deadline, and must not be
 * told to return at once.
 */
std::optional<Seconds> limitOf(const RefusedRequest &refused)
{
    if (!refused.callerTimeLeft)
        return std::nullopt;
    const Seconds honoured = Seconds{std::max(Duration::zero(), *refused.callerTimeLeft)}
        / ReturnAdvice::honouredDivisor;
    const double steps = std::floor(honoured.count() * textStepsPerSecond);
    if (steps < 1.0)
        return std::nullopt;
    return Seconds{steps / textStepsPerSecond};
}

/** \returns the interval for the callers of all priorities, without regard to their limits. */
ReturnInterval unlimitedInterval(const RefusedRequest &refused)
{
    const Seconds early = Seconds{refused.targetTimeLeft} / ReturnAdvice::earlyReturnDivisor;
    if (refused.cause == RefusalCause::NotFull && early > Seconds::zero())
        return {early / ReturnAdvice::earlyPauseDivisor,
                early - early / ReturnAdvice::earlyPauseDivisor};
    const Seconds begin{std::max(ReturnAdvice::minPause, ReturnAdvice::expectedIn(refused))};
    const Seconds spread{ReturnAdvice::spread};
    // Each priority has the usual interval, unless the less urgent ones would return too late for
    // an answer within the target latency.
    const Seconds all = spread * static_cast<double>(refused.rank.count);
    const Seconds onTime = Seconds{refused.targetTimeLeft} - begin;
    return {begin, std::clamp(onTime, spread, all)};
}

/**
 * \returns \a interval moved and shortened so that it ends at \a limit at the latest. Capacity is
 * expected after \a expected; zero if that is unknown.
 */
ReturnInterval limited(const ReturnInterval &interval, Seconds expected, Seconds limit)
{
    if (interval.begin + interval.length <= limit)
        return interval;
    const Seconds minLength = limit * ReturnAdvice::minSpreadPart;
    const Seconds first = std::min(Seconds{ReturnAdvice::minPause}, minLength);
    const Seconds begin = expected > limit ? first : std::clamp(expected, first, limit - minLength);
    return {begin, limit - begin};
}

} // namespace

PriorityRank priorityRank(const RoutingConfig &config, const ServiceName &service,
                          const Route &route)
{
    std::set<std::uint32_t> priorities{route.priority};
    for (const RoutedHost &host : config.hosts) {
        for (const Route &other : host.routes) {
            if (leadsTo(other, service))
                priorities.insert(other.priority);
        }
    }
    const auto own = priorities.find(route.priority);
    return {static_cast<std::size_t>(std::distance(priorities.begin(), own)), priorities.size()};
}

Duration ReturnAdvice::expectedIn(const RefusedRequest &refused)
{
    switch (refused.cause) {
    case RefusalCause::KeyTooHot:
        return std::max(refused.availableIn, shareInterval);
    case RefusalCause::NoOwner:
        return std::max(refused.availableIn, moveTime);
    case RefusalCause::NotFull:
    case RefusalCause::Other:
        break;
    }
    return refused.availableIn;
}

ReturnInterval ReturnAdvice::interval(const RefusedRequest &refused)
{
    ReturnInterval all = unlimitedInterval(refused);
    if (const std::optional<Seconds> limit = limitOf(refused))
        all = limited(all, Seconds{expectedIn(refused)}, *limit);
    const Seconds part = all.length / static_cast<double>(refused.rank.count);
    return {all.begin + part * static_cast<double>(refused.rank.index), part};
}

Seconds ReturnAdvice::returnAfter(const RefusedRequest &refused)
{
    const std::uint64_t hash =
        refused.cause == RefusalCause::KeyTooHot ? refused.hash / gateSteps : refused.hash;
    const double part = static_cast<double>(hash % hashSteps) / hashSteps;
    const ReturnInterval chosen = interval(refused);
    return chosen.begin + chosen.length * part;
}

} // namespace bulrush

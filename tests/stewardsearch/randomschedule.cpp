#include "randomschedule.h"

#include "leaderelectionsimulation.h"

#include <algorithm>
#include <cstdlib>
#include <random>

namespace bulrush::test {

using namespace std::chrono_literals;

namespace {

constexpr std::int64_t driftPpm = 50'000;
constexpr TrueTime scheduleLength = 60s;

LeaderElectionTimings searchTimings(std::uint64_t seed)
{
    // Short durations and a large drift bound make faults visible within one schedule. With late
    // renewals, less of the lease is left to mask a fault.
    const Duration renewInterval = (seed % 3 + 1) * 500ms;
    return {.renewInterval = renewInterval,
            .platformSilenceTimeout = renewInterval + 250ms,
            .promiseRequestInterval = seed % 2 == 0 ? 350ms : 500ms,
            .promiseLength = 6s,
            .outageAllowance = 20s,
            .driftPpm = driftPpm};
}

/** Execution of one random schedule. */
class RandomSchedule
{
public:
    explicit RandomSchedule(std::uint64_t seed);
    ScheduleResult run();

private:
    enum class PlatformMode {
        Healthy,
        Slow,
        Lossy,
        Refusing,
    };

    // Standard distributions differ between libraries, but a seed must give the same schedule
    // everywhere.
    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return m_random() % bound;
    }
    bool isOneIn(std::uint64_t count)
    {
        return randomBelow(count) == 0;
    }
    Duration randomDurationBelow(Duration bound)
    {
        return Duration(randomBelow(bound.count()));
    }

    void startDaemon(std::size_t index);
    void injectFault();
    void restart(std::size_t index);
    std::size_t indexOf(const std::string &name);
    PlatformCallBehavior drawBehavior();
    Duration drawDelay();

    std::mt19937_64 m_random;
    LeaderElectionSimulation m_simulation;
    PlatformMode m_platformMode = PlatformMode::Healthy;
    bool m_hasSlowMessages = false;
    bool m_isPlatformUp = true;
    std::vector<std::string> m_names;
    std::vector<char> m_domains = {'a', 'a', 'a', 'a', 'b', 'c'};
    int m_startCount = 0;
};

RandomSchedule::RandomSchedule(std::uint64_t seed)
    : m_random(seed)
    , m_simulation(searchTimings(seed))
{
    m_simulation.setBehaviorSource([this] { return drawBehavior(); });
    m_simulation.setMessageDelays([this] { return drawDelay(); });
    if (seed % 4 >= 2)
        m_simulation.setPlatformDeduplicatesWrites();
    m_names.resize(m_domains.size());
    for (std::size_t index = 0; index < m_domains.size(); ++index)
        startDaemon(index);
}

ScheduleResult RandomSchedule::run()
{
    m_simulation.run(2s);
    while (m_simulation.now() < scheduleLength) {
        injectFault();
        m_simulation.run(isOneIn(3) ? randomDurationBelow(6s) : randomDurationBelow(1s));
    }
    return {m_simulation.checker().violations(), m_simulation.transcript(),
            m_simulation.row().row.epoch};
}

void RandomSchedule::startDaemon(std::size_t index)
{
    m_names[index] = m_domains[index] + std::to_string(++m_startCount);
    const auto rate = static_cast<std::int64_t>(randomBelow(3)) - 1;
    m_simulation.start(m_names[index], {randomDurationBelow(1h), rate * driftPpm});
}

void RandomSchedule::injectFault()
{
    const std::size_t index = randomBelow(m_names.size());
    const std::string name = m_names[index];
    const std::string other = m_names[randomBelow(m_names.size())];
    const std::string steward = m_simulation.steward();
    switch (randomBelow(14)) {
    case 0:
    case 1:
        m_isPlatformUp = !m_isPlatformUp;
        return m_simulation.setPlatformUp(m_isPlatformUp);
    case 2:
    case 3:
        m_platformMode = static_cast<PlatformMode>(randomBelow(4));
        return m_simulation.note("platform's mode "
                                 + std::to_string(static_cast<int>(m_platformMode)));
    case 4:
        return m_simulation.setPlatformCut(name, !isOneIn(2));
    case 5:
        if (name != other)
            m_simulation.setCut(name, other, !isOneIn(3));
        return;
    case 6:
    case 7:
        if (!steward.empty() && isOneIn(2))
            return m_simulation.freeze(steward, randomDurationBelow(8s));
        return m_simulation.freeze(name, randomDurationBelow(8s));
    case 8:
        return restart(index);
    case 9:
        return m_simulation.depart(name);
    case 10:
        m_hasSlowMessages = !m_hasSlowMessages;
        return;
    case 11:
        if (!steward.empty())
            m_simulation.setPlatformCut(steward, true);
        return;
    case 12:
        if (!steward.empty())
            m_simulation.setCut(steward, other, steward != other);
        return;
    default:
        restart(indexOf(steward));
    }
}

void RandomSchedule::restart(std::size_t index)
{
    m_simulation.kill(m_names[index]);
    startDaemon(index);
}

std::size_t RandomSchedule::indexOf(const std::string &name)
{
    const auto found = std::ranges::find(m_names, name);
    return found == m_names.end() ? randomBelow(m_names.size()) : found - m_names.begin();
}

PlatformCallBehavior RandomSchedule::drawBehavior()
{
    PlatformCallBehavior behavior{.toPlatform = 1ms + randomDurationBelow(20ms),
                                  .back = 1ms + randomDurationBelow(20ms)};
    if (m_platformMode == PlatformMode::Slow) {
        behavior.toPlatform = isOneIn(4) ? randomDurationBelow(4s) : randomDurationBelow(250ms);
        behavior.back = randomDurationBelow(250ms);
    }
    if (m_platformMode == PlatformMode::Lossy) {
        behavior.isLost = isOneIn(3);
        behavior.isAnswerLost = isOneIn(2);
        behavior.toPlatform = isOneIn(4) ? randomDurationBelow(4s) : behavior.toPlatform;
    }
    behavior.isRefused = m_platformMode == PlatformMode::Refusing && isOneIn(2);
    return behavior;
}

Duration RandomSchedule::drawDelay()
{
    if (!m_hasSlowMessages)
        return 1ms + randomDurationBelow(5ms);
    return isOneIn(4) ? randomDurationBelow(4s) : randomDurationBelow(700ms);
}

} // namespace

ScheduleResult runSchedule(std::uint64_t seed)
{
    return RandomSchedule(seed).run();
}

std::string describe(std::uint64_t seed, const ScheduleResult &result)
{
    std::string text = "seed " + std::to_string(seed) + '\n';
    for (const std::string &violation : result.violations)
        text += violation + '\n';
    return text + result.transcript;
}

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace bulrush::test

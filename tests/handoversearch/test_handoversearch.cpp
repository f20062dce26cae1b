#define BOOST_TEST_MODULE handoversearch
#include "ownershipsimulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

using namespace std::chrono_literals;
using bulrush::Duration;

namespace {

/** All faults except crashes end well before this time. */
constexpr Duration scheduleEnd = 5s;
/** A planted fault becomes visible while the injected faults last. */
constexpr Duration plantedFaultEnd = 2500ms;
/** Period at the end of a schedule within which every key must be served. */
constexpr Duration settledPeriod = 500ms;
// Schedules run twenty times slower with sanitizers.
#ifdef NDEBUG
constexpr std::uint64_t defaultSchedules = 2000;
#else
constexpr std::uint64_t defaultSchedules = 100;
#endif
constexpr std::uint64_t maxPlantedFaultSeeds = 400;
constexpr int faultsPerSchedule = 4;

/**
 * All durations are a quarter of the production values. With odd seeds, clock rates differ by up to
 * a fifth; even seeds have accurate clocks and many slow messages.
 */
SimulationSettings searchSettings(std::uint64_t seed, PlantedFault fault)
{
    const bool hasDrift = seed % 2 == 1;
    SimulationSettings settings;
    settings.seed = seed;
    settings.fault = fault;
    settings.terms = {300ms, 75ms, 200ms, 120ms, hasDrift ? 200'000 : 1'000};
    settings.clockPpm = hasDrift ? 90'000 : 450;
    settings.hasExtremeClocks = seed % 4 == 1;
    settings.moves.warmupTimeout = 100ms;
    settings.moves.stopTimeout = 150ms;
    settings.moves.deferralPeriod = 2500ms;
    settings.moves.retryDelay = 50ms;
    settings.moves.revokeTimeout = 100ms;
    settings.keys = 4;
    settings.checksFence = seed % 3 == 0;
    settings.slowShare = seed % 4 == 0 ? 0.2 : 0.01;
    settings.slowReplyShare = seed % 4 == 2 ? 0.3 : 0;
    settings.duplicateShare = 0.1;
    settings.lossShare = 0.02;
    settings.requestPeriod = 8ms;
    settings.minRun = seed % 8 < 2 ? 2ms : 100ms;
    settings.maxRun = 119ms;
    settings.serverSilenceTimeout = 120ms;
    settings.daemonSilenceTimeout = 180ms;
    settings.tenure = 600ms;
    return settings;
}

/** One schedule with random faults of all kinds at random instants, determined by the seed. */
class Schedule
{
public:
    Schedule(std::uint64_t seed, PlantedFault fault)
        : m_simulation(searchSettings(seed, fault))
        , m_random(seed * 7919)
    {
        for (int i = 0; i < faultsPerSchedule; ++i)
            drawFault();
        for (int i = 0; i < 3; ++i)
            m_simulation.at(drawTime(), [this, key = draw(4), to = draw(4)] {
                m_simulation.moveSlice(key, to);
            });
        m_simulation.runUntil(fault == PlantedFault::None ? scheduleEnd : plantedFaultEnd);
    }

    bool isSafe() const
    {
        return m_simulation.observer().overlaps().empty() && m_simulation.uncoveredGrants() == 0;
    }

    /** \returns whether all keys are served at the end, provided that any daemon is left. */
    bool isLive() const
    {
        if (!m_simulation.hasLiveProcesses())
            return true;
        for (int key = 0; key < 4; ++key) {
            if (m_simulation.unavailable(key, scheduleEnd - settledPeriod, scheduleEnd)
                > settledPeriod - 50ms)
                return false;
        }
        return true;
    }

    const OwnershipSimulation &simulation() const
    {
        return m_simulation;
    }

private:
    int draw(int count)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(count));
    }
    Duration drawTime()
    {
        return 1ms * (200 + draw(1500));
    }
    Duration drawLength()
    {
        return 1ms * (20 + draw(800));
    }

    void drawFault()
    {
        const Duration from = drawTime();
        const Duration until = from + drawLength();
        const int target = draw(3);
        switch (draw(9)) {
        case 0:
            m_simulation.at(from, [this, target] { m_simulation.freezeServer(target); });
            m_simulation.at(until, [this, target] { m_simulation.thawServer(target); });
            break;
        case 1:
            m_simulation.at(from, [this, target] { m_simulation.freezeDaemon(target); });
            m_simulation.at(until, [this, target] { m_simulation.thawDaemon(target); });
            break;
        case 2:
            m_simulation.at(from, [this, target] { m_simulation.killServer(target); });
            break;
        case 3:
            m_simulation.at(from, [this, target] { m_simulation.killDaemon(target); });
            break;
        case 4:
            m_simulation.at(from, [this] {
                m_simulation.freezeLeader();
                m_simulation.startSuccessorAfterTerm();
            });
            m_simulation.at(until, [this] { m_simulation.thawLeaders(); });
            break;
        case 5:
            m_simulation.at(from, [this] { m_simulation.setPlatformFault(PlatformFault::Down); });
            m_simulation.at(until, [this] { m_simulation.setPlatformFault(PlatformFault::None); });
            break;
        case 6:
        case 7: {
            const int server = draw(2) == 0 ? target : draw(4);
            const Duration healedAt = from + 400ms + drawLength();
            m_simulation.at(from,
                            [this, target, server] { m_simulation.isolate(target, server, true); });
            m_simulation.at(
                healedAt, [this, target, server] { m_simulation.isolate(target, server, false); });
            break;
        }
        default:
            m_simulation.at(from, [this, fault = 2 + draw(3)] {
                m_simulation.setPlatformFault(static_cast<PlatformFault>(fault));
            });
            m_simulation.at(until, [this] { m_simulation.setPlatformFault(PlatformFault::None); });
        }
    }

    OwnershipSimulation m_simulation;
    std::mt19937_64 m_random;
};

void print(const AcceptedWork &work)
{
    const auto ms = [](bulrush::Instant instant) {
        return (instant - 1s).time_since_epoch() / 1us;
    };
    std::cout << work.server.value() << " key " << work.key << " fence " << work.fence.epoch << "."
              << work.fence.sequence << " from " << ms(work.start) << " to " << ms(work.end)
              << " us\n";
}

void print(const Schedule &schedule)
{
    std::cout << schedule.simulation().session();
    for (const WorkOverlap &overlap : schedule.simulation().observer().overlaps()) {
        print(overlap.first);
        print(overlap.second);
    }
}

std::uint64_t scheduleCount()
{
    const char *wanted = std::getenv("BULRUSH_SEARCH_SCHEDULES");
    return wanted ? std::strtoull(wanted, nullptr, 10) : defaultSchedules;
}

/** \returns the first seed whose schedule detects the planted fault, or 0. */
std::uint64_t firstDetectingSeed(PlantedFault fault)
{
    for (std::uint64_t seed = 1; seed <= maxPlantedFaultSeeds; ++seed) {
        if (!Schedule(seed, fault).isSafe())
            return seed;
    }
    return 0;
}

void checkDetected(PlantedFault fault, const char *name)
{
    const std::uint64_t seed = firstDetectingSeed(fault);
    std::cout << "planted " << name << ": first found by seed " << seed << "\n";
    BOOST_TEST(seed > 0U);
}

} // namespace

BOOST_AUTO_TEST_CASE(no_schedule_yields_two_owners_or_unserved_keys)
{
    std::uint64_t work = 0;
    const std::uint64_t count = scheduleCount();
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const Schedule schedule(seed, PlantedFault::None);
        work += schedule.simulation().observer().workCount();
        if (!schedule.isSafe() || !schedule.isLive())
            print(schedule);
        BOOST_TEST(schedule.isSafe(), "seed " << seed << " has two owners");
        BOOST_TEST(schedule.isLive(), "seed " << seed << " leaves a key unserved");
    }
    std::cout << count << " schedules, " << work << " pieces of accepted work\n";
    BOOST_TEST(work > 100 * count);
}

BOOST_AUTO_TEST_CASE(detects_planted_faults)
{
    checkDetected(PlantedFault::LeaseCountedFromReceipt, "lease counted from receipt");
    checkDetected(PlantedFault::NoWaitForRunningWork, "no wait for running work");
    checkDetected(PlantedFault::NoDriftMargin, "no drift margin");
    checkDetected(PlantedFault::IdleReportedEarly, "idle reported early");
    checkDetected(PlantedFault::UnknownTreatedAsCommitted, "unknown taken as committed");
}

#define BOOST_TEST_MODULE LoadWorld

#include "loadsimulation.h"
#include "process/evacuationbudget.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <utility>

// Guards against hot keys that overload their owners while most of the many servers are idle.

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** A fifth of all requests is for one key at a time; in some periods most are for a few keys. */
LoadScenario hotKeyScenario(std::uint64_t seed)
{
    LoadScenario scenario;
    scenario.seed = seed;
    scenario.hotPeriods = {{500ms, 5500ms, 0.2, 1},
                           {5500ms, 10500ms, 0.2, 1},
                           {10500ms, 15500ms, 0.2, 1},
                           {2300ms, 7300ms, 0.38, 200},
                           {7800ms, 11800ms, 0.4, 60}};
    return scenario;
}

/** Requests that a server with a limit of 5.3 may get in 4 s: 1.5 times the limit, and five. */
constexpr std::size_t allowedInWindow = 36;

/** Servers of two slots, some of which name a limit of a quarter of their load. */
LoadScenario limitedScenario(std::uint64_t seed, std::size_t limitedServers)
{
    LoadScenario scenario;
    scenario.daemons = 12;
    scenario.servers = 19;
    scenario.slots = 2;
    scenario.requestsPerSecond = 290.0;
    scenario.workTime = 60ms;
    scenario.targetLatency = 300ms;
    scenario.deadline = 1200ms;
    scenario.length = 40s;
    scenario.seed = seed;
    scenario.limitedServers = limitedServers;
    scenario.limit = 5.3;
    scenario.limitedFrom = 8s;
    return scenario;
}

/** A third of the servers is evacuated; the others can serve all requests. */
LoadScenario evacuationScenario(std::size_t daemons, std::size_t servers)
{
    LoadScenario scenario;
    scenario.daemons = daemons;
    scenario.servers = servers;
    scenario.domains = 3;
    scenario.requestsPerSecond = 4.5 * static_cast<double>(servers);
    scenario.length = 20s;
    scenario.evacuatedAt = 10s;
    return scenario;
}

void print(const char *name, const LoadResult &result)
{
    BOOST_TEST_MESSAGE(
        name << ": relative value " << result.relativeValue() << ", on time " << result.onTime
             << " and late " << result.late << " of " << result.requests << ", rejected by servers "
             << result.rejectedByServers << " of " << result.arrivals << ", refused by limits "
             << result.refusedByLimit << ", most in a window " << result.mostInLimitedWindow
             << ", all keys moved " << result.movedKeys << " times");
}

} // namespace

BOOST_AUTO_TEST_CASE(allServersAreUsedWithHotKeys)
{
    for (const std::uint64_t seed : {1U, 2U}) {
        const LoadResult result = LoadSimulation{hotKeyScenario(seed)}.run();
        print("production decisions", result);
        BOOST_TEST(result.relativeValue() > 0.5);
    }
}

BOOST_AUTO_TEST_CASE(faultyDecisionsLowerValue)
{
    LoadScenario few = hotKeyScenario(1);
    few.initialServers = 16;
    few.serversPerRound = 6;
    const LoadResult fewServersResult = LoadSimulation{few}.run();
    print("assigned to 16 servers at first", fewServersResult);
    LoadScenario alone = hotKeyScenario(1);
    alone.ignoresDaemonCount = true;
    const LoadResult ignoredCountResult = LoadSimulation{alone}.run();
    print("initial windows of two", ignoredCountResult);
    LoadScenario unshared = hotKeyScenario(1);
    unshared.hasShares = false;
    const LoadResult unsharedResult = LoadSimulation{unshared}.run();
    print("no shares", unsharedResult);
    BOOST_TEST(fewServersResult.relativeValue() < 0.35);
    BOOST_TEST(ignoredCountResult.relativeValue() > 0.5);
    BOOST_TEST(unsharedResult.relativeValue() > 0.5);
}

BOOST_AUTO_TEST_CASE(callersOfLimitedServersAreServedByOthers)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const LoadResult unlimited = LoadSimulation{limitedScenario(seed, 0)}.run();
        for (const std::size_t limitedServers : {2U, 4U}) {
            const LoadResult result = LoadSimulation{limitedScenario(seed, limitedServers)}.run();
            print("some servers with limits", result);
            BOOST_TEST(result.relativeValue() > unlimited.relativeValue() - 0.02);
            BOOST_TEST(result.mostInLimitedWindow <= allowedInWindow);
        }
    }
}

BOOST_AUTO_TEST_CASE(limitsOfAllServersAreKeptAndUsed)
{
    const LoadResult result = LoadSimulation{limitedScenario(1, 19)}.run();
    print("all servers with limits", result);
    BOOST_TEST(result.mostInLimitedWindow <= allowedInWindow);
    // A third of the load can be served from the eighth second on, and all of it before.
    BOOST_TEST(result.relativeValue() > 0.44);
}

BOOST_AUTO_TEST_CASE(evacuatedDomainGetsNothingInTimeAndItsCallersAreServed)
{
    for (const auto &[daemons, servers] :
         {std::pair{12, 24}, std::pair{66, 90}, std::pair{195, 246}}) {
        const LoadScenario scenario = evacuationScenario(daemons, servers);
        LoadScenario withoutDomain = scenario;
        withoutDomain.servers -= scenario.servers / scenario.domains;
        withoutDomain.evacuatedAt.reset();
        const LoadResult result = LoadSimulation{scenario}.run();
        const LoadResult reference = LoadSimulation{withoutDomain}.run();
        // Five seconds are allowed to stop sending there; by then the others serve its callers.
        const double settled = result.onTimeShare(15, 19);
        const double expected = reference.onTimeShare(15, 19);
        const double moving = result.onTimeShare(10, 15);
        BOOST_TEST_MESSAGE(daemons
                           << " daemons: last send after "
                           << std::chrono::duration<double>(result.lastSendToEvacuated).count()
                           << " s, on time " << moving << " in the first five seconds, then "
                           << settled << ", " << expected << " without the domain, busiest server "
                           << result.busiestServer << " of the mean, " << reference.busiestServer
                           << " without the domain");
        BOOST_TEST((result.lastSendToEvacuated <= EvacuationBudget{}.maxSendAge()));
        BOOST_TEST(settled >= 0.95 * expected);
        BOOST_TEST(moving >= 0.9 * expected);
    }
}

BOOST_AUTO_TEST_CASE(evacuationIsJudgedByItsAgeIfThePlannerIsLost)
{
    LoadScenario scenario = evacuationScenario(66, 90);
    scenario.plannerLostFor = 6s;
    const LoadResult result = LoadSimulation{scenario}.run();
    BOOST_TEST((result.lastSendToEvacuated <= EvacuationBudget{}.maxSendAge()));
    scenario.ignoresEvacuationAge = true;
    const LoadResult faulty = LoadSimulation{scenario}.run();
    BOOST_TEST((faulty.lastSendToEvacuated > EvacuationBudget::defaultBound));
}

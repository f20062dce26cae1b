#define BOOST_TEST_MODULE RowsSimulation

#include "rowssimulation.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

// Guards two limits that must hold whatever fails: 195 daemons make a bounded number of calls to
// the store, and no daemon that can reach the store routes by data on backend servers that is older
// than the budget for leaving servers allows.

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Calls per second of the one reader of each failure domain while nothing fails. */
constexpr std::uint64_t callsPerReaderAndSecond = 3;
/** Maximum age of the data by which servers may be used, for a drain time of three seconds. */
constexpr Duration maxAllowedAge = DrainBudget{3s}.maxUnconfirmedAge();
/** Time within which a configuration must be in force if the drain time is three seconds. */
constexpr Duration configTimeLimit = 3s;

struct SteadySimulation
{
    static constexpr std::size_t domains = 5;

    RowsSimulation simulation{RowsScenario{}};

    SteadySimulation()
    {
        simulation.run(10s);
        simulation.takeMaxAge();
    }

    std::uint64_t callsDuring(Duration span)
    {
        const std::uint64_t before = simulation.storeCallCount();
        simulation.run(span);
        return simulation.storeCallCount() - before;
    }

    static std::uint64_t steadyCalls(std::uint64_t seconds)
    {
        return callsPerReaderAndSecond * domains * seconds;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(coldStartTakesFewCallsPerDaemon)
{
    RowsSimulation simulation{RowsScenario{}};
    simulation.run(5s);
    BOOST_TEST(simulation.completeCount() == simulation.daemonCount());
    BOOST_TEST_MESSAGE("calls of a cold start: " << simulation.storeCallCount());
    // A read that returns the other daemons, the own row, and some waits until that row is
    // returned.
    BOOST_TEST(simulation.storeCallCount()
               <= 5 * simulation.daemonCount() + SteadySimulation::steadyCalls(5));
}

BOOST_FIXTURE_TEST_CASE(oneDaemonOfEachDomainReadsWhileNothingFails, SteadySimulation)
{
    const std::uint64_t calls = callsDuring(10s);
    BOOST_TEST_MESSAGE("calls in ten calm seconds: " << calls);
    BOOST_TEST(calls <= steadyCalls(10));
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

BOOST_FIXTURE_TEST_CASE(readersFrozenInTurnAreReplacedByOneEach, SteadySimulation)
{
    std::uint64_t calls = 0;
    for (std::size_t rank = 0; rank < 3; ++rank) {
        for (std::size_t domain = 0; domain < domains; ++domain)
            simulation.freeze(simulation.daemonAtRank(domain, rank), 4s);
        calls += callsDuring(5s);
    }
    BOOST_TEST_MESSAGE("calls while three readers of each domain freeze in turn: " << calls);
    // For each freeze: one or two calls by the next daemons in the order, and by those whose rows
    // are outdated when they continue.
    BOOST_TEST(calls <= steadyCalls(15) + 3 * domains * 8);
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

BOOST_FIXTURE_TEST_CASE(twoReadersFrozenAtOnceCauseBoundedCalls, SteadySimulation)
{
    for (std::size_t domain = 0; domain < domains; ++domain) {
        simulation.freeze(simulation.daemonAtRank(domain, 0), 4s);
        simulation.freeze(simulation.daemonAtRank(domain, 1), 4s);
    }
    const std::uint64_t calls = callsDuring(5s);
    BOOST_TEST_MESSAGE("calls while two readers of each domain freeze at once: " << calls);
    BOOST_TEST(calls <= steadyCalls(5) + 2 * simulation.daemonCount());
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

BOOST_FIXTURE_TEST_CASE(killedReaderIsReplacedByOneDaemon, SteadySimulation)
{
    for (std::size_t domain = 0; domain < domains; ++domain)
        simulation.kill(simulation.daemonAtRank(domain, 0), 2s);
    const std::uint64_t calls = callsDuring(5s);
    BOOST_TEST_MESSAGE("calls while a reader of each domain is killed: " << calls);
    // For each failure domain: a read and a row of the restarted daemon, the new rows that its
    // reader receives, and six calls of the daemon that replaces the reader.
    BOOST_TEST(calls <= steadyCalls(5) + domains * (2 + domains + 6));
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

BOOST_FIXTURE_TEST_CASE(daemonsKeepFollowingAndRewriteRemovedRows, SteadySimulation)
{
    std::vector<std::size_t> removed;
    for (std::size_t i = 0; i < 85; ++i)
        removed.push_back(2 * i);
    simulation.removeRows(removed);
    const std::uint64_t calls = callsDuring(8s);
    BOOST_TEST_MESSAGE("calls after 85 rows were removed: " << calls);
    BOOST_TEST(calls <= steadyCalls(8) + 2 * removed.size());
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

BOOST_FIXTURE_TEST_CASE(daemonsRefusedByTheStoreFollowOthers, SteadySimulation)
{
    std::mt19937_64 random{7};
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        if (random() % 3 == 0)
            simulation.setStore(i, StoreState::Refusing);
    }
    const std::uint64_t calls = callsDuring(9s);
    BOOST_TEST_MESSAGE("calls in 9 s in which the store refuses a third: " << calls);
    // Refused readers retry, at most every 0.6 s.
    BOOST_TEST(calls <= 2 * steadyCalls(9));
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

BOOST_FIXTURE_TEST_CASE(configurationArrivesInTimeIfTheStoreIsSilentToTheFirstReaders,
                        SteadySimulation)
{
    for (std::size_t first : {1U, 2U, 3U, 4U}) {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            for (std::size_t rank = 0; rank < first; ++rank)
                simulation.setStore(simulation.daemonAtRank(domain, rank), StoreState::Silent);
        }
        simulation.run(700ms);
        simulation.changeConfig();
        const std::uint64_t before = simulation.storeCallCount();
        simulation.run(configTimeLimit);
        BOOST_TEST(simulation.outdatedCount() == 0U,
                   simulation.outdatedCount()
                       << " daemons, silent to " << first << " of each order");
        BOOST_TEST_MESSAGE("calls while the store is silent to the first "
                           << first << " of each order: " << simulation.storeCallCount() - before);
        // Each daemon confirms its rows and tries the store once; meanwhile those that may be
        // readers read from it.
        const std::uint64_t reading =
            domains * ReaderChoice::maxReaders * callsPerReaderAndSecond * 4;
        BOOST_TEST(simulation.storeCallCount() - before <= 2 * simulation.daemonCount() + reading);
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i)
            simulation.setStore(i, StoreState::Answering);
        simulation.run(20s);
    }
}

BOOST_FIXTURE_TEST_CASE(unreachableStoreGetsABoundedCallRate, SteadySimulation)
{
    for (const StoreState state : {StoreState::Refusing, StoreState::Silent}) {
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i)
            simulation.setStore(i, state);
        const std::uint64_t calls = callsDuring(8s);
        BOOST_TEST_MESSAGE("calls in 8 s in which the store is away: " << calls);
        // Each daemon retries every three seconds, three of each domain every 0.8 s, after shorter
        // delays at first: less than one call per second and daemon.
        BOOST_TEST(calls <= 8 * simulation.daemonCount());
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i)
            simulation.setStore(i, StoreState::Answering);
        // The platform considers its store stable after three seconds without failures.
        simulation.run(3s);
        BOOST_TEST((simulation.maxAge() < maxAllowedAge));
        simulation.run(10s);
        simulation.takeMaxAge();
    }
}

BOOST_FIXTURE_TEST_CASE(isolatedDaemonsReadFromTheStore, SteadySimulation)
{
    for (std::size_t i = 0; i < simulation.daemonCount(); i += domains)
        simulation.isolateFromDaemons(i, 5s);
    const std::uint64_t calls = callsDuring(6s);
    BOOST_TEST_MESSAGE("calls while the daemons of a domain don't reach each other: " << calls);
    BOOST_TEST(calls <= steadyCalls(6)
                   + 6 * callsPerReaderAndSecond * simulation.daemonCount() / domains);
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
    simulation.run(6s);
    const std::uint64_t later = callsDuring(5s);
    BOOST_TEST_MESSAGE("calls in five seconds after that: " << later);
    BOOST_TEST(later <= steadyCalls(5) + 10);
}

BOOST_FIXTURE_TEST_CASE(restartOfAllDaemonsTakesFewCalls, SteadySimulation)
{
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i)
        simulation.kill(i, 1s + 1ms * (i * 37 % 300));
    const std::uint64_t calls = callsDuring(6s);
    BOOST_TEST_MESSAGE("calls in 6 s after all daemons were killed: " << calls);
    BOOST_TEST(calls <= steadyCalls(6) + 5 * simulation.daemonCount());
    BOOST_TEST(simulation.completeCount() == simulation.daemonCount());
}

BOOST_AUTO_TEST_CASE(restoredStoreIsReadAgainWithBoundedCalls)
{
    RowsScenario scenario;
    scenario.ownershipBytes = 60'000;
    scenario.serversBytes = 140'000;
    scenario.configBytes = 250'000;
    RowsSimulation simulation{scenario};
    simulation.run(20s);
    const auto setStoreOfAll = [&simulation](StoreState state) {
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i)
            simulation.setStore(i, state);
    };
    setStoreOfAll(StoreState::Silent);
    simulation.run(2500ms);
    simulation.restoreStore();
    setStoreOfAll(StoreState::Answering);
    const std::uint64_t before = simulation.storeCallCount();
    simulation.run(1s);
    const std::uint64_t firstSecond = simulation.storeCallCount() - before;
    simulation.run(2s);
    // The platform considers its store stable after three seconds without failures.
    BOOST_TEST((simulation.maxAge() < maxAllowedAge));
    BOOST_TEST(simulation.outdatedCount() == 0U);
    simulation.run(3s);
    const std::uint64_t calls = simulation.storeCallCount() - before;
    BOOST_TEST_MESSAGE("calls in the first second: " << firstSecond << ", in 6 s: " << calls);
    // The store takes 2,000 reads a second of all daemons together.
    BOOST_TEST(firstSecond <= 2000U);
    BOOST_TEST(calls <= SteadySimulation::steadyCalls(6) + 5 * simulation.daemonCount());
    simulation.takeMaxAge();
    simulation.run(10s);
    BOOST_TEST((simulation.takeMaxAge() < maxAllowedAge));
}

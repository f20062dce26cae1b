#define BOOST_TEST_MODULE RowsWorld

#include "rowsworld.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

// What is promised: whatever fails, 195 daemons call the store a bounded number of times, and none
// that could ask the store uses backend servers by what is older than the budget for leaving
// servers allows.

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** What one daemon that reads the store for its failure domain asks of it in calm times. */
constexpr std::uint64_t callsPerReaderAndSecond = 3;
/** Servers may be used by knowledge of this age at most, of a bound of three seconds. */
constexpr Duration oldest = DrainBudget{3s}.unconfirmedUse();
/** Within which a configuration is to be in force where the drain bound is three seconds. */
constexpr Duration configBound = 3s;

struct CalmWorld
{
    static constexpr std::size_t domains = 5;

    RowsWorld world{RowsScenario{}};

    CalmWorld()
    {
        world.play(10s);
        world.takeOldestKnowledge();
    }

    std::uint64_t callsWithin(Duration span)
    {
        const std::uint64_t before = world.storeCalls();
        world.play(span);
        return world.storeCalls() - before;
    }

    static std::uint64_t calm(std::uint64_t seconds)
    {
        return callsPerReaderAndSecond * domains * seconds;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(aColdStartOfAllCostsAFewCallsADaemon)
{
    RowsWorld world{RowsScenario{}};
    world.play(5s);
    BOOST_TEST(world.completeCount() == world.daemonCount());
    BOOST_TEST_MESSAGE("calls of a cold start: " << world.storeCalls());
    // One read that tells of the others, the own row, and some waits until the own row is seen.
    BOOST_TEST(world.storeCalls() <= 5 * world.daemonCount() + CalmWorld::calm(5));
}

BOOST_FIXTURE_TEST_CASE(inCalmTimesOneDaemonOfEachDomainAsks, CalmWorld)
{
    const std::uint64_t calls = callsWithin(10s);
    BOOST_TEST_MESSAGE("calls in ten calm seconds: " << calls);
    BOOST_TEST(calls <= calm(10));
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
}

BOOST_FIXTURE_TEST_CASE(readersThatFreezeOneAfterTheOtherAreReplacedByOneEach, CalmWorld)
{
    std::uint64_t calls = 0;
    for (std::size_t rank = 0; rank < 3; ++rank) {
        for (std::size_t domain = 0; domain < domains; ++domain)
            world.freeze(world.daemonOf(domain, rank), 4s);
        calls += callsWithin(5s);
    }
    BOOST_TEST_MESSAGE("calls while three readers of each domain freeze in turn: " << calls);
    // Each freeze: a call or two by those next in the order, and whoever is behind on its host.
    BOOST_TEST(calls <= calm(15) + 3 * domains * 8);
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
}

BOOST_FIXTURE_TEST_CASE(twoReadersThatFreezeAtOnceCostACallADaemonAtMost, CalmWorld)
{
    for (std::size_t domain = 0; domain < domains; ++domain) {
        world.freeze(world.daemonOf(domain, 0), 4s);
        world.freeze(world.daemonOf(domain, 1), 4s);
    }
    const std::uint64_t calls = callsWithin(5s);
    BOOST_TEST_MESSAGE("calls while two readers of each domain freeze at once: " << calls);
    BOOST_TEST(calls <= calm(5) + 2 * world.daemonCount());
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
}

BOOST_FIXTURE_TEST_CASE(aKilledReaderIsReplacedByOne, CalmWorld)
{
    for (std::size_t domain = 0; domain < domains; ++domain)
        world.kill(world.daemonOf(domain, 0), 2s);
    const std::uint64_t calls = callsWithin(5s);
    BOOST_TEST_MESSAGE("calls while a reader of each domain is killed: " << calls);
    // A read and a row of each that starts again, rows that each reader hears of, and six calls of
    // each that reads instead.
    BOOST_TEST(calls <= calm(5) + domains * (2 + domains + 6));
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
}

BOOST_FIXTURE_TEST_CASE(daemonsWhoseRowsAreRemovedFollowOnAndWriteThemAnew, CalmWorld)
{
    std::vector<std::size_t> removed;
    for (std::size_t i = 0; i < 85; ++i)
        removed.push_back(2 * i);
    world.removeRows(removed);
    const std::uint64_t calls = callsWithin(8s);
    BOOST_TEST_MESSAGE("calls after 85 rows were removed: " << calls);
    BOOST_TEST(calls <= calm(8) + 2 * removed.size());
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
}

BOOST_FIXTURE_TEST_CASE(aThirdThatTheStoreTurnsAwayFollowTheOthers, CalmWorld)
{
    std::mt19937_64 random{7};
    for (std::size_t i = 0; i < world.daemonCount(); ++i) {
        if (random() % 3 == 0)
            world.setStore(i, StoreState::Refusing);
    }
    const std::uint64_t calls = callsWithin(9s);
    BOOST_TEST_MESSAGE("calls in 9 s in which the store refuses a third: " << calls);
    // Readers that are refused go on trying, at most every 0.6 s.
    BOOST_TEST(calls <= 2 * calm(9));
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
}

BOOST_FIXTURE_TEST_CASE(aConfigurationComesInTimeThoughTheStoreIsSilentToTheFirstOfEachOrder,
                        CalmWorld)
{
    for (std::size_t first : {1U, 2U, 3U, 4U}) {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            for (std::size_t rank = 0; rank < first; ++rank)
                world.setStore(world.daemonOf(domain, rank), StoreState::Silent);
        }
        world.play(700ms);
        world.changeConfig();
        const std::uint64_t before = world.storeCalls();
        world.play(configBound);
        BOOST_TEST(world.behindCount() == 0U,
                   world.behindCount() << " daemons, silent to " << first << " of each order");
        BOOST_TEST_MESSAGE("calls while the store is silent to the first "
                           << first << " of each order: " << world.storeCalls() - before);
        // A daemon confirms what it knows and tries the store once; those that others may follow
        // read it meanwhile.
        const std::uint64_t reading =
            domains * ReaderChoice::mostReaders * callsPerReaderAndSecond * 4;
        BOOST_TEST(world.storeCalls() - before <= 2 * world.daemonCount() + reading);
        for (std::size_t i = 0; i < world.daemonCount(); ++i)
            world.setStore(i, StoreState::Answering);
        world.play(20s);
    }
}

BOOST_FIXTURE_TEST_CASE(aStoreThatIsAwayForAllIsNotPressed, CalmWorld)
{
    for (const StoreState state : {StoreState::Refusing, StoreState::Silent}) {
        for (std::size_t i = 0; i < world.daemonCount(); ++i)
            world.setStore(i, state);
        const std::uint64_t calls = callsWithin(8s);
        BOOST_TEST_MESSAGE("calls in 8 s in which the store is away: " << calls);
        // A daemon tries every three seconds, three of each domain every 0.8 s, after pauses that
        // are shorter at first: less than one call a second and daemon.
        BOOST_TEST(calls <= 8 * world.daemonCount());
        for (std::size_t i = 0; i < world.daemonCount(); ++i)
            world.setStore(i, StoreState::Answering);
        // The platform counts its store as stable after three seconds without trouble.
        world.play(3s);
        BOOST_TEST((world.oldestKnowledge() < oldest));
        world.play(10s);
        world.takeOldestKnowledge();
    }
}

BOOST_FIXTURE_TEST_CASE(daemonsThatAreCutFromTheOthersReadTheStoreThemselves, CalmWorld)
{
    for (std::size_t i = 0; i < world.daemonCount(); i += domains)
        world.cutFromDaemons(i, 5s);
    const std::uint64_t calls = callsWithin(6s);
    BOOST_TEST_MESSAGE("calls while the daemons of a domain don't reach each other: " << calls);
    BOOST_TEST(calls <= calm(6) + 6 * callsPerReaderAndSecond * world.daemonCount() / domains);
    BOOST_TEST((world.takeOldestKnowledge() < oldest));
    world.play(6s);
    const std::uint64_t later = callsWithin(5s);
    BOOST_TEST_MESSAGE("calls in five seconds after that: " << later);
    BOOST_TEST(later <= calm(5) + 10);
}

BOOST_FIXTURE_TEST_CASE(allThatAreKilledAtOnceComeBackWithAFewCalls, CalmWorld)
{
    for (std::size_t i = 0; i < world.daemonCount(); ++i)
        world.kill(i, 1s + 1ms * (i * 37 % 300));
    const std::uint64_t calls = callsWithin(6s);
    BOOST_TEST_MESSAGE("calls in 6 s after all daemons were killed: " << calls);
    BOOST_TEST(calls <= calm(6) + 5 * world.daemonCount());
    BOOST_TEST(world.completeCount() == world.daemonCount());
}

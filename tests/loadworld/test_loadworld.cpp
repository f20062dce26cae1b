#define BOOST_TEST_MODULE LoadWorld

#include "loadworld.h"

#include <boost/test/unit_test.hpp>

// Hot keys at many servers, all of which have to share the work.

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** A fifth of all requests is for one key after the other, and for a while most are for a few. */
LoadScenario hotDay(std::uint64_t seed)
{
    LoadScenario scenario;
    scenario.seed = seed;
    scenario.hotSpells = {{500ms, 5500ms, 0.2, 1},
                          {5500ms, 10500ms, 0.2, 1},
                          {10500ms, 15500ms, 0.2, 1},
                          {2300ms, 7300ms, 0.38, 200},
                          {7800ms, 11800ms, 0.4, 60}};
    return scenario;
}

void print(const char *name, const LoadResult &result)
{
    BOOST_TEST_MESSAGE(name << ": worth " << result.worth() << ", on time " << result.onTime
                            << " and late " << result.late << " of " << result.requests
                            << ", rejected by servers " << result.rejectedByServers << " of "
                            << result.arrivals);
}

} // namespace

BOOST_AUTO_TEST_CASE(manyServersAreAllPutToUseAtOnceOnADayOfHotKeys)
{
    for (const std::uint64_t seed : {1U, 2U}) {
        const LoadResult result = LoadWorld{hotDay(seed)}.run();
        print("as it is", result);
        BOOST_TEST(result.worth() > 0.5);
    }
}

BOOST_AUTO_TEST_CASE(theDecisionsThatWereWrongShow)
{
    LoadScenario few = hotDay(1);
    few.firstDivision = 16;
    few.joinEachRound = 6;
    const LoadResult dividedAmongFew = LoadWorld{few}.run();
    print("divided among 16", dividedAmongFew);
    LoadScenario alone = hotDay(1);
    alone.isFirstWindowAlone = true;
    const LoadResult begunAlone = LoadWorld{alone}.run();
    print("first windows of two", begunAlone);
    LoadScenario unshared = hotDay(1);
    unshared.hasShares = false;
    const LoadResult allLetIn = LoadWorld{unshared}.run();
    print("no shares", allLetIn);
    BOOST_TEST(dividedAmongFew.worth() < 0.35);
    BOOST_TEST(begunAlone.worth() > 0.5);
    BOOST_TEST(allLetIn.worth() > 0.5);
}

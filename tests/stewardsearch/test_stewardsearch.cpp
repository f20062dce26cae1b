#define BOOST_TEST_MODULE StewardSearch

#include "randomschedule.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush::test;

// BULRUSH_SEARCH_FIRST and BULRUSH_SEARCH_COUNT override the default range of seeds.
BOOST_AUTO_TEST_CASE(noScheduleYieldsTwoLeaders)
{
    const auto first = numberFromEnvironment("BULRUSH_SEARCH_FIRST", 1);
    const auto count = numberFromEnvironment("BULRUSH_SEARCH_COUNT", 1000);
    std::uint64_t epochs = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const ScheduleResult result = runSchedule(seed);
        BOOST_REQUIRE_MESSAGE(result.violations.empty(), describe(seed, result));
        epochs += result.lastEpoch;
    }
    BOOST_TEST_MESSAGE("seeds " << first << " to " << first + count - 1 << ", " << epochs
                                << " epochs");
    BOOST_TEST(epochs > count);
}

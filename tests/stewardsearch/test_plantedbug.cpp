#define BOOST_TEST_MODULE PlantedBug

#include "randomschedule.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush::test;

BOOST_AUTO_TEST_CASE(searchDetectsThePlantedFault)
{
    constexpr std::uint64_t maxSeeds = 1000;
    std::uint64_t seed = 1;
    while (seed <= maxSeeds && runSchedule(seed).violations.empty())
        ++seed;
    BOOST_TEST_MESSAGE("found with seed " << seed);
    BOOST_TEST(seed <= maxSeeds);
}

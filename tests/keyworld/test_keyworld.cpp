#define BOOST_TEST_MODULE KeySimulation

#include "keysimulation.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <optional>
#include <string>

using namespace bulrush::test;

namespace {

/** Few enough for each test run; BULRUSH_SEARCH_SEEDS sets another number for a long search. */
constexpr std::uint64_t defaultSeeds = 100;
/** Limit of the search for a planted bug, which stops at the first seed that finds it. */
constexpr std::uint64_t maxSeeds = 600;

std::uint64_t seedCount()
{
    const char *text = std::getenv("BULRUSH_SEARCH_SEEDS");
    return text ? std::stoull(text) : defaultSeeds;
}

struct PlantedBug
{
    PlantedFault planted;
    const char *name;
};

std::ostream &operator<<(std::ostream &out, const PlantedBug &bug)
{
    return out << bug.name;
}

constexpr std::array plantedBugs = {
    PlantedBug{PlantedFault::ReleaseWithOldFence, "release with the old fence"},
    PlantedBug{PlantedFault::MoveWithoutWaiting, "move without waiting"},
    PlantedBug{PlantedFault::RenewalRightFromLater, "right to renew counted from later"},
    PlantedBug{PlantedFault::NoCheckAfterFreeze, "no check of the clock after a freeze"},
    PlantedBug{PlantedFault::ForgetsGrants, "a daemon forgets its grants"},
    PlantedBug{PlantedFault::FenceNotRaised, "fencing token is not raised"},
    PlantedBug{PlantedFault::DelayedBytesArrive, "bytes delayed by a partition arrive"},
    PlantedBug{PlantedFault::RenewsOtherRun, "another run is renewed under the old fence"},
};

constexpr std::array plantedRestoreBugs = {
    PlantedBug{PlantedFault::ForgetsAssignments, "assignments that the store lost are forgotten"},
    PlantedBug{PlantedFault::TrustsCopy, "assignments in the copy count as the last ones"},
};

std::optional<std::uint64_t> firstViolatingSeed(PlantedFault planted, std::uint64_t count,
                                                bool hasRestores = false)
{
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        if (!KeySimulation{seed, planted, hasRestores}.run().violation.empty())
            return seed;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_CASE(keyHasOneOwnerThroughAllFaults)
{
    int moves = 0;
    const std::uint64_t seeds = seedCount();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const SimulationResult result = KeySimulation{seed, PlantedFault::None}.run();
        BOOST_TEST(result.violation == "", "seed " << seed << ": " << result.violation);
        BOOST_TEST(result.servedAtEnd == 1.0, "seed " << seed << " serves " << result.servedAtEnd);
        moves += result.moves;
    }
    BOOST_TEST(moves > 10 * static_cast<int>(seeds));
}

BOOST_AUTO_TEST_CASE(keyHasOneOwnerAlthoughTheStoreReturnsFromOlderCopies)
{
    const std::uint64_t seeds = seedCount();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const SimulationResult result = KeySimulation{seed, PlantedFault::None, true}.run();
        BOOST_TEST(result.violation == "", "seed " << seed << ": " << result.violation);
        BOOST_TEST(result.servedAtEnd == 1.0, "seed " << seed << " serves " << result.servedAtEnd);
    }
}

BOOST_DATA_TEST_CASE(searchFindsPlantedRestoreBug, boost::unit_test::data::make(plantedRestoreBugs),
                     bug)
{
    const std::optional<std::uint64_t> seed = firstViolatingSeed(bug.planted, maxSeeds, true);
    BOOST_TEST(seed.has_value());
    if (seed)
        BOOST_TEST_MESSAGE(bug.name << " found by seed " << *seed);
}

BOOST_DATA_TEST_CASE(searchFindsPlantedBug, boost::unit_test::data::make(plantedBugs), bug)
{
    const std::optional<std::uint64_t> seed = firstViolatingSeed(bug.planted, maxSeeds);
    BOOST_TEST(seed.has_value());
    if (seed)
        BOOST_TEST_MESSAGE(bug.name << " found by seed " << *seed);
}

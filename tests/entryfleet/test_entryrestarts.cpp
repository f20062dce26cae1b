#define BOOST_TEST_MODULE EntryRestarts

#include "entryfleet/restartfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_CASE(restartedServerGetsKeysOnlyUnderHigherFences, RestartFleet)
{
    for (int i = 0; i < 3; ++i) {
        const std::string owner = ownerOf("a1", 0);
        const std::uint64_t before = highestFence(owner);
        const auto startedAt = std::chrono::steady_clock::now();
        restartServer(owner);
        BOOST_TEST(eventually([&] { return allHostsServe(); }));
        // The daemons wait neither for the record to expire nor for the hold of the last grant.
        const auto took = std::chrono::steady_clock::now() - startedAt;
        BOOST_TEST((took < 2900ms), std::chrono::duration<double>(took).count() << " s");
        // By now each daemon that still granted to the earlier run would have sent a renewal.
        std::this_thread::sleep_for(2s);
        BOOST_TEST(lowestFence(owner) > before);
        BOOST_TEST(firstOverlap() == "");
    }
}

#define BOOST_TEST_MODULE EntryReborn

#include "entryfleet/restartfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** The store removes a record after three missed heartbeats, here of 1.5 s. */
constexpr auto recordLifetime = 4500ms;

struct Fleet : RestartFleet
{
    /** Restarts the owner of some keys without a record, and checks the fences of its next run. */
    void checkRunWithoutRecord(bool isDaemonKilled)
    {
        const std::string owner = ownerOf("a1", 0);
        const std::string host = owner == "c1" || owner == "c3" ? "a1" : "b1";
        const std::uint64_t before = highestFence(owner);
        if (isDaemonKilled)
            daemon(host).kill();
        restartServerBehindCut(owner);
        const auto recordEnds = std::chrono::steady_clock::now() + recordLifetime;
        if (isDaemonKilled)
            startDaemon(host);
        std::this_thread::sleep_until(recordEnds);
        BOOST_TEST(lowestFence(owner) > before);
        removeRecord(owner);
        BOOST_TEST(eventually([&] { return allHostsServe(); }));
        BOOST_TEST(lowestFence(owner) > before);
        BOOST_TEST(firstOverlap() == "");
    }
};

} // namespace

// A run that crashes behind a cut and starts again can't write its record: the daemons granted it
// the keys of the run before under that run's fencing tokens.
BOOST_FIXTURE_TEST_CASE(runWithoutRecordGetsNoOldFences, Fleet)
{
    checkRunWithoutRecord(false);
}

// The same by a daemon that has just started, and so has only new connections.
BOOST_FIXTURE_TEST_CASE(startedDaemonGrantsNoOldFences, Fleet)
{
    checkRunWithoutRecord(true);
}

#define BOOST_TEST_MODULE EntryRequests

#include "entryfleet/servingfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(daemonWithoutConfigurationRejectsRequestsAndIsNotReady)
{
    EntryFleet fleet{{"a1"}};
    fleet.startDaemons();
    const SyncHttpResult result = fleet.read("a1", 1);
    BOOST_TEST(result.status == 503);
    BOOST_TEST(result.header("Retry-After").has_value());
    BOOST_TEST(fleet.page("a1", "/readyz") == "not ready\n");
    fleet.writeConfig();
    fleet.startServers();
    BOOST_TEST(EntryFleet::eventually([&] { return fleet.page("a1", "/readyz") == "ready\n"; }));
}

BOOST_FIXTURE_TEST_CASE(eachKindOfRequestGetsItsServersAnswer, PairFleet)
{
    const SyncHttpResult read = send("a1", "GET", "/read/x", 7);
    BOOST_TEST(read.status == 200);
    BOOST_TEST(read.header("X-Bulrushswitch-Response-Stamp").has_value());
    BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "euro=120").status == 200);
    // Larger than the part of the body that the daemon reads together with the header.
    const std::string large(3 << 20, 'x');
    BOOST_TEST(send("b1", "POST", "/upload/x", std::nullopt, large).status == 200);
    BOOST_TEST(send("b1", "GET", "/none/x").status == 404);
    BOOST_TEST(repeatedRuns().empty());
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(aRequestThatRunsOnceIsNotSentAgainWhenItsAnswerIsLost, PairFleet)
{
    for (const std::string id : {"p1", "p2"})
        injectAnswerFaults(id, "lose", 1);
    BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "euro=120").status == 502);
    for (const std::string id : {"p1", "p2"})
        injectAnswerFaults(id, "cut", 1);
    BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "euro=120").status == 502);
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_FIXTURE_TEST_CASE(anIdempotentRequestIsSentAgainWhenItsAnswerIsLost, PairFleet)
{
    const std::string owner = ownerOf("a1", 100);
    BOOST_REQUIRE(!owner.empty());
    for (int i = 0; i < 40; ++i)
        read("a1", 100); // earns retry budget
    injectAnswerFaults(owner, "lose", 1);
    BOOST_TEST(read("a1", 100).status == 200);
    injectAnswerFaults(owner, "cut", 1);
    BOOST_TEST(read("a1", 100).status == 200);
    BOOST_TEST(repeatedRuns().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(aConfigurationIsFollowedAndNeverGoesBack, PairFleet)
{
    BOOST_TEST(send("a1", "GET", "/new/x").status == 404);
    writeConfig({"/new/"});
    BOOST_TEST(eventually([&] { return send("a1", "GET", "/new/x").status == 200; }));
    BOOST_TEST(eventually([&] { return send("b1", "GET", "/new/x").status == 200; }));
    // The daemon misses a change in the feed, and the store deletes its history.
    setStoreFault("a1", "deaf");
    writeConfig({"/new/", "/newer/"});
    BOOST_TEST(eventually([&] { return send("b1", "GET", "/newer/x").status == 200; }));
    setStoreFault("a1", "ok");
    dropHistory();
    BOOST_TEST(eventually([&] { return send("a1", "GET", "/newer/x").status == 200; }));
    BOOST_TEST(send("a1", "GET", "/new/x").status == 200);
}

BOOST_FIXTURE_TEST_CASE(drainingServerGetsNoMoreRequests, PairFleet)
{
    writeRecord("p1", "draining");
    std::this_thread::sleep_for(2s);
    const std::size_t before = runs().size();
    int served = 0;
    for (int i = 0; i < 20; ++i)
        served += send("a1", "POST", "/pay/x", std::nullopt, "x").status == 200 ? 1 : 0;
    BOOST_TEST(served == 20);
    const std::vector<RequestRun> all = runs();
    for (std::size_t i = before; i < all.size(); ++i)
        BOOST_TEST(all[i].server != "p1");
}

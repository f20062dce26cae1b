#define BOOST_TEST_MODULE EntryEvacuation

#include "entryfleet/checkedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

/** Default time after which servers of an evacuated domain must not get any more requests. */
constexpr auto evacuationBound = 5s;
/** Requests in a second that a cold server of these tests bears. */
constexpr double coldRate = 5.0;
/** Beyond this number of requests in a second a cold server crashes, as on the users' platform. */
constexpr int coldLimit = 15;

std::int64_t microseconds(Clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

struct TwoDomainFleet : CheckedFleet
{
    TwoDomainFleet()
        : CheckedFleet({"a1", "a2", "a3", "b1", "b2", "b3"})
    {
        limitColdServers(coldRate, 3s);
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
    }

    /** Sends requests through all hosts for \a span. \returns how many were not served. */
    int countUnservedFor(std::chrono::milliseconds span)
    {
        int unserved = 0;
        const auto end = Clock::now() + span;
        for (int i = 0; Clock::now() < end; ++i) {
            const std::string &host = hosts[static_cast<std::size_t>(i) % hosts.size()];
            const int key = i * 4099 % 65'536;
            unserved +=
                send(host, "GET", "/read/" + std::to_string(key), key).status == 200 ? 0 : 1;
            unserved += send(host, "POST", "/pay/x", std::nullopt, "x").status == 200 ? 0 : 1;
        }
        return unserved;
    }

    /** \returns how many requests started at one of \a servers from \a from on. */
    std::ptrdiff_t runsAt(const std::vector<std::string> &servers, Clock::time_point from)
    {
        const std::vector<RequestRun> all = runs();
        return std::ranges::count_if(all, [&](const RequestRun &run) {
            return std::ranges::find(servers, run.server) != servers.end()
                && run.startUs >= microseconds(from);
        });
    }

    bool isEvacuated(const std::string &host, const std::string &domain)
    {
        return page(host, "/status").find("evacuated: " + domain) != std::string::npos;
    }

    std::vector<std::string> hosts{"a1", "a2", "a3", "b1", "b2", "b3"};
    std::vector<std::string> serversOfA{"c1", "c3", "p1"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(evacuatedDomainGetsNothingAndItsCallersAreServed, TwoDomainFleet)
{
    countUnservedFor(500ms);
    BOOST_TEST(runsAt(serversOfA, Clock::time_point{}) > 0);
    evacuate("a");
    const auto acknowledgedAt = Clock::now();
    // Keys move with a handover, in a time for which requests wait.
    BOOST_TEST(countUnservedFor(6s) == 0);
    BOOST_TEST(runsAt(serversOfA, acknowledgedAt + evacuationBound) == 0);
    for (const std::string &host : hosts)
        BOOST_TEST(isEvacuated(host, "a"), host);
    const std::string report = page("b1", "/evacuations");
    BOOST_TEST(report.find(R"("evacuated":[{"age":)") != std::string::npos, report);
    BOOST_TEST(report.find(R"("domain":"a","inFlight":0,"keys":0,"servers":2)")
                   != std::string::npos,
               report);
    // The keys have long moved, so that no more than the owners' part of the bound was used.
    BOOST_TEST(runsAt(serversOfA, acknowledgedAt + 3s) == 0);
    endEvacuation("a");
    BOOST_TEST(eventually([this] {
        const auto since = Clock::now();
        countUnservedFor(300ms);
        return runsAt({"c1", "c3"}, since) > 0 && runsAt({"p1"}, since) > 0;
    }));
    BOOST_TEST(firstOverlap().empty());
    BOOST_TEST(repeatedRuns().empty());
}

BOOST_FIXTURE_TEST_CASE(daemonThatStartsInAnEvacuationFollowsIt, TwoDomainFleet)
{
    evacuate("a");
    BOOST_REQUIRE(eventually([this] { return isEvacuated("b1", "a"); }));
    daemon("a2").kill();
    startDaemon("a2");
    std::this_thread::sleep_for(evacuationBound);
    const auto since = Clock::now();
    BOOST_TEST(eventually([this] { return servesKeys("a2"); }));
    countUnservedFor(1s);
    BOOST_TEST(runsAt(serversOfA, since) == 0);
}

BOOST_FIXTURE_TEST_CASE(allDomainsEvacuatedMeansARefusalAtOnce, TwoDomainFleet)
{
    evacuate("a");
    evacuate("b");
    evacuate("nowhere");
    std::this_thread::sleep_for(evacuationBound);
    const auto since = Clock::now();
    for (const std::string &host : hosts) {
        const SyncHttpResult paid = send(host, "POST", "/pay/x", std::nullopt, "x");
        BOOST_TEST(paid.status == 503);
        BOOST_TEST(read(host, 0).status == 503);
    }
    BOOST_TEST((Clock::now() - since < 1s));
    BOOST_TEST(runsAt({"c1", "c2", "c3", "c4", "p1", "p2"}, since) == 0);
    endEvacuation("b");
    BOOST_TEST(eventually([this] { return servesKeys("a1"); }));
}

BOOST_FIXTURE_TEST_CASE(allDaemonsTogetherSpareAColdServer, TwoDomainFleet)
{
    startServer({.id = "p3", .service = "payments", .coldMs = 3000, .coldLimit = coldLimit});
    const auto startedAt = Clock::now();
    // All requests of the service are for the cold server from now on.
    writeRecord("p1", "draining");
    writeRecord("p2", "draining");
    countUnservedFor(3s);
    const std::ptrdiff_t whileCold = runsAt({"p3"}, startedAt);
    BOOST_TEST(whileCold >= 3);
    BOOST_TEST(static_cast<double>(whileCold) <= 3.0 * coldRate + 2.0);
    // Then the other daemons begin to use it.
    BOOST_TEST(eventually([this] { return countUnservedFor(300ms) == 0; }));
    BOOST_TEST((Clock::now() - startedAt < 3s + 4s));
}

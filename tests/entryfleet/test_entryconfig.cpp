#define BOOST_TEST_MODULE EntryConfig

#include "entryfleet/servingfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

const std::vector<std::string> hosts{"a1", "a2", "b1"};
constexpr const char *configVersionMetric = "bulrush_config_version";

} // namespace

BOOST_FIXTURE_TEST_CASE(rapidConfigChangesApplyWithinTwoSecondsWithoutRollback, ServingFleet)
{
    std::map<std::string, std::int64_t> seen;
    const auto checkVersions = [&] {
        for (const std::string &host : hosts) {
            const std::int64_t version = counter(host, configVersionMetric);
            BOOST_TEST(version >= seen[host], host << " went back to " << version);
            seen[host] = version;
        }
    };
    for (int i = 0; i < 12; ++i) {
        writeConfig({"/added" + std::to_string(i) + "/"});
        checkVersions();
    }
    const auto written = Clock::now();
    const std::int64_t last = configVersion();
    BOOST_TEST(eventually([&] {
        checkVersions();
        return std::ranges::all_of(seen, [&](const auto &entry) { return entry.second == last; });
    }));
    BOOST_TEST((Clock::now() - written < 2s));
    // The last version is in force completely: its own route exists, those of earlier versions do
    // not.
    BOOST_TEST(send("a1", "GET", "/added11/x").status == 200);
    BOOST_TEST(send("a1", "GET", "/added3/x").status == 404);
}

BOOST_FIXTURE_TEST_CASE(restartedDaemonServesOnlyTheNewestVersion, ServingFleet)
{
    writeConfig({"/new/"});
    daemon("a1").kill();
    startDaemon("a1");
    const auto end = Clock::now() + 3s;
    bool isServed = false;
    while (Clock::now() < end && !isServed) {
        const SyncHttpResult result = send("a1", "GET", "/new/x");
        // Without a configuration, the daemon cannot decide that the route does not exist (404).
        BOOST_TEST((result.status == 200 || result.status == 503), "got " << result.status);
        isServed = result.status == 200;
    }
    BOOST_TEST(isServed);
}

BOOST_FIXTURE_TEST_CASE(invalidConfigKeepsThePreviousOneInForce, ServingFleet)
{
    writeRawConfig("{\"version\": \"000000f0\", \"hosts\": 7}");
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "euro=1").status == 200);
    writeConfig({"/new/"});
    BOOST_TEST(eventually([&] { return send("a1", "GET", "/new/x").status == 200; }));
}

BOOST_FIXTURE_TEST_CASE(trafficIsSplitByTheWeightsInForce, ServingFleet)
{
    startServer({"f1", "fieldops", "a"});
    for (const int weight : {1, 4}) {
        splitTraffic({{"payments", 4}, {"fieldops", weight}});
        writeConfig();
        for (const std::string &host : hosts) {
            BOOST_TEST(
                eventually([&] { return counter(host, configVersionMetric) == configVersion(); }));
        }
        BOOST_TEST(eventually(
            [&] { return send("a1", "POST", "/split/x", std::nullopt, "x").status == 200; }));
        const std::size_t before = runs().size();
        constexpr int requests = 400;
        for (int i = 0; i < requests; ++i) {
            const std::string &host = hosts[static_cast<std::size_t>(i) % hosts.size()];
            BOOST_TEST(send(host, "POST", "/split/x", std::nullopt, "x").status == 200);
        }
        const std::vector<RequestRun> all = runs();
        const auto part =
            std::count_if(all.begin() + static_cast<std::ptrdiff_t>(before), all.end(),
                          [](const RequestRun &run) { return run.server == "f1"; });
        const double share = static_cast<double>(part) / requests;
        BOOST_TEST(std::abs(share - weight / (4.0 + weight)) < 0.06, "share " << share);
    }
}

BOOST_FIXTURE_TEST_CASE(drainingServerGetsNoLateRequestsIfTheFeedMissesChanges, ServingFleet)
{
    setStoreFault("a1", "deaf");
    writeRecord("p1", "draining");
    const auto drainedAt = Clock::now();
    std::this_thread::sleep_for(1s);
    setStoreFault("a1", "ok");
    dropHistory();
    std::this_thread::sleep_until(drainedAt + 2s);
    const std::size_t before = runs().size();
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "x").status == 200);
    const std::vector<RequestRun> all = runs();
    for (std::size_t i = before; i < all.size(); ++i)
        BOOST_TEST(all[i].server != "p1");
}

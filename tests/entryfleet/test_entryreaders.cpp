#define BOOST_TEST_MODULE EntryReaders

#include "entryfleet/domainfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

struct ReaderFleet : DomainFleet
{
    /** Checks that all hosts except \a lost adopt a new configuration within two seconds. */
    void requireConfigAdopted(const std::string &lost)
    {
        writeConfig({"/added" + std::to_string(configVersion()) + "/"});
        const auto written = Clock::now();
        for (const std::string &host : hosts) {
            if (host == lost)
                continue;
            BOOST_TEST(eventually([&] { return isConfigInForce(host); }));
        }
        const auto took = Clock::now() - written;
        BOOST_TEST((took < 2s), "took " << std::chrono::duration<double>(took).count() << " s");
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(oneDaemonPerDomainReadsTheStore, ReaderFleet)
{
    const auto calls = storeCallsDuring(8s);
    int readers = 0;
    for (const auto &[host, count] : calls)
        readers += count >= 8 ? 1 : 0;
    BOOST_TEST(readers == 1);
    std::uint64_t all = 0;
    for (const auto &[host, count] : calls)
        all += count;
    // One reader's feed requests, which wait up to one second, and the writes of the planner lease.
    BOOST_TEST(all <= 32U);
    requireConfigAdopted("");
}

BOOST_FIXTURE_TEST_CASE(changesApplyInTimeWhileTheReaderIsFrozen, ReaderFleet)
{
    const std::string frozen = reader();
    daemon(frozen).stop();
    requireConfigAdopted(frozen);
    daemon(frozen).resume();
    requireConfigAdopted("");
}

BOOST_FIXTURE_TEST_CASE(changesApplyInTimeWhileTheReaderCannotReachTheStore, ReaderFleet)
{
    for (const std::string mode : {"silent", "busy"}) {
        const std::string cut = reader();
        setStoreFault(cut, mode);
        requireConfigAdopted(cut);
        setStoreFault(cut, "ok");
        std::this_thread::sleep_for(3s);
        requireConfigAdopted("");
    }
}

BOOST_FIXTURE_TEST_CASE(anotherDaemonReadsOnceTheReaderIsLost, ReaderFleet)
{
    const std::string lost = reader();
    daemon(lost).kill();
    requireConfigAdopted(lost);
    std::this_thread::sleep_for(6s);
    auto calls = storeCallsDuring(6s);
    calls.erase(lost);
    const auto [fewestCalls, mostCalls] =
        std::ranges::minmax_element(calls, {}, [](const auto &entry) { return entry.second; });
    BOOST_TEST(mostCalls->second > 2 * fewestCalls->second);
    startDaemon(lost);
    BOOST_TEST(eventually([&] { return servesKeys(lost); }));
    requireConfigAdopted("");
}

BOOST_FIXTURE_TEST_CASE(daemonsRewriteTheirRemovedRowsAndContinueToFollow, ReaderFleet)
{
    const std::string reading = reader();
    for (const std::string &host : hosts)
        removeDaemonRow(host);
    const auto calls = storeCallsDuring(6s);
    for (const auto &[host, count] : calls) {
        // A call to write its row, and some store reads while no other daemon ranks before it.
        if (host != reading)
            BOOST_TEST(count <= 12U, host << " made " << count << " calls");
    }
    requireConfigAdopted("");
    BOOST_TEST(
        eventually([&] { return servesKeys("a1") && servesKeys("a2") && servesKeys("a3"); }));
    constexpr const char *written =
        "bulrush_store_calls_total{call=\"commit\",table=\"ownership\",outcome=\"done\"}";
    for (const std::string &host : hosts)
        BOOST_TEST(counter(host, written) >= 2);
}

BOOST_FIXTURE_TEST_CASE(followersStopUsingADrainingServerInTime, ReaderFleet)
{
    writeRecord("p1", "draining");
    const auto drainingSince = Clock::now();
    std::this_thread::sleep_until(drainingSince + 2s);
    const std::size_t before = runs().size();
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(send(hosts[i % hosts.size()], "POST", "/pay/x", std::nullopt, "x").status
                   == 200);
    const std::vector<RequestRun> all = runs();
    for (std::size_t i = before; i < all.size(); ++i)
        BOOST_TEST(all[i].server != "p1");
}

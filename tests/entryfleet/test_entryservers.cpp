#define BOOST_TEST_MODULE EntryServers

#include "entryfleet/restartfleet.h"
#include "entryfleet/servingfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_CASE(grantsAreNotRenewedAfterAnUnnoticedRestart, RestartFleet)
{
    const std::string owner = ownerOf("a1", 0);
    const std::uint64_t before = highestFence(owner);
    // No daemon receives the new record, and the right to renew remains valid for some seconds.
    setStoreFault("*", "deaf");
    restartServer(owner);
    std::this_thread::sleep_for(3s);
    BOOST_TEST(lowestFence(owner) > before);
    setStoreFault("*", "ok");
    BOOST_TEST(eventually([&] { return allHostsServe(); }));
    BOOST_TEST(lowestFence(owner) > before);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(invalidRecordsAreIgnoredAndOtherServersKeepServing, ServingFleet)
{
    const std::vector<std::string> invalidRecords = {
        "",
        "{",
        "[]",
        "null",
        "\xff\xfe",
        "{\"service\":3}",
        std::string(5000, '['),
        "{\"service\":\"catalogue\",\"address\":\"x\"}"};
    for (std::size_t i = 0; i < invalidRecords.size(); ++i)
        writeRawRecord("foreign" + std::to_string(i), invalidRecords[i]);
    BOOST_TEST(countFailedReadsFor(1500ms, "a1") == 0);
    BOOST_TEST(countFailedReadsFor(500ms, "b1") == 0);
    // A foreign record that overwrites a server's own: the server is unlisted until it writes its
    // record again.
    const std::string owner = ownerOf("a1", 0);
    writeRawRecord(owner, "{\"service\":\"catalogue\",\"slots\":4000000000}");
    BOOST_TEST(eventually([&] {
        const std::string now = ownerOf("b1", 0);
        return !now.empty() && now != owner;
    }));
    writeRecord(owner, "ready");
    BOOST_TEST(eventually([&] { return servesKeys("a1") && servesKeys("b1"); }));
    BOOST_TEST(countFailedReadsFor(500ms, "a2") == 0);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(serverWhoseRecordChangesAndIsRemovedAtOnceGetsNothing, ServingFleet)
{
    rewriteAndRemoveRecord("p1");
    std::this_thread::sleep_for(1500ms);
    const auto countAtRemoved = [this] {
        const std::vector<RequestRun> all = runs();
        return std::ranges::count(all, std::string{"p1"}, &RequestRun::server);
    };
    const auto before = countAtRemoved();
    for (int i = 0; i < 60; ++i) {
        for (const std::string host : {"a1", "a2", "b1"})
            BOOST_TEST(send(host, "POST", "/pay/x", std::nullopt, "x").status == 200);
    }
    BOOST_TEST(countAtRemoved() == before);
}

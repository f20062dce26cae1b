#define BOOST_TEST_MODULE EntryServers

#include "entryfleet/restartfleet.h"
#include "entryfleet/servingfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <utility>
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

// Another writer's record, valid but for one field, ended the daemons that read it, or stopped them
// from following the others.
BOOST_FIXTURE_TEST_CASE(recordsWithOneOddFieldEndNoDaemon, ServingFleet)
{
    const std::string digits(400, '9');
    const std::string nested = std::string(900, '[') + std::string(900, ']');
    const std::string deeper = std::string(30'000, '[') + std::string(30'000, ']');
    const std::vector<std::pair<std::string, std::string>> oddFields = {
        {"version", nested},
        {"zone", deeper},
        {"seq", digits},
        {"seq", "1e400"},
        {"seq", "-1"},
        {"slots", "18446744073709551615"},
        {"slots", "1e300"},
        {"coldRemainingS", "1e308"},
        {"coldRemainingS", "-" + digits},
        {"born", "1e20"},
        {"born", "18446744073709551616"},
        {"address", "\"127.0.0.1:70000\""},
        {"address", "\"127.0.0.1:-1\""},
        {"address", "\"127.0.0.1:99999999999999999999\""}};
    int number = 0;
    const auto writeOddRecords = [&] {
        for (const auto &[name, value] : oddFields) {
            std::map<std::string, std::string> fields{{"service", "\"catalogue\""},
                                                      {"address", "\"127.0.0.1:9\""},
                                                      {"zone", "\"a\""},
                                                      {"version", "\"v1\""},
                                                      {"slots", "3"},
                                                      {"state", "\"ready\""},
                                                      {"coldRemainingS", "0"},
                                                      {"seq", "1"}};
            fields[name] = value;
            std::string text;
            for (const auto &[field, content] : fields)
                text += (text.empty() ? "{\"" : ",\"") + field + "\":" + content;
            writeRawRecord("odd" + std::to_string(++number), text + '}');
        }
    };
    writeOddRecords();
    BOOST_TEST(countFailedReadsFor(1s, "a1") == 0);
    // A daemon that reads them all at once, and beside a store that comes back.
    daemon("a2").kill();
    startDaemon("a2");
    BOOST_TEST(eventually([&] { return servesKeys("a2"); }));
    setStoreFault("*", "busy");
    std::this_thread::sleep_for(1s);
    setStoreFault("*", "ok");
    writeOddRecords();
    // All daemons still follow the records of servers.
    restartServer("p1");
    removeRecord("p2");
    for (const std::string host : {"a1", "a2", "b1"}) {
        BOOST_TEST(daemon(host).isRunning());
        BOOST_TEST(eventually(
            [&] { return servesKeys(host) && send(host, "GET", "/pay/x").status == 200; }));
    }
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

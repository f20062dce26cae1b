#define BOOST_TEST_MODULE EntryServerPaths

#include "entryfleet/partitionedfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

struct RolesFleet : PartitionedFleet
{
    /** \returns the daemon of domain a that reads the store for the others. */
    std::string readerOfDomainA()
    {
        std::map<std::string, std::uint64_t> before;
        for (const std::string host : {"a1", "a2", "a3"})
            before[host] = storeCalls(host);
        std::this_thread::sleep_for(4s);
        return std::ranges::max_element(
                   before, {},
                   [this](const auto &entry) { return storeCalls(entry.first) - entry.second; })
            ->first;
    }

    /** \returns the host whose daemon issues the permits for \a server, or "". */
    std::string issuerFor(const std::string &server)
    {
        for (const std::string &host : hosts) {
            if (page(host, "/limits").find("issued: " + server) != std::string::npos)
                return host;
        }
        return {};
    }

    std::ptrdiff_t runCountSince(const std::string &server,
                                 std::chrono::steady_clock::time_point from)
    {
        const auto fromUs =
            std::chrono::duration_cast<std::chrono::microseconds>(from.time_since_epoch()).count();
        return std::ranges::count_if(runs(), [&](const RequestRun &run) {
            return run.server == server && run.startUs >= fromUs;
        });
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(daemonWithoutAPathToAnyServerServesItsCallers, PartitionedFleet)
{
    partitionFromServers({"a1"});
    sendFor(stabilityPeriod);
    expectServedAlike({"a1"}, sendFor(5s));
}

BOOST_FIXTURE_TEST_CASE(allDaemonsOfADomainWithoutAPathToAnyServerServeTheirCallers,
                        PartitionedFleet)
{
    partitionFromServers({"a1", "a2", "a3"});
    sendFor(stabilityPeriod);
    expectServedAlike({"a1", "a2", "a3"}, sendFor(5s));
}

BOOST_FIXTURE_TEST_CASE(daemonWithoutAPathToOneServiceServesItsCallers, PartitionedFleet)
{
    for (const std::string server : {"p1", "p2"})
        partition(server, {"a1"});
    sendFor(stabilityPeriod);
    expectServedAlike({"a1"}, sendFor(5s));
}

BOOST_FIXTURE_TEST_CASE(daemonThatCanOpenNoNewConnectionsServesItsCallers, PartitionedFleet)
{
    sendFor(1s);
    partitionFromServers({"a1"}, Partition::NewConnections);
    sendFor(stabilityPeriod);
    expectServedAlike({"a1"}, sendFor(8s));
}

BOOST_FIXTURE_TEST_CASE(daemonsWhoseConnectionsAreResetServeTheirCallers, PartitionedFleet)
{
    sendFor(1s);
    partitionFromServers({"a1", "b1"}, Partition::ResetOpen);
    sendFor(stabilityPeriod);
    expectServedAlike({"a1", "b1"}, sendFor(5s));
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(pathsThatReturnAndAreLostAgainAreFollowed, PartitionedFleet)
{
    for (int i = 0; i < 2; ++i) {
        partitionFromServers({"a1"});
        sendFor(stabilityPeriod);
        expectServedAlike({"a1"}, sendFor(2s));
        partitionFromServers({});
        sendFor(stabilityPeriod);
        const std::int64_t relayed = counter("a1", "bulrush_relays_sent_total");
        expectServedAlike({"a1"}, sendFor(2s));
        BOOST_TEST(counter("a1", "bulrush_relays_sent_total") == relayed);
    }
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(oneDaemonWithPathsServesTheCallersOfAllOthers, PartitionedFleet)
{
    const std::set<std::string> partitioned{"a2", "a3", "b1", "b2", "b3"};
    partitionFromServers(partitioned);
    sendFor(8s);
    expectServedAlike(partitioned, sendFor(5s));
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(keysKeepTheirOwnersIfThePlannersDomainHasNoPathToServers, PartitionedFleet)
{
    const std::string planningDomain = planner().substr(0, 1);
    std::set<std::string> partitioned;
    for (const std::string &host : hosts) {
        if (host.starts_with(planningDomain))
            partitioned.insert(host);
    }
    partitionFromServers(partitioned);
    sendFor(8s);
    const std::map<std::string, FirstAttempts> served = sendFor(5s);
    for (const auto &[host, count] : served) {
        BOOST_TEST_MESSAGE(host << ": served " << count.served << " of " << count.sent);
        BOOST_TEST(count.served * 10 >= count.sent * 9);
    }
}

BOOST_FIXTURE_TEST_CASE(followersOfAReaderWithoutPathsToServersStopUsingADrainingServer, RolesFleet)
{
    const std::string reader = readerOfDomainA();
    partitionFromServers({reader});
    sendFor(stabilityPeriod);
    writeRecord("p1", "draining");
    const auto drainingSince = std::chrono::steady_clock::now();
    sendFor(3s);
    const auto bound = drainingSince + 2s;
    BOOST_TEST(runCountSince("p1", bound) == 0);
    expectServedAlike({reader}, sendFor(3s));
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(limitHoldsAlthoughItsIssuerHasNoPathToServers, RolesFleet)
{
    constexpr double limit = 2.0;
    constexpr double windowSeconds = 4.0;
    nameLimit("p1", "2.0");
    sendFor(stabilityPeriod);
    const std::string issuer = issuerFor("p1");
    BOOST_REQUIRE(!issuer.empty());
    partitionFromServers({issuer});
    sendFor(stabilityPeriod);
    const auto from = std::chrono::steady_clock::now();
    const std::map<std::string, FirstAttempts> served = sendFor(4s);
    const std::ptrdiff_t count = runCountSince("p1", from);
    BOOST_TEST_MESSAGE("requests to the limited server: " << count);
    BOOST_TEST(static_cast<double>(count) <= 1.5 * limit * windowSeconds + 5.0);
    BOOST_TEST(count > 0);
    expectServedAlike({issuer}, served);
}

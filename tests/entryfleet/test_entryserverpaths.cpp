#define BOOST_TEST_MODULE EntryServerPaths

#include "entryfleet/partitionedfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace bulrush::test;
using namespace std::chrono_literals;

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

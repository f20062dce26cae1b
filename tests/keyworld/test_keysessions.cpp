#define BOOST_TEST_MODULE KeySessions

#include "keysimulation.h"
#include "support/goldentext.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** By then all keys have owners and the first planner is stable. */
constexpr Duration settlingTime = 5s;

struct Session
{
    KeySimulation simulation{1, PlantedFault::None};

    void finish(const std::string &name, Duration span = 20s)
    {
        const std::string trace = simulation.runScript(settlingTime + span);
        checkGolden("keysessions/" + name + ".txt", trace);
        BOOST_TEST(trace.ends_with("one owner throughout\n"));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(serverDrains, Session)
{
    simulation.at(settlingTime, [this] { simulation.drainServer(0); });
    finish("server-drains");
}

BOOST_FIXTURE_TEST_CASE(serverCrashes, Session)
{
    simulation.at(settlingTime, [this] { simulation.crashServer(0); });
    finish("server-crashes");
}

BOOST_FIXTURE_TEST_CASE(serverIsLostInAPlannedMove, Session)
{
    simulation.at(settlingTime, [this] {
        // No daemon can request the release of its keys.
        for (std::size_t i = 0; i < 4; ++i)
            simulation.partitionFromServers(i, 60ms);
        simulation.drainServer(0);
    });
    simulation.at(settlingTime + 50ms, [this] { simulation.crashServer(0); });
    finish("server-lost-in-planned-move");
}

BOOST_FIXTURE_TEST_CASE(serverWithoutRecordStillServes, Session)
{
    simulation.at(settlingTime, [this] { simulation.removeServerRecord(0); });
    finish("server-without-record");
}

BOOST_FIXTURE_TEST_CASE(plannerIsKilled, Session)
{
    simulation.at(settlingTime, [this] { simulation.killDaemon(simulation.planner()); });
    simulation.at(settlingTime + 1s, [this] { simulation.crashServer(0); });
    finish("planner-killed");
}

BOOST_FIXTURE_TEST_CASE(plannerFreezesWhileItsRenewalIsAnswered, Session)
{
    // Renewals of the lease are 1.7 s apart; the freeze starts when one has been sent.
    simulation.at(settlingTime, [this] { simulation.freezeDaemon(simulation.planner(), 9s); });
    simulation.at(settlingTime + 500ms, [this] { simulation.drainServer(0); });
    finish("planner-frozen");
}

BOOST_FIXTURE_TEST_CASE(plannerIsPartitionedFromTheStoreOnlyAndReturns, Session)
{
    simulation.at(settlingTime,
                  [this] { simulation.partitionFromStore(simulation.planner(), 9s); });
    simulation.at(settlingTime + 5s, [this] { simulation.drainServer(0); });
    finish("planner-cut-from-store");
}

BOOST_FIXTURE_TEST_CASE(plannerIsPartitionedFromServersOnly, Session)
{
    simulation.at(settlingTime,
                  [this] { simulation.partitionFromServers(simulation.planner(), 6s); });
    simulation.at(settlingTime + 500ms, [this] { simulation.drainServer(0); });
    finish("planner-cut-from-servers");
}

BOOST_FIXTURE_TEST_CASE(grantsAreExecutedLateAfterTheMove, Session)
{
    simulation.at(settlingTime, [this] { simulation.delayGrants(20, 5s); });
    simulation.at(settlingTime + 100ms, [this] { simulation.removeServerRecord(0); });
    finish("grants-late");
}

BOOST_FIXTURE_TEST_CASE(commitsAreExecutedLate, Session)
{
    simulation.at(settlingTime, [this] {
        simulation.delayCommits(2, 3s);
        simulation.drainServer(0);
    });
    finish("commits-late");
}

BOOST_FIXTURE_TEST_CASE(allDaemonsLosePowerRightAfterAMoveWasCommitted, Session)
{
    simulation.at(settlingTime, [this] { simulation.drainServer(0); });
    simulation.at(settlingTime + 520ms, [this] {
        for (std::size_t i = 0; i < 4; ++i)
            simulation.killDaemon(i);
    });
    simulation.at(settlingTime + 2s, [this] {
        for (std::size_t i = 0; i < 4; ++i)
            simulation.startDaemon(i);
    });
    finish("power-lost-in-a-move");
}

BOOST_FIXTURE_TEST_CASE(storeIsUnavailableForLong, Session)
{
    simulation.at(settlingTime, [this] { simulation.makeStoreUnavailable(12s); });
    simulation.at(settlingTime + 2s, [this] { simulation.crashServer(0); });
    finish("store-away", 30s);
}

BOOST_FIXTURE_TEST_CASE(feedsStallWhileAServerDrains, Session)
{
    simulation.at(settlingTime, [this] {
        simulation.stallFeeds();
        simulation.drainServer(0);
    });
    finish("feeds-deaf");
}

BOOST_FIXTURE_TEST_CASE(waitsForAPartitionedRenewer, Session)
{
    // The daemon renews by its last assignment until its right expires, and no daemon can query it.
    simulation.at(settlingTime, [this] {
        const std::size_t other = (simulation.planner() + 1) % 4;
        simulation.partitionFromStore(other, 12s);
        simulation.partitionFromPeers(other, 12s);
    });
    simulation.at(settlingTime + 100ms, [this] { simulation.crashServer(0); });
    finish("renewer-cut-off", 25s);
}

BOOST_FIXTURE_TEST_CASE(serverRestartsUnderItsName, Session)
{
    simulation.at(settlingTime, [this] { simulation.restartServer(0, 300ms, 400ms); });
    finish("server-restarts");
}

BOOST_FIXTURE_TEST_CASE(serverRestartsTwiceInASecondAtOtherAddresses, Session)
{
    simulation.at(settlingTime, [this] { simulation.restartServer(0, 200ms, 500ms, true); });
    simulation.at(settlingTime + 500ms,
                  [this] { simulation.restartServer(0, 200ms, 500ms, true); });
    finish("server-restarts-twice");
}

BOOST_FIXTURE_TEST_CASE(serversRestartBetweenReleaseAndGrant, Session)
{
    // Restarts both the previous and the new owner of the moving keys.
    simulation.at(settlingTime, [this] { simulation.drainServer(0); });
    simulation.at(settlingTime + 160ms, [this] {
        simulation.restartServer(1, 100ms, 300ms);
        simulation.restartServer(2, 100ms, 300ms);
    });
    finish("servers-restart-in-a-move");
}

BOOST_FIXTURE_TEST_CASE(serverRestartsWhileTheStoreIsUnavailable, Session)
{
    simulation.at(settlingTime, [this] { simulation.makeStoreUnavailable(5s); });
    simulation.at(settlingTime + 1s, [this] { simulation.restartServer(0, 300ms, 300ms); });
    finish("server-restarts-without-store");
}

BOOST_FIXTURE_TEST_CASE(domainIsEvacuatedAndReturnsCold, Session)
{
    simulation.setColdStart({3s, 5.9});
    simulation.at(settlingTime, [this] { simulation.evacuateDomain(DomainName{"a"}); });
    simulation.at(settlingTime + 8s, [this] { simulation.endEvacuation(DomainName{"a"}); });
    finish("domain-evacuated");
}

BOOST_FIXTURE_TEST_CASE(plannerIsKilledInAnEvacuation, Session)
{
    simulation.at(settlingTime, [this] { simulation.killDaemon(simulation.planner()); });
    simulation.at(settlingTime + 100ms, [this] { simulation.evacuateDomain(DomainName{"a"}); });
    finish("planner-killed-in-evacuation");
}

BOOST_FIXTURE_TEST_CASE(allDomainsAreEvacuated, Session)
{
    simulation.at(settlingTime, [this] {
        simulation.evacuateDomain(DomainName{"a"});
        simulation.evacuateDomain(DomainName{"b"});
    });
    finish("all-domains-evacuated");
}

#define BOOST_TEST_MODULE EntryFaults

#include "entryfleet/servingfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

/** A server's record expires about this long after the server stops. */
constexpr auto recordExpiry = 2600ms;
/**
 * Maximum time until keys of a lost server are served again if a daemon is lost as well. The report
 * of that daemon on its last grants is missing, so the planner waits for the longest time for which
 * the daemon may grant, then for the hold and one planning round.
 */
constexpr auto maxUnavailability = 12s;

struct FaultFleet : ServingFleet
{
    /** Kills the servers, and removes their records when they would expire. */
    void killServers(const std::vector<std::string> &ids)
    {
        for (const std::string &id : ids)
            server(id).kill();
        std::this_thread::sleep_for(recordExpiry);
        for (const std::string &id : ids)
            removeRecord(id);
    }

    /** Checks that \a hosts serve all keys by \a limit. */
    void requireServing(const std::vector<std::string> &hosts, Clock::time_point limit)
    {
        for (const std::string &host : hosts)
            BOOST_TEST(eventually([&] { return servesKeys(host); }), host);
        BOOST_TEST((Clock::now() < limit));
    }

    std::string otherThan(const std::string &host)
    {
        return host == "b1" ? "a1" : "b1";
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aPlannerAndAnOwnerAreLostTogether, FaultFleet)
{
    const std::string lost = planner();
    const std::string owner = ownerOf(otherThan(lost), 0);
    daemon(lost).kill();
    const auto lostAt = Clock::now();
    killServers({owner});
    requireServing({otherThan(lost)}, lostAt + recordExpiry + maxUnavailability);
    startDaemon(lost);
    requireServing({"a1", "a2", "b1"}, Clock::now() + 10s);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(aFailureDomainIsLostWithItsServers, FaultFleet)
{
    daemon("b1").kill();
    const auto lostAt = Clock::now();
    killServers({"c2", "c4", "p2"});
    requireServing({"a1", "a2"}, lostAt + recordExpiry + maxUnavailability);
    BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "euro=1").status == 200);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(allProcessesAreLostAndOtherServersStart, FaultFleet)
{
    for (const std::string host : {"a1", "a2", "b1"})
        daemon(host).kill();
    for (const std::string id : {"c1", "c2", "c3", "c4", "p1", "p2"})
        server(id).kill();
    startDaemons();
    for (const std::string id : {"c1", "c2", "c3", "c4", "p1", "p2"})
        removeRecord(id);
    startServer({"d1", "catalogue", "a", true});
    startServer({"d2", "catalogue", "b", true});
    startServer({"q1", "payments", "a"});
    requireServing({"a1", "a2", "b1"}, Clock::now() + 15s);
    BOOST_TEST(send("b1", "POST", "/pay/x", std::nullopt, "euro=1").status == 200);
}

BOOST_FIXTURE_TEST_CASE(serverIsLostDuringAHandover, FaultFleet)
{
    const std::string owner = ownerOf("a1", 0);
    // The release is in flight when the server is killed.
    delayOrders(owner, 8, 10s);
    writeRecord(owner, "draining");
    std::this_thread::sleep_for(300ms);
    const auto lostAt = Clock::now();
    killServers({owner});
    requireServing({"a1", "b1"}, lostAt + maxUnavailability);
    BOOST_TEST(ownerOf("b1", 0) != owner);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(plannerFreezesDuringAHandoverAndResumes, FaultFleet)
{
    const std::string frozen = planner();
    const std::string other = otherThan(frozen);
    const std::string owner = ownerOf(other, 0);
    delayOrders(owner, 2, 700ms);
    writeRecord(owner, "draining");
    std::this_thread::sleep_for(150ms);
    daemon(frozen).stop();
    BOOST_TEST(eventually([&] {
        const std::string now = ownerOf(other, 0);
        return !now.empty() && now != owner;
    }));
    daemon(frozen).resume();
    BOOST_TEST(countFailedReadsFor(2000ms, other) == 0);
    requireServing({"a1", "a2", "b1"}, Clock::now() + 10s);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(daemonsRestartInTurnWhileTheStoreLosesAnswers, FaultFleet)
{
    for (const std::string host : {"a1", "a2", "b1"}) {
        setStoreFault("*", "ok", 2, 2);
        daemon(host).terminate();
        startDaemon(host);
        BOOST_TEST(eventually([&] { return servesKeys(host); }), host);
    }
    setStoreFault("*", "ok");
    requireServing({"a1", "a2", "b1"}, Clock::now() + 10s);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(serverWithoutARecordServesUntilItsKeysHaveMoved, FaultFleet)
{
    const std::string owner = ownerOf("a1", 0);
    // Its record expires although the server runs and is reachable: its keys move by handover.
    removeRecord(owner);
    BOOST_TEST(countFailedReadsFor(3000ms, "b1") == 0);
    BOOST_TEST(ownerOf("a1", 0) != owner);
    // The server writes its record again. New grants have higher fences.
    writeRecord(owner, "ready");
    BOOST_TEST(countFailedReadsFor(3000ms, "b1") == 0);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(domainWithoutTheStoreServesByStateFromOtherDomains, FaultFleet)
{
    for (const std::string host : {"a1", "a2"})
        setStoreFault(host, "silent");
    const std::string owner = ownerOf("b1", 0);
    std::this_thread::sleep_for(4s);
    writeRecord(owner, "draining");
    BOOST_TEST(eventually([&] {
        const std::string now = ownerOf("a1", 0);
        return !now.empty() && now != owner;
    }));
    BOOST_TEST(countFailedReadsFor(3000ms, "a2") == 0);
    for (const std::string host : {"a1", "a2"})
        setStoreFault(host, "ok");
    requireServing({"a1", "a2", "b1"}, Clock::now() + 10s);
    BOOST_TEST(firstOverlap() == "");
}

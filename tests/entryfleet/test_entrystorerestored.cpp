#define BOOST_TEST_MODULE EntryStoreRestored

#include "entryfleet/checkedfleet.h"
#include "entryfleet/servingfleet.h"

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

/** Default time within which a new configuration must be in force. */
constexpr auto configBound = 2s;
/** Default time for which a server may still get requests after it starts draining. */
constexpr auto drainBound = 2s;

const std::vector<std::string> hosts{"a1", "a2", "b1"};

/** Three daemons whose store is away for a moment and comes back from an older copy. */
struct RestoredFleet : ServingFleet
{
    RestoredFleet()
    {
        // Time for the election of the planner.
        BOOST_REQUIRE(eventually([&] { return !planner().empty(); }));
        keepStoreCopy();
    }

    /** Writes \a count rows that all daemons read, and that a restore of the copy loses. */
    void writeLostRows(int count)
    {
        for (int i = 0; i < count; ++i)
            writeRecord("p2", "ready");
        std::this_thread::sleep_for(1s);
    }

    /** The store answers nobody for \a span and returns from the copy. */
    void restoreAfter(std::chrono::milliseconds span)
    {
        setStoreFault("*", "silent");
        std::this_thread::sleep_for(span);
        restoreStoreCopy();
        setStoreFault("*", "ok");
    }

    bool isConfigInForce(const std::string &host)
    {
        return counter(host, "bulrush_config_version") == configVersion();
    }

    /** Writes a configuration. \returns the seconds until it is in force at all hosts. */
    double secondsUntilConfigIsInForce()
    {
        writeConfig({"/added/"});
        const auto written = Clock::now();
        for (const std::string &host : hosts)
            BOOST_TEST(eventually([&] { return isConfigInForce(host); }), host);
        return std::chrono::duration<double>(Clock::now() - written).count();
    }

    /** \returns the number of calls that all daemons have made to the store. */
    std::uint64_t callsOfAll()
    {
        std::uint64_t sum = 0;
        for (const std::string &host : hosts)
            sum += storeCalls(host);
        return sum;
    }

    /** Sets the server that owns key 0 to draining. \returns whether its keys move away. */
    bool moveKeysOfALeavingServer()
    {
        const std::string owner = ownerOf("b1", 0);
        writeRecord(owner, "draining");
        return eventually([&] {
            const std::string next = ownerOf("b1", 0);
            return !next.empty() && next != owner;
        });
    }

    /**
     * Sends payments through all hosts until \a span after \a server started to drain.
     * \returns the seconds from then to the last payment that \a server began.
     */
    double lastPaymentAt(const std::string &server, Clock::time_point since,
                         std::chrono::milliseconds span)
    {
        for (std::size_t i = 0; Clock::now() < since + span; ++i)
            send(hosts[i % hosts.size()], "POST", "/pay/x", std::nullopt, "x", 600);
        const double sinceS = std::chrono::duration<double>(since.time_since_epoch()).count();
        double last = 0.0;
        for (const RequestRun &run : runs()) {
            if (run.server == server)
                last = std::max(last, static_cast<double>(run.startUs) / 1e6 - sinceS);
        }
        return last;
    }
};

/** As RestoredFleet, but the copy has no row that the daemons wrote. */
struct EmptyCopyFleet : CheckedFleet
{
    EmptyCopyFleet()
        : CheckedFleet(hosts)
    {
        writeConfig();
        startServers();
        keepStoreCopy();
        startDaemons();
        waitUntilServing();
        BOOST_REQUIRE(eventually([&] { return !planner().empty(); }));
    }
};

double seconds(std::chrono::duration<double> duration)
{
    return duration.count();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(configIsInForceInTimeAfterTheStoreWasRestored, RestoredFleet)
{
    writeLostRows(40);
    restoreAfter(1500ms);
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
}

BOOST_FIXTURE_TEST_CASE(leavingServerGetsNoLateRequestsAfterTheStoreWasRestored, RestoredFleet)
{
    writeLostRows(40);
    restoreAfter(1500ms);
    std::this_thread::sleep_for(1500ms);
    writeRecord("p1", "draining");
    BOOST_TEST(lastPaymentAt("p1", Clock::now(), 5s) <= seconds(drainBound));
}

BOOST_FIXTURE_TEST_CASE(keysAreMovedAfterTheStoreWasRestored, RestoredFleet)
{
    writeLostRows(40);
    restoreAfter(1500ms);
    std::this_thread::sleep_for(4s);
    BOOST_TEST(moveKeysOfALeavingServer());
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(keysStayServedWhileTheStoreIsRestored, RestoredFleet)
{
    BOOST_TEST(moveKeysOfALeavingServer());
    writeLostRows(10);
    setStoreFault("*", "silent");
    BOOST_TEST(countFailedReadsFor(2500ms, "a1") == 0);
    restoreStoreCopy();
    setStoreFault("*", "ok");
    BOOST_TEST(countFailedReadsFor(10s, "a1") == 0);
    BOOST_TEST(page("a1", "/status").find("assignments: confirmed") != std::string::npos);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(serverThatTheCopyShowsAsReadyStaysLeaving, RestoredFleet)
{
    writeRecord("p1", "draining");
    const auto since = Clock::now();
    std::this_thread::sleep_for(1s);
    restoreAfter(500ms);
    BOOST_TEST(lastPaymentAt("p1", since, 8s) <= seconds(drainBound));
}

BOOST_FIXTURE_TEST_CASE(evacuationThatTheCopyLacksLastsUntilItIsWrittenAgain, RestoredFleet)
{
    constexpr auto evacuationBound = 5s;
    evacuate("b");
    const auto since = Clock::now();
    std::this_thread::sleep_for(1s);
    restoreAfter(500ms);
    std::this_thread::sleep_for(1s);
    evacuate("b");
    BOOST_TEST(lastPaymentAt("p2", since, 16s) <= seconds(evacuationBound));
    endEvacuation("b");
    BOOST_TEST(eventually(
        [&] { return page("a1", "/status").find("evacuated: b") == std::string::npos; }));
}

BOOST_FIXTURE_TEST_CASE(evacuationThatIsNotWrittenAgainEnds, RestoredFleet)
{
    evacuate("b");
    std::this_thread::sleep_for(1s);
    restoreAfter(500ms);
    BOOST_TEST(eventually(
        [&] { return page("a1", "/status").find("evacuated: b") == std::string::npos; }));
}

BOOST_FIXTURE_TEST_CASE(callsToARestoredStoreStayFew, RestoredFleet)
{
    const std::uint64_t atRest = callsOfAll();
    std::this_thread::sleep_for(5s);
    const std::uint64_t restedCalls = callsOfAll() - atRest;
    writeLostRows(40);
    restoreAfter(500ms);
    const std::uint64_t before = callsOfAll();
    std::this_thread::sleep_for(5s);
    // Each daemon reads three tables once and writes its own row, the planner its lease and two
    // assignments at most.
    BOOST_TEST(callsOfAll() - before <= 2 * restedCalls + hosts.size() * 8 + 10);
}

BOOST_FIXTURE_TEST_CASE(twoRestoresMomentsApartAreFollowed, RestoredFleet)
{
    writeLostRows(20);
    restoreAfter(1s);
    std::this_thread::sleep_for(300ms);
    writeLostRows(5);
    restoreAfter(300ms);
    std::this_thread::sleep_for(3s);
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
    BOOST_TEST(moveKeysOfALeavingServer());
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(daemonsThatAllRestartWithTheStoreServeAgain, RestoredFleet)
{
    BOOST_TEST(moveKeysOfALeavingServer());
    const std::string owner = ownerOf("b1", 0);
    const std::uint64_t fence = highestFence(owner);
    setStoreFault("*", "silent");
    for (const std::string &host : hosts)
        daemon(host).kill();
    restoreStoreCopy();
    setStoreFault("*", "ok");
    // The copy shows the server that left as ready, until that server writes its record again.
    startDaemons();
    waitUntilServing();
    BOOST_TEST(highestFence(ownerOf("b1", 0)) > fence);
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(domainThatLearnsOfTheRestoreLateFollows, RestoredFleet)
{
    writeLostRows(20);
    setStoreFault("*", "silent");
    std::this_thread::sleep_for(500ms);
    restoreStoreCopy();
    setStoreFault("a1", "ok");
    setStoreFault("a2", "ok");
    std::this_thread::sleep_for(4s);
    setStoreFault("b1", "ok");
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
    BOOST_TEST(moveKeysOfALeavingServer());
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(configurationInForceDoesNotGoBackAndTheNextOneIsFollowed, RestoredFleet)
{
    secondsUntilConfigIsInForce();
    restoreAfter(500ms);
    const auto end = Clock::now() + 3s;
    for (std::size_t i = 0; Clock::now() < end; ++i)
        BOOST_TEST(isConfigInForce(hosts[i % hosts.size()]));
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
}

BOOST_FIXTURE_TEST_CASE(waitThatHangsThroughTheRestoreDelaysNothing, RestoredFleet)
{
    writeLostRows(20);
    restoreStoreCopy(true);
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
    writeRecord("p1", "draining");
    BOOST_TEST(lastPaymentAt("p1", Clock::now(), 5s) <= seconds(drainBound));
}

BOOST_FIXTURE_TEST_CASE(answerOfTheEarlierEraAfterOneOfTheNewIsIgnored, RestoredFleet)
{
    writeLostRows(20);
    for (const std::string &host : hosts)
        setStoreFault(host, "reset");
    std::this_thread::sleep_for(300ms);
    for (const std::string &host : hosts)
        delayReads(host, "servers", 1400ms);
    // By then reads of the servers are in flight, which the store answers as of before.
    std::this_thread::sleep_for(1s);
    restoreStoreCopy();
    setStoreFault("*", "ok");
    writeRecord("p1", "draining");
    BOOST_TEST(lastPaymentAt("p1", Clock::now(), 6s) <= seconds(drainBound));
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
}

BOOST_FIXTURE_TEST_CASE(commitOfBeforeTheRestoreThatIsExecutedAfterItMakesNoSecondOwner,
                        RestoredFleet)
{
    const std::string owner = ownerOf("b1", 0);
    // Their conditions hold in the copy, too, as nothing was committed since.
    setStoreFault("*", "ok", 0, 3);
    writeRecord(owner, "draining");
    std::this_thread::sleep_for(700ms);
    restoreStoreCopy();
    setStoreFault("*", "ok");
    writeRecord(owner, "draining");
    BOOST_TEST(eventually([&] {
        const std::string next = ownerOf("b1", 0);
        return !next.empty() && next != owner;
    }));
    std::this_thread::sleep_for(4s);
    BOOST_TEST(servesKeys("a1"));
    BOOST_TEST(firstOverlap() == "");
    BOOST_TEST(page("a1", "/status").find("assignments: confirmed") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(plannerThatIsLostWithTheStoreIsReplaced, RestoredFleet)
{
    writeLostRows(10);
    const std::string lost = planner();
    setStoreFault("*", "silent");
    daemon(lost).kill();
    restoreStoreCopy();
    setStoreFault("*", "ok");
    const std::string host = lost == "a1" ? "b1" : "a1";
    BOOST_TEST(eventually([&] {
        return page(host, "/status").find("assignments: confirmed") != std::string::npos
            && servesKeys(host);
    }));
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(daemonThatStartsWhileTheStoreIsRestoredServes, RestoredFleet)
{
    writeLostRows(10);
    daemon("a2").kill();
    setStoreFault("*", "silent");
    startDaemon("a2");
    std::this_thread::sleep_for(300ms);
    restoreStoreCopy();
    setStoreFault("*", "ok");
    BOOST_TEST(eventually([&] { return servesKeys("a2"); }));
    BOOST_TEST(secondsUntilConfigIsInForce() <= seconds(configBound));
    BOOST_TEST(firstOverlap() == "");
}

BOOST_FIXTURE_TEST_CASE(keysKeepOneOwnerIfTheCopyHasNoRowOfTheDaemons, EmptyCopyFleet)
{
    const std::string owner = ownerOf("b1", 0);
    const std::uint64_t fence = highestFence(owner);
    setStoreFault("*", "silent");
    std::this_thread::sleep_for(500ms);
    restoreStoreCopy();
    setStoreFault("*", "ok");
    BOOST_TEST(eventually([&] {
        return page("a1", "/status").find("assignments: confirmed") != std::string::npos
            && servesKeys("a1");
    }));
    BOOST_TEST(ownerOf("b1", 0) == owner);
    writeRecord(owner, "draining");
    BOOST_TEST(eventually([&] {
        const std::string next = ownerOf("b1", 0);
        return !next.empty() && next != owner;
    }));
    BOOST_TEST(highestFence(ownerOf("b1", 0)) > fence);
    BOOST_TEST(firstOverlap() == "");
}

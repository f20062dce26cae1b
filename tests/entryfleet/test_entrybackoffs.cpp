#define BOOST_TEST_MODULE EntryBackoffs

#include "entryfleet/noticefleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_CASE(ownerThatAskedForAPauseGetsNoRequestsUntilItsEnd, NoticeFleet)
{
    const std::string owner = busiestOwner();
    askForBackoff(owner, "3");
    const FirstAttempts during = sumOf(sendFor(6s));
    BOOST_TEST_MESSAGE("during the pause: served " << during.served << " of " << during.sent);
    BOOST_TEST(refusedDaemonCount(owner) == 6);
    BOOST_TEST(mostDuringPause(owner, 3s) <= allowedDuringPause);
    // Most of its callers are served by other servers once its keys have moved.
    BOOST_TEST(during.served * 10 >= during.sent * 9);
    askForBackoff(owner, "");
    std::this_thread::sleep_for(3s);
    const FirstAttempts after = sumOf(sendFor(3s));
    BOOST_TEST(after.served * 20 >= after.sent * 19);
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(serverWithoutKeysThatAskedForAPauseIsLeftToOthers, NoticeFleet)
{
    askForBackoff("p1", "1.5");
    const FirstAttempts during = sumOf(sendFor(6s));
    BOOST_TEST_MESSAGE("during the pause: served " << during.served << " of " << during.sent);
    BOOST_TEST(refusedDaemonCount("p1") > 0);
    BOOST_TEST(mostDuringPause("p1", 1500ms) <= allowedDuringPause);
    BOOST_TEST(during.served * 50 >= during.sent * 49);
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(callersAreRefusedAtOnceWhileAllServersOfAServiceAskForAPause, NoticeFleet)
{
    askForBackoff("p1", "10");
    askForBackoff("p2", "10");
    sendFor(1s);
    const auto before = Clock::now();
    constexpr int requestCount = 20;
    for (int i = 0; i < requestCount; ++i) {
        const SyncHttpResult answer = send("a1", "POST", "/pay/x", std::nullopt, "x");
        BOOST_TEST(answer.status == 503);
    }
    BOOST_TEST((Clock::now() - before < requestCount * 50ms));
    BOOST_TEST(mostDuringPause("p1", 10s) <= allowedDuringPause);
    BOOST_TEST(page("a1", "/notices").find("backoff: p1 left-ms=") != std::string::npos);
    BOOST_TEST(postToPage("a1", "/notices/end-backoff/p1") == 200);
    BOOST_TEST(postToPage("a1", "/notices/end-backoff/p1") == 404);
    BOOST_TEST(postToPage("a1", "/notices/end-backoff/") == 400);
    BOOST_TEST(page("a1", "/notices").find("backoff: p1 left-ms=0 ") != std::string::npos);
    BOOST_TEST(mostDuringPause("p2", 10s) <= allowedDuringPause);
}

BOOST_FIXTURE_TEST_CASE(pauseHoldsForEachDaemonWhileOneRelaysItsRequestsThroughOthers, NoticeFleet)
{
    const std::string owner = busiestOwner();
    partitionFromServers({"a1"});
    sendFor(2s);
    askForBackoff(owner, "3");
    askForBackoff("p1", "3");
    const FirstAttempts during = sumOf(sendFor(6s));
    BOOST_TEST_MESSAGE("during the pauses: served " << during.served << " of " << during.sent);
    BOOST_TEST(mostDuringPause(owner, 3s) <= allowedDuringPause);
    BOOST_TEST(mostDuringPause("p1", 3s) <= allowedDuringPause);
    BOOST_TEST(during.served * 10 >= during.sent * 8);
    expectHonestOutcomes();
}

BOOST_FIXTURE_TEST_CASE(pauseHoldsAndKeysMoveAlthoughThePlannerIsLost, NoticeFleet)
{
    const std::string owner = busiestOwner();
    askForBackoff(owner, "3");
    const std::string lost = planner();
    daemon(lost).kill();
    sendFor(6s); // until another daemon plans
    const FirstAttempts later = sumOf(sendFor(4s));
    BOOST_TEST_MESSAGE("later: served " << later.served << " of " << later.sent);
    BOOST_TEST(mostDuringPause(owner, 3s) <= allowedDuringPause);
    // One of the six daemons that requests go to is gone.
    BOOST_TEST(later.served * 10 >= later.sent * 7);
}

BOOST_FIXTURE_TEST_CASE(pauseHoldsForTheOwnerOfAHotKeyThatAsksAgainAndAgain, NoticeFleet)
{
    const std::string owner = ownerOf("a1", 0);
    askForBackoff(owner, "1");
    const auto end = Clock::now() + 6s;
    while (Clock::now() < end) {
        for (const std::string &host : hosts)
            read(host, 0);
    }
    BOOST_TEST(refusedDaemonCount(owner) > 0);
    BOOST_TEST(mostDuringPause(owner, 1s) <= allowedDuringPause);
}

BOOST_FIXTURE_TEST_CASE(pauseHoldsForAServerThatAlsoNamesALimit, NoticeFleet)
{
    nameLimit("p1", "5.0");
    sendFor(2s);
    askForBackoff("p1", "3");
    const FirstAttempts during = sumOf(sendFor(6s));
    BOOST_TEST_MESSAGE("during the pause: served " << during.served << " of " << during.sent);
    BOOST_TEST(refusedDaemonCount("p1") > 0);
    BOOST_TEST(mostDuringPause("p1", 3s) <= allowedDuringPause);
    BOOST_TEST(during.served * 50 >= during.sent * 49);
}

BOOST_FIXTURE_TEST_CASE(pauseEndsWithTheRunOfItsServer, NoticeFleet)
{
    askForBackoff("p1", "60");
    sendFor(1s);
    BOOST_TEST(refusedDaemonCount("p1") > 0);
    restartServer("p1");
    sendFor(3s); // until all daemons know the new run
    const auto from = Clock::now();
    sendFor(2s);
    BOOST_TEST(arrivalCountSince("p1", from) > 0);
}

BOOST_FIXTURE_TEST_CASE(pauseThatCanNotBeReadIsNone, NoticeFleet)
{
    askForBackoff("p1", "soon");
    sendFor(2s);
    for (const std::string &host : hosts)
        BOOST_TEST(counter(host, "bulrush_server_backoffs_total") == 0);
    const auto from = Clock::now();
    sendFor(1s);
    BOOST_TEST(arrivalCountSince("p1", from) > 0);
}

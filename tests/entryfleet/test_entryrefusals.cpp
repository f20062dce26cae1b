#define BOOST_TEST_MODULE EntryRefusals

#include "entryfleet/refusalfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

/** Hosts that reach no server in tests with relays; the others relay for them. */
const std::vector<std::string> cutHosts{"a1", "a2", "b1", "b2"};

/** Time after which the daemons without paths relay their requests. */
constexpr auto relayingAfter = 2s;

void printOutcomes(const PayingCallers::Outcomes &outcomes)
{
    std::cout << "sent " << outcomes.sent << ", served " << outcomes.served << ", refused "
              << outcomes.refused << std::endl;
}

void expectServed(const PayingCallers::Outcomes &outcomes)
{
    printOutcomes(outcomes);
    BOOST_TEST(outcomes.served > 0);
}

/** Fails if no answer made a promise that the end of the test case can check. */
void expectServedAndRefused(const PayingCallers::Outcomes &outcomes)
{
    expectServed(outcomes);
    BOOST_TEST(outcomes.refused > 0);
}

/** Sends requests while daemons without paths to servers relay theirs through the others. */
struct RelayingFleet : RefusalFleet
{
    RelayingFleet()
    {
        cutFromServers(cutHosts);
        runFor(relayingAfter);
        BOOST_TEST(sumOf("bulrush_relays_sent_total") > 0);
    }

    PayingCallers callers{*this, hosts};
};

/** Servers that run payments and deny it: the fleet does not check promises by itself. */
struct LyingFleet : EntryFleet
{
    LyingFleet()
        : EntryFleet({"a1", "b1"})
    {
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(paymentsThatServersRunAndDenyAreReportedByTheLedger, LyingFleet)
{
    constexpr std::size_t paymentCount = 10;
    for (const std::string id : {"p1", "p2"})
        injectAnswerFaults(id, "deny", 100);
    for (std::size_t i = 0; i < paymentCount; ++i)
        BOOST_TEST(send("a1", "POST", "/pay/x", std::nullopt, "x").status == 503);
    BOOST_TEST(ledger().brokenPromises().size() == paymentCount);
}

BOOST_FIXTURE_TEST_CASE(relayedPaymentsThatCrashServersAreNotRefusedAfterTheyRan, RelayingFleet)
{
    for (int i = 0; i < 4; ++i) {
        callers.poison();
        runFor(2500ms);
    }
    expectServedAndRefused(callers.stop());
    BOOST_TEST(crashCount > 0);
}

BOOST_FIXTURE_TEST_CASE(paymentsAreNotRefusedAfterTheyRanWhileOwnersPauseAndNameLimits,
                        RelayingFleet)
{
    for (int i = 0; i < 3; ++i) {
        for (const std::string id : {"c1", "c2", "p1"})
            askForBackoff(id, "0.4");
        for (const std::string id : {"c3", "p2"})
            nameLimit(id, "3.0");
        runFor(1500ms);
        for (const std::string id : {"c1", "c2", "p1"})
            askForBackoff(id, "");
        runFor(1s);
    }
    expectServedAndRefused(callers.stop());
}

BOOST_FIXTURE_TEST_CASE(paymentsAreNotRefusedAfterTheyRanWhenAnswersComeTwiceOrAreLost,
                        RelayingFleet)
{
    for (const std::string mode : {"twice", "lose", "cut", "twice"}) {
        for (const std::string &id : allServers())
            injectAnswerFaults(id, mode, 15);
        runFor(1500ms);
    }
    expectServed(callers.stop());
}

BOOST_FIXTURE_TEST_CASE(refusalsThatComeTwiceAreNotTakenForAnswersToRepeats, RelayingFleet)
{
    for (int i = 0; i < 6; ++i) {
        for (const std::string &id : allServers())
            refuseRequests(id, 8, true);
        runFor(1s);
    }
    expectServed(callers.stop());
}

BOOST_FIXTURE_TEST_CASE(paymentsOnAFrozenRelayAreNotRefusedAndRunAfterTheThaw, RelayingFleet)
{
    for (const std::string host : {"a3", "b3", "a3"}) {
        callers.poison();
        runFor(300ms);
        freeze(host, 1200ms);
        runFor(800ms);
    }
    expectServed(callers.stop());
}

BOOST_FIXTURE_TEST_CASE(paymentsOnAKilledRelayAreNotRefusedAfterTheyRan, RelayingFleet)
{
    for (const std::string host : {"a3", "b3"}) {
        callers.poison();
        runFor(300ms);
        killAndStart(host);
        runFor(2s);
    }
    expectServed(callers.stop());
}

BOOST_FIXTURE_TEST_CASE(paymentsAreNotRefusedAfterTheyRanWhenADaemonIsStopped, RelayingFleet)
{
    for (const std::string host : {"a3", "a1", "b3"}) {
        callers.poison();
        runFor(300ms);
        stopAndStart(host);
        runFor(1500ms);
    }
    expectServed(callers.stop());
}

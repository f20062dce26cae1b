#define BOOST_TEST_MODULE EntryLimits

#include "entryfleet/limitedfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <string>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

BOOST_FIXTURE_TEST_CASE(allDaemonsTogetherKeepTheLimitOfAnOwnerOfKeys, LimitedFleet)
{
    constexpr int beforeSeconds = 2;
    constexpr int laterSeconds = 8;
    const Served before = sendFor(std::chrono::seconds{beforeSeconds});
    const std::string owner = busiestOwner();
    nameLimit(owner, "2.5");
    const auto namedAt = Clock::now();
    sendFor(noticePeriod);
    const Served later = sendFor(std::chrono::seconds{laterSeconds});
    BOOST_TEST_MESSAGE("reads " << later.reads << ", failed " << later.failedReads << ", payments "
                                << later.payments << ", failed " << later.failedPayments);
    BOOST_TEST_MESSAGE("most in a window: " << mostInWindow(owner, namedAt + noticePeriod));
    BOOST_TEST(mostInWindow(owner, namedAt + noticePeriod) <= allowedInWindow(2.5));
    // The planner has moved keys to the other owners, so that hardly any request waits for a
    // permit.
    BOOST_TEST(later.failedReads * 20 <= later.reads);
    BOOST_TEST(later.reads / laterSeconds >= before.reads / beforeSeconds / 2);
}

BOOST_FIXTURE_TEST_CASE(allDaemonsTogetherKeepTheLimitOfAServerWithoutKeys, LimitedFleet)
{
    sendFor(1s);
    nameLimit("p1", "1.5");
    const auto namedAt = Clock::now();
    sendFor(noticePeriod);
    const Served later = sendFor(8s);
    BOOST_TEST_MESSAGE("reads " << later.reads << ", failed " << later.failedReads << ", payments "
                                << later.payments << ", failed " << later.failedPayments);
    BOOST_TEST_MESSAGE("most in a window: " << mostInWindow("p1", namedAt + noticePeriod));
    BOOST_TEST(mostInWindow("p1", namedAt + noticePeriod) <= allowedInWindow(1.5));
    BOOST_TEST(mostInWindow("p1", namedAt + noticePeriod) > 0);
    BOOST_TEST(later.failedPayments == 0);
}

BOOST_FIXTURE_TEST_CASE(operatorsSeeLimitsAndTheSumOfWhatAllDaemonsMaySend, LimitedFleet)
{
    nameLimit("p1", "1.5");
    sendFor(3s);
    std::string issued;
    int knowing = 0;
    for (const std::string &host : hosts) {
        const std::string text = page(host, "/limits");
        knowing += text.find("limit: p1 per-second=1.5") != std::string::npos ? 1 : 0;
        if (text.find("issued: p1 per-second=1.5") != std::string::npos)
            issued += host;
    }
    // Daemons of the other domain use the server of their own.
    BOOST_TEST(knowing == 3);
    // One daemon of the server's domain issues all permits.
    BOOST_TEST(issued.size() == 2U, issued);
    BOOST_TEST(issued.starts_with("a"), issued);
    BOOST_TEST(counter(issued, "bulrush_permits_issued_total") > 0);
}

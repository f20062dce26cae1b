#define BOOST_TEST_MODULE EntryLimitEnds

#include "entryfleet/limitedfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <string>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

struct ClusteredFleet : LimitedFleet
{
    ClusteredFleet()
    {
        keyStep = clusteredKeyStep;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(limitedOwnerOfKeysStillGetsRequests, ClusteredFleet)
{
    sendFor(1s);
    const std::string owner = busiestOwner();
    nameLimit(owner, "2.5");
    const auto namedAt = Clock::now();
    sendFor(noticePeriod);
    sendFor(8s);
    BOOST_TEST(mostInWindow(owner, namedAt + noticePeriod) > 0);
}

BOOST_FIXTURE_TEST_CASE(limitedOwnerOfEvenlyLoadedKeysStillGetsRequests, LimitedFleet)
{
    sendFor(2s);
    const std::string owner = busiestOwner();
    nameLimit(owner, "2.5");
    const auto namedAt = Clock::now();
    sendFor(noticePeriod);
    sendFor(8s);
    BOOST_TEST(mostInWindow(owner, namedAt + noticePeriod) > 0);
}

BOOST_FIXTURE_TEST_CASE(limitEndsWithTheFirstAnswerThatNamesNone, ClusteredFleet)
{
    const std::string owner = busiestOwner();
    nameLimit(owner, "2.5");
    nameLimit("p1", "1.5");
    sendFor(4s);
    nameLimit(owner, "");
    nameLimit("p1", "");
    sendFor(8s);
    const auto since = Clock::now();
    const std::int64_t queriedBefore = sumOf("bulrush_permits_queried_total");
    const std::int64_t issuedBefore = sumOf("bulrush_permits_issued_total");
    const Served later = sendFor(window);
    BOOST_TEST(later.failedReads == 0);
    BOOST_TEST(later.failedPayments == 0);
    BOOST_TEST(mostInWindow(owner, since) > allowedInWindow(2.5));
    BOOST_TEST(mostInWindow("p1", since) > allowedInWindow(1.5));
    BOOST_TEST(sumOf("bulrush_permits_queried_total") == queriedBefore);
    BOOST_TEST(sumOf("bulrush_permits_issued_total") == issuedBefore);
}

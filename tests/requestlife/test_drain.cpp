#include "process/drain.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Draining)

BOOST_AUTO_TEST_CASE(newWorkIsRefusedAfterTwoSecondsAndWorkInFlightFinishes)
{
    constexpr Instant start{10s};
    Drain drain;
    drain.workStarted();
    drain.workStarted();
    BOOST_TEST((drain.phase(start) == DrainPhase::Serving));
    drain.start(start);
    drain.start(start + 1s);
    BOOST_TEST(drain.acceptsWork(start + 1999ms));
    BOOST_TEST((drain.nextDue(start) == start + 2s));
    BOOST_TEST(!drain.acceptsWork(start + 2s));
    BOOST_TEST((drain.phase(start + 20min) == DrainPhase::Refusing));
    drain.workEnded();
    BOOST_TEST((drain.phase(start + 20min) == DrainPhase::Refusing));
    drain.workEnded();
    BOOST_TEST((drain.phase(start + 20min) == DrainPhase::Finished));
}

BOOST_AUTO_TEST_CASE(deadlineDoesNotAbortWorkInFlight)
{
    constexpr Instant start{10s};
    Drain drain;
    drain.workStarted();
    drain.start(start);
    BOOST_TEST((drain.nextDue(start + 10s) == start + 30min));
    BOOST_TEST((drain.phase(start + 31min) == DrainPhase::Overdue));
    BOOST_TEST(!drain.acceptsWork(start + 31min));
    drain.workEnded();
    BOOST_TEST((drain.phase(start + 31min) == DrainPhase::Finished));
}

BOOST_AUTO_TEST_SUITE_END()

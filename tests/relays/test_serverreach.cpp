#define BOOST_TEST_MODULE ServerReach

#include "process/serverreach.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

ServerName server(int number)
{
    return ServerName{"s" + std::to_string(number)};
}

struct Fixture
{
    Fixture()
    {
        reach.setServerCount(20);
        reach.recordReached(server(1), start);
    }

    void fail(int first, int last)
    {
        for (int i = first; i <= last; ++i)
            reach.recordFailure(server(i));
    }

    ServerReach reach;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(severalServersThatFailInARowAreOutOfReach, Fixture)
{
    fail(1, 2);
    BOOST_TEST(!reach.isOutOfReach());
    fail(3, 3);
    BOOST_TEST(reach.isOutOfReach());
    BOOST_TEST((reach.lastReached() == start));
}

BOOST_FIXTURE_TEST_CASE(oneServerThatFailsOftenIsNotOutOfReach, Fixture)
{
    for (int i = 0; i < 50; ++i)
        reach.recordFailure(server(7));
    BOOST_TEST(!reach.isOutOfReach());
}

BOOST_FIXTURE_TEST_CASE(serversThatFailBetweenAnswersOfOthersAreNotOutOfReach, Fixture)
{
    for (int i = 2; i < 20; ++i) {
        reach.recordFailure(server(i));
        reach.recordReached(server(1), start + 10ms * i);
    }
    BOOST_TEST(!reach.isOutOfReach());
}

BOOST_FIXTURE_TEST_CASE(oneReachedServerEndsIt, Fixture)
{
    fail(1, 10);
    reach.recordReached(server(11), start + 5s);
    BOOST_TEST(!reach.isOutOfReach());
    BOOST_TEST(reach.failedCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(fewServersAreOutOfReachWhenAllFailed, Fixture)
{
    reach.setServerCount(2);
    fail(1, 1);
    BOOST_TEST(!reach.isOutOfReach());
    fail(2, 2);
    BOOST_TEST(reach.isOutOfReach());
}

BOOST_FIXTURE_TEST_CASE(witnessIsTheLastReachedOtherServer, Fixture)
{
    BOOST_TEST(reach.witnessFor(server(1)).isEmpty());
    reach.recordReached(server(2), start + 1s);
    reach.recordReached(server(2), start + 2s);
    BOOST_TEST(reach.witnessFor(server(2)).value() == "s1");
    BOOST_TEST(reach.witnessFor(server(1)).value() == "s2");
    BOOST_TEST(reach.witnessFor(server(9)).value() == "s2");
}

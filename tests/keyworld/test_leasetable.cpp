#define BOOST_TEST_MODULE LeaseTable

#include "keyed/leasetable.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace bulrush::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t cells = 64;
constexpr KeyRange keys{0, keyPositionCount / cells - 1};
const Instant start = Instant{100s};

} // namespace

BOOST_AUTO_TEST_CASE(repeatedGrantRenewsTheLease)
{
    LeaseTable server{cells};
    BOOST_TEST(server.grant(keys, 1, 4s, start, start));
    BOOST_TEST(server.grant(keys, 1, 4s, start + 3s, start + 3s));
    BOOST_TEST(server.holds(0, start + 6s));
    BOOST_TEST(!server.holds(0, start + 8s));
}

BOOST_AUTO_TEST_CASE(releaseUnderAHigherFenceRejectsRenewals)
{
    LeaseTable server{cells};
    server.grant(keys, 1, 4s, start, start);
    server.release(keys, 2);
    BOOST_TEST(!server.holds(0, start));
    BOOST_TEST(!server.grant(keys, 1, 4s, start, start));
    BOOST_TEST(server.grant(keys, 2, 4s, start, start));
}

BOOST_AUTO_TEST_CASE(releaseUnderTheSameFenceAcceptsALateRenewal)
{
    LeaseTable server{cells};
    server.grant(keys, 1, 4s, start, start);
    server.release(keys, 1);
    BOOST_TEST(!server.holds(0, start));
    BOOST_TEST(server.grant(keys, 1, 4s, start, start));
    BOOST_TEST(server.holds(0, start));
}

BOOST_AUTO_TEST_CASE(delayedGrantCountsFromItsArrival)
{
    LeaseTable server{cells};
    server.grant(keys, 1, 4s, start, start + 3s);
    BOOST_TEST(server.holds(0, start + 3s));
    BOOST_TEST(!server.holds(0, start + 4001ms));
}

BOOST_AUTO_TEST_CASE(slowClockHoldsLonger)
{
    LeaseTable server{cells, 20'000};
    server.grant(keys, 1, 4s, start, start);
    BOOST_TEST(server.holds(0, start + 4079ms));
    BOOST_TEST(!server.holds(0, start + 4081ms));
}

BOOST_AUTO_TEST_CASE(exactTableTracksEachKeySeparately)
{
    LeaseTable server{keyPositionCount};
    server.grant({10, 20}, 1, 4s, start, start);
    BOOST_TEST(!server.holds(9, start));
    BOOST_TEST(server.holds(10, start));
    BOOST_TEST(server.holds(20, start));
    BOOST_TEST(!server.holds(21, start));
    server.release({15, 15}, 2);
    BOOST_TEST(server.holds(14, start));
    BOOST_TEST(!server.holds(15, start));
}

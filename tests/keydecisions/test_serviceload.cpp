#define BOOST_TEST_MODULE ServiceLoad

#include "version/serviceload.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <set>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const ServerName server{"i-1"};
const std::map<ServerName, double> demand{{server, 20.0}};

/** The load of a service whose daemons report refused requests of one server. */
struct Fixture
{
    /** Reports \a perSecond refused requests, twice a second from \a from to \a to. */
    void refuse(Instant from, Instant to, std::uint32_t perSecond, Duration left)
    {
        for (Instant now = from; now < to; now += 500ms)
            load.add({ServiceName{"s"}, {}, {}, {}, {}, {}, {{server, perSecond / 2, left}}}, now);
    }

    bool isBackingOff(Instant now)
    {
        return load.serversBackingOff(demand, now).contains(server);
    }

    ServiceLoad load{start};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(serverThatRefusesMostCallersHasNoKeysUntilThePauseEnds, Fixture)
{
    BOOST_TEST(!load.hasBackoffs());
    BOOST_TEST(!isBackingOff(start));
    refuse(start, start + 2s, 20, 3s);
    BOOST_TEST(load.hasBackoffs());
    BOOST_TEST(isBackingOff(start + 2s));
    // Nobody is refused any more, as the keys have moved.
    BOOST_TEST(isBackingOff(start + 4499ms));
    BOOST_TEST(!isBackingOff(start + 4501ms));
    BOOST_TEST(load.hasBackoffs());
    isBackingOff(start + 4501ms + ServiceLoad::relapsePeriod);
    BOOST_TEST(!load.hasBackoffs());
}

BOOST_FIXTURE_TEST_CASE(serverThatRefusesFewCallersKeepsItsKeys, Fixture)
{
    refuse(start, start + 4s, 6, 3s);
    BOOST_TEST(!isBackingOff(start + 4s));
}

BOOST_FIXTURE_TEST_CASE(keysDoNotMoveForAShortPause, Fixture)
{
    refuse(start, start + 4s, 20, 600ms);
    BOOST_TEST(!isBackingOff(start + 3500ms));
}

BOOST_FIXTURE_TEST_CASE(serverThatAsksAgainAtOnceIsWithoutKeysForLonger, Fixture)
{
    refuse(start, start + 2s, 20, 3s);
    BOOST_TEST(isBackingOff(start + 2s)); // for 2.5 s
    refuse(start + 5s, start + 7s, 20, 2s);
    BOOST_TEST(isBackingOff(start + 7s));
    BOOST_TEST(isBackingOff(start + 11900ms));
    BOOST_TEST(!isBackingOff(start + 12100ms));
    refuse(start + 30s, start + 32s, 20, 2s);
    BOOST_TEST(isBackingOff(start + 32s));
    BOOST_TEST(!isBackingOff(start + 33600ms));
}

BOOST_FIXTURE_TEST_CASE(longPauseDoesNotKeepAServerWithoutKeysAfterItIsEnded, Fixture)
{
    refuse(start, start + 2s, 20, std::chrono::hours{365 * 24});
    BOOST_TEST(isBackingOff(start + 2s));
    // An operator has ended the pause, so that nothing is refused any more.
    BOOST_TEST(!isBackingOff(start + 2s + ServiceLoad::maxTimeWithoutKeys));
}

#define BOOST_TEST_MODULE Freezes

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush::test;

namespace {

void frozenServerLosesItsKeys(bool checksFence)
{
    FleetShape shape;
    shape.catalogueChecksFence = checksFence;
    Fleet fleet{shape};
    const std::string frozen = fleet.get("a1", "/catalogue/item-1").json()["server"].asString();
    fleet.server(frozen).stop();

    std::string now;
    BOOST_TEST(Fleet::eventually([&] {
        now = fleet.get("b1", "/catalogue/item-1").json()["server"].asString();
        return !now.empty();
    }));
    BOOST_TEST(now != frozen);

    // Requests in the server's socket buffers are past their deadline when the process resumes.
    fleet.server(frozen).resume();
    BOOST_TEST(Fleet::eventually([&] { return fleet.servesKeys("a1", 60); }));
    BOOST_TEST(fleet.firstOverlap() == "");
}

} // namespace

BOOST_AUTO_TEST_CASE(frozenServerThatChecksFencesLosesItsKeys)
{
    frozenServerLosesItsKeys(true);
}

BOOST_AUTO_TEST_CASE(frozenServerThatChecksNoFencesLosesItsKeys)
{
    frozenServerLosesItsKeys(false);
}

BOOST_AUTO_TEST_CASE(frozenLeaderIsReplacedAndResumesWithoutLeadership)
{
    Fleet fleet;
    const std::string leader = fleet.leaderOf("b", "b1");
    BOOST_REQUIRE(!leader.empty());
    const std::string other = leader == "b1" ? "b2" : "b1";
    fleet.daemon(leader).stop();

    BOOST_TEST(Fleet::eventually([&] { return fleet.leaderOf("b", other) == other; }));
    BOOST_TEST(Fleet::eventually([&] { return fleet.servesKeys(other, 60); }));

    fleet.daemon(leader).resume();
    BOOST_TEST(Fleet::eventually([&] { return fleet.servesKeys(leader, 60); }));
    BOOST_TEST(fleet.leaderOf("b", leader) == other);
    BOOST_TEST(fleet.firstOverlap() == "");
}

#define BOOST_TEST_MODULE WholePath

#include "fleet/fleet.h"

#include "standinprocess/rawconnection.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bulrush::test;

namespace {

/** The fleet of the test cases that leave its state unchanged. */
Fleet &sharedFleet()
{
    static Fleet fleet;
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(everyDaemonRoutesAKeyToItsOneOwner)
{
    Fleet &fleet = sharedFleet();
    std::set<std::string> owners;
    for (int i = 0; i < 20; ++i) {
        const std::string path = "/catalogue/one-owner-" + std::to_string(i);
        std::set<std::string> servers;
        for (const std::string &host : fleet.hosts()) {
            const SyncHttpResult result = fleet.get(host, path);
            BOOST_TEST(result.status == 200);
            servers.insert(result.json()["server"].asString());
            BOOST_TEST(result.json()["target"].asString() == path);
        }
        BOOST_TEST(servers.size() == 1U);
        owners.insert(servers.begin(), servers.end());
    }
    BOOST_TEST(owners.size() > 1U);
    BOOST_TEST(fleet.firstOverlap() == "");
}

BOOST_AUTO_TEST_CASE(repeatedDepositThroughOtherDaemonsRunsOnce)
{
    Fleet &fleet = sharedFleet();
    const SyncHttpResult first = fleet.deposit("a1", "deposit-1");
    BOOST_TEST(first.status == 200);
    for (const std::string &host : fleet.hosts()) {
        const SyncHttpResult again = fleet.deposit(host, "deposit-1");
        BOOST_TEST(again.status == 200);
        BOOST_TEST(again.body == first.body);
    }
    BOOST_TEST(fleet.runCountOf("deposit-1") == 1);
}

BOOST_AUTO_TEST_CASE(largeUploadIsForwardedCompletely)
{
    SyncHttpRequest put;
    put.method = "PUT";
    put.url = "/uploads/workout-1";
    put.body.assign(std::size_t{64} << 20U, 'w');
    const SyncHttpResult result = sharedFleet().request("b1", std::move(put));
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.json()["length"].asUInt64() == std::uint64_t{64} << 20U);
}

BOOST_AUTO_TEST_CASE(rejectedRequestsGetAReason)
{
    Fleet &fleet = sharedFleet();
    SyncHttpRequest stranger;
    stranger.url = "/catalogue/x";
    stranger.headers = {{"X-Bulrush-Organisation", "nobody"}};
    const SyncHttpResult unknown = fleet.request("a1", stranger);
    BOOST_TEST(unknown.status == 403);
    BOOST_TEST(unknown.body.find("X-Bulrush-Organisation") != std::string::npos);

    const SyncHttpResult lost = fleet.get("a1", "/no-such-operation");
    BOOST_TEST(lost.status == 404);
    BOOST_TEST(lost.body.find("/no-such-operation") != std::string::npos);

    BOOST_TEST(fleet.get("a1", "/catalogue/../deposits").status != 200);
    SyncHttpRequest large;
    large.method = "POST";
    large.url = "/deposits";
    large.body.assign(65 * 1024, 'x');
    BOOST_TEST(fleet.request("a1", large).status == 413);
    BOOST_TEST(fleet.servesKeys("a1", 5));
}

BOOST_AUTO_TEST_CASE(assignmentOfManySlicesReachesAllDomains)
{
    // 600 slices per domain exceed the size of one message between daemons.
    FleetShape shape;
    shape.daemonsPerDomain = 1;
    shape.catalogueServersPerDomain = 6;
    Fleet fleet{shape, 200};
    for (const std::string &host : fleet.hosts())
        BOOST_TEST(fleet.servesKeys(host, 60));
    BOOST_TEST(fleet.firstOverlap() == "");
}

BOOST_AUTO_TEST_CASE(changedContractTakesEffectAtAllDaemons)
{
    Fleet &fleet = sharedFleet();
    std::string text = Fleet::contractText();
    text.replace(text.find("/deposits"), 9, "/payments");
    const std::uint64_t version = fleet.putContract(text);
    const bool isInForce = Fleet::eventually([&] {
        for (const std::string &host : fleet.hosts()) {
            if (fleet.status(host)["contracts"]["leuvensport"].asUInt64() != version)
                return false;
        }
        return true;
    });
    BOOST_TEST(isInForce);
    BOOST_TEST(fleet.deposit("c2", "late").status == 404);
    fleet.putContract(Fleet::contractText());
    BOOST_TEST(Fleet::eventually([&] { return fleet.deposit("c2", "later").status == 200; }));
}

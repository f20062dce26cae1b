#define BOOST_TEST_MODULE HotKeys

#include "fleet/fleet.h"
#include "version/slice.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush::test;

namespace {

const std::string hotKey = "flash-sale";

/** Maximum number of requests for the hot key. */
constexpr int maxRequests = 20000;
constexpr int requestsPerRound = 25;

/** \returns whether the assignment at \a host has a slice with only the hot key. */
bool hasOwnSlice(Fleet &fleet, const std::string &host)
{
    const bulrush::KeyHash hash = bulrush::hashOfKey(hotKey);
    for (const char *domain : {"a", "b", "c"}) {
        const Json::Value assignment = fleet.assignment(host, domain);
        for (const Json::Value &slice : assignment["slices"]) {
            const std::string begin = slice["begin"].asString();
            if (begin == slice["end"].asString() && std::stoull(begin, nullptr, 16) == hash)
                return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(hotKeyGetsSliceOfItsOwn)
{
    Fleet fleet;
    const std::vector<std::string> hosts = fleet.hosts();
    BOOST_TEST(!hasOwnSlice(fleet, "a1"));
    int sent = 0;
    int failed = 0;
    const bool isSplit = Fleet::eventually([&] {
        for (int i = 0; i < requestsPerRound && sent < maxRequests; ++i, ++sent) {
            const std::string &host = hosts.at(static_cast<std::size_t>(sent) % hosts.size());
            failed += fleet.get(host, "/catalogue/" + hotKey).status == 200 ? 0 : 1;
        }
        return hasOwnSlice(fleet, "a1");
    });
    BOOST_TEST_MESSAGE("requests for the hot key: " << sent << ", failed: " << failed);
    BOOST_REQUIRE(isSplit);
    BOOST_TEST(failed == 0);
    for (const std::string &host : hosts) {
        BOOST_REQUIRE(Fleet::eventually([&] { return hasOwnSlice(fleet, host); }));
        BOOST_TEST(fleet.servesKeys(host, 30));
    }
    BOOST_TEST(fleet.firstOverlap() == "");
}

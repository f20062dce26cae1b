#define BOOST_TEST_MODULE RouteTable

#include "version/routetable.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace bulrush;

namespace {

Route route(const std::string &name, const std::string &prefix,
            std::vector<WeightedService> split = {{ServiceName{"catalogue"}, 1}})
{
    Route result;
    result.name = name;
    result.prefix = prefix;
    result.split = std::move(split);
    return result;
}

RouteTable table()
{
    RoutingConfig config;
    config.version = 7;
    config.services = {{ServiceName{"catalogue"}, true, 110}};
    config.hosts = {
        {"Shop.example", {route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")}},
        {"other.example", {route("x", "/x/")}},
    };
    return RouteTable{std::move(config)};
}

std::string found(const RouteTable &table, std::string_view host, std::string_view target)
{
    const Route *route = table.find(host, target);
    return route ? route->name : "";
}

} // namespace

BOOST_AUTO_TEST_CASE(longestMatchingPrefixWins)
{
    const RouteTable routes = table();
    BOOST_TEST(found(routes, "shop.example", "/a/b/c") == "ab");
    BOOST_TEST(found(routes, "shop.example", "/a/bc") == "a");
    BOOST_TEST(found(routes, "shop.example", "/a") == "all");
    BOOST_TEST(found(routes, "shop.example", "/z?p=/a/b/") == "all");
}

BOOST_AUTO_TEST_CASE(hostsCompareWithoutCaseAndPort)
{
    const RouteTable routes = table();
    BOOST_TEST(found(routes, "SHOP.EXAMPLE:8080", "/a/x") == "a");
    BOOST_TEST(found(routes, "other.example", "/a/x") == "");
    BOOST_TEST(found(routes, "nobody.example", "/") == "");
    BOOST_TEST(found(routes, "", "/") == "");
}

BOOST_AUTO_TEST_CASE(splitsRequestsByWeight)
{
    const Route split = route("split", "/", {{ServiceName{"old"}, 90}, {ServiceName{"new"}, 10}});
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        ++counts[serviceOf(split, hash).value()];
    BOOST_TEST(counts["old"] == 900);
    BOOST_TEST(counts["new"] == 100);
}

BOOST_AUTO_TEST_CASE(serviceWithoutWeightGetsNoRequests)
{
    const Route split = route("split", "/", {{ServiceName{"old"}, 0}, {ServiceName{"new"}, 3}});
    for (std::uint64_t hash = 0; hash < 20; ++hash)
        BOOST_TEST(serviceOf(split, hash).value() == "new");
}

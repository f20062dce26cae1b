#define BOOST_TEST_MODULE Drains

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(drainingDaemonCompletesRequestsInFlight)
{
    FleetShape shape;
    shape.serviceMs = 100;
    shape.paymentServersPerDomain = 2;
    Fleet fleet{shape};
    SyncHttpResult upload;
    std::thread caller{[&, address = fleet.daemon("a1").address("callers")] {
        SyncHttpClient http;
        SyncHttpRequest put;
        put.method = "PUT";
        put.url = address + "/uploads/long";
        put.body.assign(std::size_t{32} << 20U, 'w');
        put.timeout = 60s;
        upload = http.send(put);
    }};
    std::this_thread::sleep_for(300ms);
    const ChildProcess::Exit exit = fleet.daemon("a1").terminate(60s);
    caller.join();

    BOOST_TEST(exit.code.value_or(-1) == 0);
    BOOST_TEST(upload.status == 200);
    BOOST_TEST(upload.json()["length"].asUInt64() == std::uint64_t{32} << 20U);
    BOOST_TEST(Fleet::eventually([&] { return fleet.servesKeys("a2", 10); }));
}

BOOST_AUTO_TEST_CASE(daemonStopsAfterItsDepartureIsScheduled)
{
    Fleet fleet;
    BOOST_TEST(fleet.scheduleDeparture("b1") == 0);
    BOOST_TEST(Fleet::eventually([&] { return !fleet.daemon("b1").isRunning(); }));
    BOOST_TEST(fleet.daemon("b1").terminate().code.value_or(-1) == 0);
    BOOST_TEST(Fleet::eventually([&] { return fleet.servesKeys("b2", 30); }));
    BOOST_TEST(fleet.firstOverlap() == "");
}

BOOST_AUTO_TEST_CASE(rollingRestartKeepsServing)
{
    Fleet fleet;
    for (const std::string &host : fleet.hosts()) {
        const ChildProcess::Exit exit = fleet.daemon(host).terminate(60s);
        BOOST_TEST(exit.code.value_or(-1) == 0);
        fleet.restart(host);
        BOOST_TEST(Fleet::eventually([&] { return fleet.servesKeys(host, 30); }));
    }
    BOOST_TEST(fleet.firstOverlap() == "");
}

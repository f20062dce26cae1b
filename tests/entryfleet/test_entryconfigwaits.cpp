#define BOOST_TEST_MODULE EntryConfigWaits

#include "entryfleet/domainfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

/** Within which a configuration is to be in force, where the settings say nothing. */
constexpr auto bound = 2s;

/** Two daemons of a failure domain, of which the first reads the store, and one of another. */
struct TwoDomainFleet : DomainFleet
{
    TwoDomainFleet()
        : DomainFleet({"a1", "a2", "b1"})
    {
        auto calls = callsWithin(4s);
        first = calls["a1"] > calls["a2"] ? "a1" : "a2";
        second = first == "a1" ? "a2" : "a1";
    }

    std::string first;
    std::string second;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aConfigurationIsInForceInTimeThoughTheAnswersToWaitsForItWereLost,
                        DomainFleet)
{
    for (const std::string &host : hosts)
        loseFeedAnswer(host, "op");
    writeConfig({"/added/"});
    const auto written = Clock::now();
    for (const std::string &host : hosts)
        BOOST_TEST(eventually([&] { return isConfigInForce(host); }));
    const double took = std::chrono::duration<double>(Clock::now() - written).count();
    BOOST_TEST(took <= std::chrono::duration<double>(bound).count());
}

BOOST_FIXTURE_TEST_CASE(aReadThatTookLongDoesNotTakeBackAConfigurationThatCameMeanwhile,
                        TwoDomainFleet)
{
    daemon(second).kill();
    removeDaemonRow(second);
    setStoreFault(first, "reset");
    std::this_thread::sleep_for(300ms);
    delayReads(first, "op", 1400ms);
    // The read is under way by then, and another domain's daemon is asked before it is answered.
    std::this_thread::sleep_for(600ms);
    writeConfig({"/added/"});
    std::this_thread::sleep_for(2s);
    delayReads(first, "", 0ms);
    BOOST_TEST(isConfigInForce(first));
    startDaemon(second);
    BOOST_TEST(eventually([this] { return counter(second, "bulrush_config_version") > 0; }));
    std::this_thread::sleep_for(bound);
    BOOST_TEST(isConfigInForce(second));
}

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

/** Default time within which a new configuration must be in force. */
constexpr auto configBound = 2s;

/** Two daemons of a failure domain, of which \a first reads the store, and one of another. */
struct TwoDomainFleet : DomainFleet
{
    TwoDomainFleet()
        : DomainFleet({"a1", "a2", "b1"})
    {
        auto calls = storeCallsDuring(4s);
        first = calls["a1"] > calls["a2"] ? "a1" : "a2";
        second = first == "a1" ? "a2" : "a1";
    }

    std::string first;
    std::string second;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(configIsInForceInTimeAlthoughFeedAnswersAreLost, DomainFleet)
{
    for (const std::string &host : hosts)
        loseFeedAnswer(host, "op");
    writeConfig({"/added/"});
    const auto written = Clock::now();
    for (const std::string &host : hosts)
        BOOST_TEST(eventually([&] { return isConfigInForce(host); }));
    const double took = std::chrono::duration<double>(Clock::now() - written).count();
    BOOST_TEST(took <= std::chrono::duration<double>(configBound).count());
}

BOOST_FIXTURE_TEST_CASE(slowReadDoesNotRevertANewerConfiguration, TwoDomainFleet)
{
    daemon(second).kill();
    removeDaemonRow(second);
    setStoreFault(first, "reset");
    std::this_thread::sleep_for(300ms);
    delayReads(first, "op", 1400ms);
    // By then the read is in flight, and a daemon of the other domain is asked before it finishes.
    std::this_thread::sleep_for(600ms);
    writeConfig({"/added/"});
    std::this_thread::sleep_for(2s);
    delayReads(first, "", 0ms);
    BOOST_TEST(isConfigInForce(first));
    startDaemon(second);
    BOOST_TEST(eventually([this] { return counter(second, "bulrush_config_version") > 0; }));
    std::this_thread::sleep_for(configBound);
    BOOST_TEST(isConfigInForce(second));
}

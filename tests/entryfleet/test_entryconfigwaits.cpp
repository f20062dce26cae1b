#define BOOST_TEST_MODULE EntryConfigWaits

#include "entryfleet/domainfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace bulrush::test;
using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;

namespace {

/** Within which a configuration is to be in force, where the settings say nothing. */
constexpr auto bound = 2s;

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

#define BOOST_TEST_MODULE CrashWatches

#include "process/crashwatch.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const ServerName server{"s1"};

RequestFingerprint requestNumber(int number)
{
    return RequestFingerprint{{"GET", "shop.example", "/" + std::to_string(number), ""}};
}

CrashReport reportOf(int number)
{
    return {requestNumber(number), server, {}};
}

} // namespace

BOOST_AUTO_TEST_CASE(brokenConnectionAloneIsNotTreatedAsCrash)
{
    CrashWatch watch;
    const Instant now{10s};
    BOOST_TEST(!watch.lost(reportOf(1), CrashWatch::Loss::Broke, now).has_value());
    BOOST_TEST(watch.startLivenessCheck(server, now));
    BOOST_TEST(!watch.startLivenessCheck(server, now + 500ms));
    BOOST_TEST(watch.startLivenessCheck(server, now + 1s));
    watch.forget(now + CrashWatch::requestRetention + 1ms);
    BOOST_TEST(watch.serverEnded(server, now + CrashWatch::requestRetention + 1ms).empty());
}

BOOST_AUTO_TEST_CASE(allRequestsInFlightAtCrashedServerAreReported)
{
    CrashWatch watch;
    const Instant now{10s};
    watch.lost(reportOf(1), CrashWatch::Loss::Broke, now);
    watch.lost(reportOf(2), CrashWatch::Loss::Broke, now);
    watch.lost(reportOf(2), CrashWatch::Loss::Broke, now);
    BOOST_TEST(watch.serverEnded(server, now + 3ms).size() == 2U);
    BOOST_TEST(watch.serverEnded(server, now + 4ms).empty());
}

BOOST_AUTO_TEST_CASE(requestAbandonedBeforeCrashIsReported)
{
    CrashWatch watch;
    const Instant now{10s};
    watch.lost(reportOf(1), CrashWatch::Loss::Abandoned, now);
    BOOST_TEST(watch.suspectedServers().empty());
    BOOST_TEST(watch.serverEnded(server, now + 1s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(connectionBreakDetectedAfterCrashIsReported)
{
    CrashWatch watch;
    const Instant now{10s};
    watch.serverEnded(server, now);
    BOOST_TEST(watch.lost(reportOf(1), CrashWatch::Loss::Broke, now + 1ms).has_value());
    watch.serverAnswered(server);
    BOOST_TEST(!watch.lost(reportOf(2), CrashWatch::Loss::Broke, now + 2ms).has_value());
}

BOOST_AUTO_TEST_CASE(storedRequestsOfServerAreBounded)
{
    CrashWatch watch;
    const Instant now{10s};
    for (int i = 0; i < 1000; ++i)
        watch.lost(reportOf(i), CrashWatch::Loss::Broke, now);
    BOOST_TEST(watch.serverEnded(server, now).size() == CrashWatch::maxRequestsPerServer);
}

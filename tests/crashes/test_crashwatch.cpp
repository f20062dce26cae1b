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

BOOST_AUTO_TEST_CASE(requestAnsweredAtItsDeadlineBeforeCrashIsReported)
{
    // The server gave up waiting with 3 ms left, and ended 12 ms later.
    CrashWatch watch;
    const Instant now{10s};
    BOOST_TEST(!watch.answered(reportOf(1), 504, now));
    BOOST_TEST(watch.suspectedServers().empty());
    const std::vector<CrashReport> reports = watch.serverEnded(server, now + 12ms);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST((reports.front().request == requestNumber(1)));
}

BOOST_AUTO_TEST_CASE(onlyCompletedWorkShowsThatARequestIsHarmless)
{
    CrashWatch watch;
    const Instant now{10s};
    for (const int status : {200, 204, 302, 404})
        BOOST_TEST(watch.answered(reportOf(1), status, now), status);
    for (const int status : {500, 502, 503, 504})
        BOOST_TEST(!watch.answered(reportOf(2), status, now), status);
    // A server that has answered with a failure of its own has finished the work.
    BOOST_TEST(watch.answered(reportOf(3), 200, now));
    BOOST_TEST(!watch.answered(reportOf(4), 500, now));
    for (const CrashReport &report : watch.serverEnded(server, now + 1ms))
        BOOST_TEST((report.request == requestNumber(2)));
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

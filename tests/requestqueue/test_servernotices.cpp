#define BOOST_TEST_MODULE ServerNotices

#include "process/servernotices.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const ServerName server{"i-1"};
const ServerName other{"i-2"};

} // namespace

BOOST_AUTO_TEST_CASE(pauseConcernsTheServerThatAskedAndEndsByItself)
{
    ServerNotices notices;
    notices.recordBackoff(server, 3s, start);
    BOOST_TEST(notices.isBackingOff(server, start));
    BOOST_TEST(notices.isBackingOff(server, start + 2999ms));
    BOOST_TEST(!notices.isBackingOff(server, start + 3s));
    BOOST_TEST(!notices.isBackingOff(other, start));
}

BOOST_AUTO_TEST_CASE(furtherRefusalsExtendAPauseAndNeverShortenIt)
{
    ServerNotices notices;
    notices.recordBackoff(server, 3s, start);
    notices.recordBackoff(server, 1s, start + 100ms);
    BOOST_TEST(notices.isBackingOff(server, start + 2999ms));
    notices.recordBackoff(server, 10s, start + 200ms);
    BOOST_TEST(notices.isBackingOff(server, start + 10s));
    BOOST_TEST(notices.find(server)->backoffCount == 3U);
    notices.recordBackoff(other, std::chrono::hours{365 * 24}, start);
    BOOST_TEST(notices.isBackingOff(other, start + std::chrono::hours{24}));
}

BOOST_AUTO_TEST_CASE(operatorsCanEndAPause)
{
    ServerNotices notices;
    BOOST_TEST(!notices.endBackoff(server, start));
    notices.recordBackoff(server, 3s, start);
    BOOST_TEST(notices.endBackoff(server, start + 1s));
    BOOST_TEST(!notices.isBackingOff(server, start + 1s));
    BOOST_TEST(!notices.endBackoff(server, start + 1s));
}

BOOST_AUTO_TEST_CASE(daemonsReturnSpreadOverTheTimeThatTheServerNeedsForAll)
{
    constexpr int daemonCount = 300;
    constexpr int parts = 10;
    const Duration allHandledIn = 9s;
    std::array<int, parts> counts{};
    for (int i = 0; i < daemonCount; ++i) {
        const HostName host{"front-" + std::to_string(i)};
        const Duration delay = returnDelay(host, server, 30s, allHandledIn);
        BOOST_TEST((delay == returnDelay(host, server, 30s, allHandledIn)));
        BOOST_REQUIRE((delay >= Duration::zero() && delay < allHandledIn));
        ++counts.at(static_cast<std::size_t>(delay * parts / allHandledIn));
        BOOST_TEST((returnDelay(host, server, 3s, allHandledIn) < 1500ms));
    }
    // An even spread has 30 in each part; five standard deviations more are allowed.
    for (const int count : counts)
        BOOST_TEST(count <= 57);
}

BOOST_AUTO_TEST_CASE(leavingIsKnownFromTheFirstAnnouncement)
{
    ServerNotices notices;
    BOOST_TEST(!notices.leavingSince(server).has_value());
    BOOST_TEST(notices.recordLeaving(server, start));
    BOOST_TEST(!notices.recordLeaving(server, start + 1s));
    BOOST_TEST((notices.leavingSince(server) == start));
}

BOOST_AUTO_TEST_CASE(noticesOutliveARecordThatIsMissingForAMoment)
{
    ServerNotices notices;
    notices.recordBackoff(server, 3s, start);
    const auto none = [](const ServerName &) {
        return false;
    };
    notices.removeUnlisted(none, start);
    notices.removeUnlisted(none, start + ServerNotices::unlistedRetention);
    BOOST_TEST(notices.find(server));
    notices.removeUnlisted([](const ServerName &) { return true; }, start + 61s);
    notices.removeUnlisted(none, start + 62s);
    BOOST_TEST(notices.find(server));
    notices.removeUnlisted(none, start + 62s + ServerNotices::unlistedRetention + 1ms);
    BOOST_TEST(!notices.find(server));
}

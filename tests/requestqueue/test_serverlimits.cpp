#define BOOST_TEST_MODULE ServerLimits

#include "process/serverlimits.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};
const ServerName server{"i-1"};

} // namespace

BOOST_AUTO_TEST_CASE(limitIsKnownFromTheFirstAnswerUntilALaterOneNamesNone)
{
    ServerLimits limits;
    BOOST_TEST((limits.recordAnswer(server, NoLimit{}, true, start, start) == LimitChange::None));
    BOOST_TEST((limits.recordAnswer(server, RateLimit{5.3}, true, start, start + 50ms)
                == LimitChange::Named));
    BOOST_REQUIRE(limits.find(server));
    BOOST_TEST(limits.find(server)->perSecond == 5.3);
    BOOST_TEST((limits.find(server)->since == start + 50ms));
    BOOST_TEST((limits.recordAnswer(server, NoLimit{}, true, start + 60ms, start + 90ms)
                == LimitChange::Ended));
    BOOST_TEST(!limits.find(server));
}

BOOST_AUTO_TEST_CASE(answerThatMayBeOlderNeitherEndsNorRaisesALimit)
{
    ServerLimits limits;
    limits.recordAnswer(server, RateLimit{5.0}, true, start, start + 50ms);
    // These requests were sent before the answer above arrived.
    BOOST_TEST((limits.recordAnswer(server, NoLimit{}, true, start + 49ms, start + 80ms)
                == LimitChange::None));
    BOOST_TEST((limits.recordAnswer(server, RateLimit{9.0}, true, start + 40ms, start + 81ms)
                == LimitChange::None));
    BOOST_TEST((limits.recordAnswer(server, RateLimit{4.0}, true, start + 40ms, start + 82ms)
                == LimitChange::Changed));
    BOOST_TEST(limits.find(server)->perSecond == 4.0);
    BOOST_TEST((limits.recordAnswer(server, RateLimit{9.0}, true, start + 90ms, start + 120ms)
                == LimitChange::Changed));
    BOOST_TEST(limits.find(server)->perSecond == 9.0);
}

BOOST_AUTO_TEST_CASE(refusalWithoutALimitOrAnUnreadableOneDoesNotEndALimit)
{
    ServerLimits limits;
    limits.recordAnswer(server, RateLimit{5.0}, true, start, start + 50ms);
    BOOST_TEST((limits.recordAnswer(server, NoLimit{}, false, start + 60ms, start + 70ms)
                == LimitChange::None));
    BOOST_TEST((limits.recordAnswer(server, UnreadableLimit{"-1"}, true, start + 60ms, start + 70ms)
                == LimitChange::Unreadable));
    BOOST_TEST(limits.find(server)->perSecond == 5.0);
    BOOST_TEST((limits.recordAnswer(ServerName{"i-2"}, UnreadableLimit{"x"}, true, start, start)
                == LimitChange::Unreadable));
    BOOST_TEST(!limits.find(ServerName{"i-2"}));
}

BOOST_AUTO_TEST_CASE(limitOfZeroIsALimit)
{
    ServerLimits limits;
    limits.recordAnswer(server, RateLimit{0.0}, false, start, start);
    BOOST_REQUIRE(limits.find(server));
    BOOST_TEST(limits.find(server)->perSecond == 0.0);
}

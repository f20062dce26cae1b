#define BOOST_TEST_MODULE LinkBudget

#include "process/linkbudget.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1000s};
constexpr std::size_t longAnswer = 250'000;

int acceptedOf(LinkBudget &link, int answers, Instant now)
{
    int accepted = 0;
    for (int i = 0; i < answers; ++i)
        accepted += link.take(longAnswer, now) ? 1 : 0;
    return accepted;
}

} // namespace

BOOST_AUTO_TEST_CASE(aNarrowLinkSendsOneLongAnswerAtATime)
{
    LinkBudget link{10.0};
    BOOST_TEST(acceptedOf(link, 24, start) == 1);
    BOOST_TEST(acceptedOf(link, 24, start + 200ms) == 0);
    // Half of the link has sent it by then.
    BOOST_TEST(acceptedOf(link, 24, start + 410ms) == 1);
}

BOOST_AUTO_TEST_CASE(aWideLinkSendsWhatGoesOutWithinTheBacklog)
{
    LinkBudget link{200.0};
    BOOST_TEST(acceptedOf(link, 100, start) == 20);
}

BOOST_AUTO_TEST_CASE(shortAnswersAreAlwaysSentAndCount)
{
    LinkBudget link{10.0};
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(link.take(LinkBudget::shortAnswer, start));
    BOOST_TEST(!link.take(longAnswer, start + 1s));
    BOOST_TEST(link.take(longAnswer, start + 3s));
}

BOOST_AUTO_TEST_CASE(anAnswerThatTakesLongerThanTheBacklogGoesOverAnIdleLink)
{
    LinkBudget link{1.0};
    BOOST_TEST(link.take(longAnswer, start));
}

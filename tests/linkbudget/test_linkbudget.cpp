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
        accepted += link.tryReserve(longAnswer, now) ? 1 : 0;
    return accepted;
}

} // namespace

BOOST_AUTO_TEST_CASE(slowLinkSendsOneLongAnswerAtATime)
{
    LinkBudget link{10.0};
    BOOST_TEST(acceptedOf(link, 24, start) == 1);
    BOOST_TEST(acceptedOf(link, 24, start + 200ms) == 0);
    // The answer has been sent by then with half of the link's bandwidth.
    BOOST_TEST(acceptedOf(link, 24, start + 410ms) == 1);
}

BOOST_AUTO_TEST_CASE(fastLinkAcceptsAnswersUpToTheMaximumBacklog)
{
    LinkBudget link{200.0};
    BOOST_TEST(acceptedOf(link, 100, start) == 20);
}

BOOST_AUTO_TEST_CASE(shortAnswersAreAlwaysAcceptedAndCount)
{
    LinkBudget link{10.0};
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(link.tryReserve(LinkBudget::shortAnswerSize, start));
    BOOST_TEST(!link.tryReserve(longAnswer, start + 1s));
    BOOST_TEST(link.tryReserve(longAnswer, start + 3s));
}

BOOST_AUTO_TEST_CASE(idleLinkAcceptsAnAnswerLongerThanTheBacklog)
{
    LinkBudget link{1.0};
    BOOST_TEST(link.tryReserve(longAnswer, start));
}

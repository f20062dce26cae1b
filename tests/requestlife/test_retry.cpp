#include "process/retrybudgets.h"
#include "request/retrypolicy.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant now{10s};
const RequestPolicy idempotent{RequestClass::Ordinary, true, now + 1s};
const RequestPolicy notIdempotent{RequestClass::Ordinary, false, now + 1s};

RetryBudget fullBudget()
{
    RetryBudget budget;
    for (int i = 0; i < 1000; ++i)
        budget.recordFirstAttempt();
    return budget;
}

bool isRetried(const FailedAttempt &failed, const RequestPolicy &policy)
{
    RetryBudget budget = fullBudget();
    return takeRetry(failed, policy, {}, budget, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retry)

BOOST_AUTO_TEST_CASE(possiblyRunAttemptIsRetriedOnlyIfIdempotent)
{
    BOOST_TEST(isRetried({FailurePoint::WrittenAndSilent}, idempotent));
    for (const FailurePoint point : allFailurePoints()) {
        if (!isCertainlyNotRun(point))
            BOOST_TEST(!isRetried({point}, notIdempotent));
    }
    BOOST_TEST(isRetried({FailurePoint::ConnectRefused}, notIdempotent));
}

BOOST_AUTO_TEST_CASE(refusalOfTheRequestItselfIsFinal)
{
    BOOST_TEST(!isRetried({FailurePoint::RateLimited}, idempotent));
    BOOST_TEST(!isRetried({FailurePoint::DaemonDraining}, idempotent));
    BOOST_TEST(!isRetried({FailurePoint::ServerDeadline}, idempotent));
}

BOOST_AUTO_TEST_CASE(retryNeedsTimeBodyServerAndAnUnstartedAnswer)
{
    const FailurePoint point = FailurePoint::ServerShed;
    BOOST_TEST(isRetried({.point = point, .expectedTime = 1s}, idempotent));
    BOOST_TEST(!isRetried({.point = point, .expectedTime = 1001ms}, idempotent));
    BOOST_TEST(!isRetried({.point = point, .attemptCount = 3}, idempotent));
    BOOST_TEST(!isRetried({.point = point, .hasAnswerBegun = true}, idempotent));
    BOOST_TEST(!isRetried({.point = point, .isBodyReplayable = false}, idempotent));
    BOOST_TEST(!isRetried({.point = point, .hasOtherServer = false}, idempotent));
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedToATenthOfTraffic)
{
    RetryBudget budget;
    BOOST_TEST(!budget.takeRetry(RequestClass::Priority));
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        while (budget.takeRetry(RequestClass::Priority))
            ++retries;
    }
    BOOST_TEST(retries == 100);
}

BOOST_AUTO_TEST_CASE(unspentRetriesAreBoundedAndHalfIsKeptForPriority)
{
    RetryBudget budget = fullBudget();
    int ordinary = 0;
    while (budget.takeRetry(RequestClass::Ordinary))
        ++ordinary;
    int priority = 0;
    while (budget.takeRetry(RequestClass::Priority))
        ++priority;
    BOOST_TEST(ordinary == 5);
    BOOST_TEST(priority == 5);
}

BOOST_AUTO_TEST_CASE(trafficOfOneServiceGivesNoRetriesToAnother)
{
    const ServiceName busy{"busy"};
    const ServiceName quiet{"quiet"};
    RetryBudgets budgets{RetryAllowance{0.2, 56.0}};
    budgets.setDaemonCount(8);
    int retries = 0;
    for (int i = 0; i < 400; ++i) {
        for (int j = 0; j < 10; ++j)
            budgets.recordFirstAttempt(busy);
        budgets.recordFirstAttempt(quiet);
        while (budgets.takeRetry(quiet, RequestClass::Priority))
            ++retries;
    }
    BOOST_TEST(retries == 60);
}

BOOST_AUTO_TEST_CASE(savedRetriesOfAllDaemonsStayBelowTheLimit)
{
    for (const std::size_t daemons : {1, 8, 12, 77, 89, 145}) {
        RetryBudgets budgets{RetryAllowance{0.2, 194.0}};
        budgets.setDaemonCount(daemons);
        const ServiceName service{"s"};
        for (int i = 0; i < 1000; ++i)
            budgets.recordFirstAttempt(service);
        int saved = 0;
        while (budgets.takeRetry(service, RequestClass::Priority))
            ++saved;
        BOOST_TEST(saved >= 1);
        BOOST_TEST(static_cast<double>(saved) * static_cast<double>(daemons) <= 194.0);
    }
}

BOOST_AUTO_TEST_CASE(ordinaryRequestMayUseTheOnlySavedRetry)
{
    RetryBudgets budgets{RetryAllowance{0.2, 100.0}};
    budgets.setDaemonCount(75);
    const ServiceName service{"s"};
    for (int i = 0; i < 20; ++i)
        budgets.recordFirstAttempt(service);
    BOOST_TEST(budgets.takeRetry(service, RequestClass::Ordinary));
}

BOOST_AUTO_TEST_SUITE_END()

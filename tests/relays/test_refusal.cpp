#define BOOST_TEST_MODULE Refusal

#include "refusal.h"
#include "request/requestqueue.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(reasonsTellWhetherAnotherDaemonMayServe)
{
    for (const std::string_view reason :
         {refusal::shuttingDown, refusal::noConfig, refusal::outdatedConfig, refusal::relayLimit})
        BOOST_TEST((relayOutcomeOf(reason, false) == RelayOutcome::Unavailable));
    const std::string_view queued = nameOf(GiveUpReason::Unreachable);
    for (const std::string_view reason : {refusal::unreachable, queued}) {
        BOOST_TEST((relayOutcomeOf(reason, false) == RelayOutcome::Denied));
        BOOST_TEST((relayOutcomeOf(reason, true) == RelayOutcome::CutOff));
    }
    const std::string_view full = nameOf(GiveUpReason::QueueTooLong);
    for (const std::string_view reason : {refusal::limited, refusal::mayCrash, full})
        BOOST_TEST((relayOutcomeOf(reason, true) == RelayOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(callersReturnAfterTheEarliestTimeAndSpread)
{
    BOOST_TEST(retryAfterText(0, Duration::zero()) == "0.25");
    BOOST_TEST(retryAfterText(999, Duration::zero()) == "0.75");
    BOOST_TEST(retryAfterText(500, 3s) == "3.25");
}

#include "request/outcome.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

/** Points where a server may have received a byte, or where another request decides. */
const std::set<FailurePoint> possiblyRunPoints{
    FailurePoint::PartlyWritten,        FailurePoint::WrittenAndSilent,
    FailurePoint::ResetAfterWrite,      FailurePoint::CancelledAfterWrite,
    FailurePoint::DaemonLostAfterWrite, FailurePoint::AnswerCut,
    FailurePoint::AnswerNotMatching,    FailurePoint::AnswerWithoutRan,
    FailurePoint::ClaimInProgress,      FailurePoint::ClaimUnknown,
    FailurePoint::RepeatNotChecked,
};

std::string_view ranOf(FailurePoint point)
{
    return std::get<RefusalResponse>(callerResponse(outcomeOf(point, 1s), false)).ran;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OutcomeTable)

BOOST_AUTO_TEST_CASE(pointIsNotRunOnlyIfNoServerCouldHaveStarted)
{
    BOOST_TEST(allFailurePoints().size() == 31U);
    for (const FailurePoint point : allFailurePoints()) {
        BOOST_TEST_CONTEXT(nameOf(point))
        {
            BOOST_TEST(ranOf(point) == (possiblyRunPoints.contains(point) ? "unknown" : "no"));
        }
    }
}

BOOST_AUTO_TEST_CASE(everyRefusalHasItsOwnReasonAndAnErrorStatus)
{
    std::set<std::string_view> names;
    for (const FailurePoint point : allFailurePoints()) {
        names.insert(nameOf(point));
        const auto response =
            std::get<RefusalResponse>(callerResponse(outcomeOf(point, 1s), false));
        BOOST_TEST(response.status >= 400);
        BOOST_TEST(response.reason == nameOf(point));
    }
    BOOST_TEST(names.size() == allFailurePoints().size());
}

BOOST_AUTO_TEST_CASE(statusSaysWhetherItRan)
{
    const auto statusOf = [](FailurePoint point) {
        return std::get<RefusalResponse>(callerResponse(outcomeOf(point, 1s), false)).status;
    };
    BOOST_TEST(statusOf(FailurePoint::ConnectRefused) == 503);
    BOOST_TEST(statusOf(FailurePoint::WrittenAndSilent) == 504);
    BOOST_TEST(statusOf(FailurePoint::ResetAfterWrite) == 502);
    BOOST_TEST(statusOf(FailurePoint::ClaimInProgress) == 409);
}

BOOST_AUTO_TEST_CASE(retryAfterIsRoundedUpToWholeSeconds)
{
    const auto secondsOf = [](Duration retryAfter) {
        const Outcome outcome = NotRun{FailurePoint::ServerShed, retryAfter};
        return std::get<RefusalResponse>(callerResponse(outcome, false)).retryAfter.count();
    };
    BOOST_TEST(secondsOf(0ms) == 1);
    BOOST_TEST(secondsOf(1ms) == 1);
    BOOST_TEST(secondsOf(1001ms) == 2);
}

BOOST_AUTO_TEST_CASE(truncatedAnswerNeverLooksComplete)
{
    const Outcome cut = outcomeOf(FailurePoint::AnswerCut, 1s);
    BOOST_TEST(std::holds_alternative<AbortCallerConnection>(callerResponse(cut, true)));
    BOOST_TEST(std::holds_alternative<RefusalResponse>(callerResponse(cut, false)));
    BOOST_TEST(std::holds_alternative<ForwardAnswer>(callerResponse(CompleteAnswer{}, true)));
}

BOOST_AUTO_TEST_CASE(unknownOutcomeOfAnEarlierAttemptIsKept)
{
    const std::vector<FailurePoint> silentThenShed{
        FailurePoint::ConnectRefused, FailurePoint::WrittenAndSilent, FailurePoint::ServerShed};
    BOOST_TEST((outcomeOfAttempts(silentThenShed, 1s)
                == Outcome{Unknown{FailurePoint::WrittenAndSilent, 1s}}));
    const std::vector<FailurePoint> neverRan{FailurePoint::ConnectRefused,
                                             FailurePoint::ServerShed};
    BOOST_TEST((outcomeOfAttempts(neverRan, 1s) == Outcome{NotRun{FailurePoint::ServerShed, 1s}}));
}

BOOST_AUTO_TEST_CASE(serverErrorWithoutStatementIsUnknown)
{
    const auto end = [](int status, RanStatement ran) {
        return outcomeOfAnswer(status, ran, "shed", 1s);
    };
    BOOST_TEST((end(200, RanStatement::Yes) == Outcome{CompleteAnswer{}}));
    BOOST_TEST((end(500, RanStatement::Yes) == Outcome{CompleteAnswer{}}));
    BOOST_TEST((end(404, RanStatement::Missing) == Outcome{CompleteAnswer{}}));
    BOOST_TEST((end(503, RanStatement::No) == Outcome{NotRun{FailurePoint::ServerShed, 1s}}));
    BOOST_TEST(
        (end(503, RanStatement::Missing) == Outcome{Unknown{FailurePoint::AnswerWithoutRan, 1s}}));
}

BOOST_AUTO_TEST_SUITE_END()

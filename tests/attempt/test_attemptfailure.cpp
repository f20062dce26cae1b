#define BOOST_TEST_MODULE AttemptFailure

#include "attemptfailure.h"
#include "connection/transporterror.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bulrush;

namespace {

io::ExchangeResult refusalWith(const std::string &ran, const std::string &reason)
{
    io::ExchangeResult end;
    end.error = io::TransportError::ServerRefused;
    end.stage = io::TransferStage::Answered;
    end.status = 500;
    end.ran = ran;
    end.reason = reason;
    return end;
}

} // namespace

BOOST_AUTO_TEST_CASE(reasonWithoutTheStatementThatItDidNotRunIsNoRefusal)
{
    for (const std::string ran : {"", "unknown", "yes", "perhaps"}) {
        for (const FailurePoint named : allFailurePoints()) {
            const auto point = failurePointOf(refusalWith(ran, std::string{nameOf(named)}));
            BOOST_REQUIRE(point.has_value());
            BOOST_TEST(!isCertainlyNotRun(*point), ran << ' ' << nameOf(named));
        }
        BOOST_TEST(!isCertainlyNotRun(*failurePointOf(refusalWith(ran, "shed"))));
    }
}

BOOST_AUTO_TEST_CASE(reasonOfAStatementNamesTheFailure)
{
    for (const FailurePoint named : allFailurePoints()) {
        if (!isCertainlyNotRun(named))
            continue;
        const auto point = failurePointOf(refusalWith("no", std::string{nameOf(named)}));
        BOOST_TEST((point == named));
    }
    // Other daemons name where an outcome became unknown.
    const std::string answerCut{nameOf(FailurePoint::AnswerCut)};
    BOOST_TEST((failurePointOf(refusalWith("unknown", answerCut)) == FailurePoint::AnswerCut));
}

#include "attemptfailure.h"

#include "connection/transporterror.h"

#include <string>
#include <system_error>

namespace bulrush {

namespace {

FailurePoint failurePointOf(io::TransferStage stage, std::error_code error)
{
    switch (stage) {
    case io::TransferStage::NotConnected:
        return error == io::TransportError::TimedOut ? FailurePoint::ConnectTimedOut
                                                     : FailurePoint::ConnectRefused;
    case io::TransferStage::Sending:
        return FailurePoint::PartlyWritten;
    case io::TransferStage::Sent:
    case io::TransferStage::Answered:
        break;
    }
    if (error == io::TransportError::TimedOut)
        return FailurePoint::WrittenAndSilent;
    if (error == io::TransportError::AnswerMismatched)
        return FailurePoint::AnswerNotMatching;
    if (error == io::TransportError::CallerDisconnected)
        return FailurePoint::CancelledAfterWrite;
    return error == io::TransportError::ConnectionLost ? FailurePoint::ResetAfterWrite
                                                       : FailurePoint::AnswerCut;
}

/** \returns the failure point \a name as reported by another daemon, or nothing. */
std::optional<FailurePoint> failurePointByName(const std::string &name)
{
    for (const FailurePoint point : allFailurePoints()) {
        if (nameOf(point) == name)
            return point;
    }
    return std::nullopt;
}

} // namespace

std::optional<FailurePoint> failurePointOf(const io::ExchangeResult &end)
{
    if (!end.error)
        return std::nullopt;
    if (end.error != io::TransportError::ServerRefused)
        return failurePointOf(end.stage, end.error);
    const RanStatement ran = io::parseRanStatement(end.ran);
    const auto named = failurePointByName(end.reason);
    // A reason says that the request did not run only with the statement.
    if (named && (ran == RanStatement::No || !isCertainlyNotRun(*named)))
        return named;
    const Outcome outcome = outcomeOfAnswer(end.status, ran, end.reason, Duration{});
    if (const auto *notRun = std::get_if<NotRun>(&outcome))
        return notRun->reason;
    return FailurePoint::AnswerWithoutRan;
}

} // namespace bulrush

#include "request/claim.h"

#include <algorithm>
#include <utility>

namespace bulrush {

/** Dispatches each event to its method. */
class Claim::EventHandler
{
public:
    EventHandler(Claim &claim, Instant now)
        : m_claim(claim)
        , m_now(now)
    { }

    ClaimActions operator()(const ClaimWriteCommitted &event) const
    {
        return m_claim.onCommitted(event.version, m_now);
    }

    ClaimActions operator()(const ClaimWriteConflicted &event) const
    {
        return m_claim.onRow(event.current, m_now);
    }

    ClaimActions operator()(const ClaimRowRead &event) const
    {
        return m_claim.onRow(event.current, m_now);
    }

    ClaimActions operator()(const ClaimWriteNotSent &) const
    {
        return m_claim.onNotSent();
    }

    ClaimActions operator()(const ClaimWriteLost &) const
    {
        return m_claim.onLost();
    }

    ClaimActions operator()(const ClaimReadFailed &) const
    {
        return m_claim.onReadFailed();
    }

    ClaimActions operator()(const ClaimAbandoned &event) const
    {
        return m_claim.onAbandoned(event.reason);
    }

    ClaimActions operator()(const ClaimRecheckDue &) const
    {
        return m_claim.onRecheckDue();
    }

    ClaimActions operator()(const ClaimedRequestFinished &event) const
    {
        return m_claim.onRequestFinished(event);
    }

private:
    Claim &m_claim;
    Instant m_now;
};

Outcome outcomeOfHeldClaim(HolderState holder, Duration retryAfter)
{
    const FailurePoint point =
        holder == HolderState::Alive ? FailurePoint::ClaimInProgress : FailurePoint::ClaimUnknown;
    return Unknown{point, retryAfter};
}

Claim::Claim(ClaimRequest request)
    : m_request(std::move(request))
{ }

ClaimActions Claim::start()
{
    return claimAtVersion(0);
}

ClaimActions Claim::handle(const ClaimEvent &event, Instant now)
{
    return std::visit(EventHandler{*this, now}, event);
}

ClaimActions Claim::claimAtVersion(std::uint64_t version)
{
    m_phase = Phase::Claiming;
    m_expectedVersion = version;
    return {WriteClaim{version, rowInState(ClaimState::Claimed)}};
}

ClaimActions Claim::onCommitted(std::uint64_t version, Instant now)
{
    if (m_phase == Phase::Claiming)
        return dispatchIfInTime(version, now);
    if (m_phase == Phase::Recording)
        return finish();
    if (m_phase != Phase::Abandoned)
        return {};
    m_expectedVersion = version;
    return record(ClaimState::NotRun, {});
}

ClaimActions Claim::onRow(const VersionedClaim &current, Instant now)
{
    if (m_phase == Phase::Claiming)
        return onRowWhileClaiming(current, now);
    if (m_phase == Phase::Abandoned)
        startRecording(ClaimState::NotRun, {});
    if (m_phase == Phase::Recording)
        return onRowWhileRecording(current);
    return {};
}

ClaimActions Claim::onRowWhileClaiming(const VersionedClaim &current, Instant now)
{
    if (current.version != m_expectedVersion)
        m_isWritePending = false;
    if (!current.row)
        return claimAtVersion(current.version);
    if (isOwnClaim(*current.row))
        return dispatchIfInTime(current.version, now);
    if (current.row->state == ClaimState::NotRun)
        return claimAtVersion(current.version);
    return answerFromOtherClaim(*current.row);
}

ClaimActions Claim::onRowWhileRecording(const VersionedClaim &current)
{
    const bool isUnchanged = current.version == m_expectedVersion;
    const bool isClaimedByThis =
        current.row && isOwnClaim(*current.row) && current.row->state == ClaimState::Claimed;
    // An unchanged row has to be overwritten, since a pending write could still claim it.
    if (!isUnchanged && !isClaimedByThis)
        return finish();
    m_expectedVersion = current.version;
    return {WriteClaim{m_expectedVersion, m_finalRow}};
}

ClaimActions Claim::onNotSent()
{
    if (m_phase == Phase::Claiming)
        return refuse(FailurePoint::ClaimUnavailable);
    if (m_phase == Phase::Abandoned && !m_isWritePending)
        return finish();
    return onReadFailed();
}

ClaimActions Claim::onLost()
{
    if (m_phase == Phase::Abandoned)
        startRecording(ClaimState::NotRun, {});
    if (m_phase != Phase::Claiming && m_phase != Phase::Recording)
        return {};
    m_isWritePending = true;
    return {ReadClaim{}};
}

ClaimActions Claim::onReadFailed()
{
    if (m_phase == Phase::Claiming)
        return refuse(FailurePoint::ClaimAnswerLost);
    if (m_phase == Phase::Abandoned)
        startRecording(ClaimState::NotRun, {});
    if (m_phase != Phase::Recording)
        return {};
    const Duration delay = m_settleDelay;
    m_settleDelay = std::min(m_settleDelay * 2, maxSettleDelay);
    return {ScheduleClaimRecheck{delay}};
}

ClaimActions Claim::onAbandoned(FailurePoint reason)
{
    if (m_phase != Phase::Claiming)
        return {};
    m_phase = Phase::Abandoned;
    return {AnswerCaller{outcomeOfRefusal(reason)}};
}

ClaimActions Claim::onRecheckDue()
{
    if (m_phase != Phase::Recording)
        return {};
    return {ReadClaim{}};
}

ClaimActions Claim::onRequestFinished(const ClaimedRequestFinished &ended)
{
    if (m_phase != Phase::Dispatched)
        return {};
    if (std::holds_alternative<CompleteAnswer>(ended.outcome))
        return record(ClaimState::Done, ended.storedAnswer);
    if (std::holds_alternative<NotRun>(ended.outcome))
        return record(ClaimState::NotRun, {});
    return record(ClaimState::Unknown, {});
}

ClaimActions Claim::dispatchIfInTime(std::uint64_t version, Instant now)
{
    m_expectedVersion = version;
    m_isWritePending = false;
    if (now > m_request.lastDispatch) {
        ClaimActions actions{
            AnswerCaller{NotRun{FailurePoint::DeadlineBeforeDispatch, m_request.retryAfter}}};
        ClaimActions writes = record(ClaimState::NotRun, {});
        actions.insert(actions.end(), writes.begin(), writes.end());
        return actions;
    }
    m_phase = Phase::Dispatched;
    return {DispatchClaimedRequest{}};
}

ClaimActions Claim::answerFromOtherClaim(const ClaimRow &row)
{
    if (row.state == ClaimState::Done)
        return finish({AnswerStored{row.storedAnswer}});
    if (row.state == ClaimState::Claimed)
        return finish({AnswerForHeldClaim{row.holder}});
    return finish({AnswerCaller{Unknown{FailurePoint::ClaimUnknown, m_request.retryAfter}}});
}

ClaimActions Claim::refuse(FailurePoint point)
{
    ClaimActions actions{AnswerCaller{outcomeOfRefusal(point)}};
    if (!m_isWritePending)
        return finish(std::move(actions));
    startRecording(ClaimState::NotRun, {});
    const ClaimActions later = onReadFailed();
    actions.insert(actions.end(), later.begin(), later.end());
    return actions;
}

void Claim::startRecording(ClaimState state, std::string storedAnswer)
{
    m_phase = Phase::Recording;
    m_finalRow = rowInState(state);
    m_finalRow.storedAnswer = std::move(storedAnswer);
}

ClaimActions Claim::record(ClaimState state, std::string storedAnswer)
{
    startRecording(state, std::move(storedAnswer));
    return {WriteClaim{m_expectedVersion, m_finalRow}};
}

ClaimActions Claim::finish(ClaimActions actions)
{
    m_phase = Phase::Over;
    actions.emplace_back(DiscardClaim{});
    return actions;
}

Outcome Claim::outcomeOfRefusal(FailurePoint point) const
{
    // Not dispatched here, but an earlier request with this key may have been served.
    if (m_request.isRepeat)
        return Unknown{FailurePoint::RepeatNotChecked, m_request.retryAfter};
    return NotRun{point, m_request.retryAfter};
}

bool Claim::isOwnClaim(const ClaimRow &row) const
{
    return row.holder == m_request.self && row.attempt == m_request.attempt;
}

ClaimRow Claim::rowInState(ClaimState state) const
{
    return {state, m_request.self, m_request.attempt, {}};
}

} // namespace bulrush

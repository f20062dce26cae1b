#pragma once

#include "process/clock.h"
#include "request/outcome.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrush {

/** Identifies one handling of a request by one daemon. Ids are never reused by any daemon. */
using AttemptId = Identifier<struct AttemptIdTag>;

/** State of a claim's row. */
enum class ClaimState {
    Claimed, ///< the holder may dispatch the request, or has done so
    Done,    ///< ran; the outcome is stored
    NotRun,  ///< certainly did not run; may be claimed again
    Unknown, ///< may have run; is never claimed again
};

/**
 * Value of a claim's row: the holder of the right to run the operation of an idempotency key, or
 * the result of the operation.
 */
struct ClaimRow
{
    ClaimState state = ClaimState::Claimed;
    Incarnation holder;
    AttemptId attempt;
    /** The answer to return to repeated requests; only when Done. */
    std::string storedAnswer;

    bool operator==(const ClaimRow &) const = default;
};

/** A row as read from the platform: without a value if it does not exist. */
struct VersionedClaim
{
    std::uint64_t version = 0;
    std::optional<ClaimRow> row;

    bool operator==(const VersionedClaim &) const = default;
};

// Events of a claim.

/** The last write took effect. */
struct ClaimWriteCommitted
{
    std::uint64_t version;
};

/** The last write had no effect, because the row differed from the expected one. */
struct ClaimWriteConflicted
{
    VersionedClaim current;
};

/** The last write certainly never reached the platform. */
struct ClaimWriteNotSent
{ };

/** The last write may or may not take effect, now or later. */
struct ClaimWriteLost
{ };

/** Result of the requested read. */
struct ClaimRowRead
{
    VersionedClaim current;
};

/** The requested read has failed. */
struct ClaimReadFailed
{ };

/** The caller has disconnected or stopped waiting: it is answered even if a call is pending. */
struct ClaimAbandoned
{
    FailurePoint reason = FailurePoint::DeadlineBeforeDispatch;
};

/** The time requested with ScheduleClaimRecheck has passed. */
struct ClaimRecheckDue
{ };

/** The dispatched request has completed. */
struct ClaimedRequestFinished
{
    Outcome outcome;
    /** The answer for repeated requests; only for a complete answer. */
    std::string storedAnswer;
};

using ClaimEvent = std::variant<ClaimWriteCommitted, ClaimWriteConflicted, ClaimWriteNotSent,
                                ClaimWriteLost, ClaimRowRead, ClaimReadFailed, ClaimAbandoned,
                                ClaimRecheckDue, ClaimedRequestFinished>;

// Actions of a claim.

/** Write the row if it still has this version. */
struct WriteClaim
{
    std::uint64_t expectedVersion;
    ClaimRow row;

    bool operator==(const WriteClaim &) const = default;
};

/** Read the row. */
struct ReadClaim
{
    bool operator==(const ReadClaim &) const = default;
};

/** Send the request to a backend server; issued at most once. */
struct DispatchClaimedRequest
{
    bool operator==(const DispatchClaimedRequest &) const = default;
};

/** Send the outcome to the caller now. */
struct AnswerCaller
{
    Outcome outcome;

    bool operator==(const AnswerCaller &) const = default;
};

/** Send the caller the stored answer to an earlier request with its key. */
struct AnswerStored
{
    std::string storedAnswer;

    bool operator==(const AnswerStored &) const = default;
};

/** Send the caller outcomeOfHeldClaim(): another request with its key holds the claim. */
struct AnswerForHeldClaim
{
    Incarnation holder;

    bool operator==(const AnswerForHeldClaim &) const = default;
};

/** Send ClaimRecheckDue after the delay; the caller has been answered already. */
struct ScheduleClaimRecheck
{
    Duration delay;

    bool operator==(const ScheduleClaimRecheck &) const = default;
};

/** The claim is finished and can be removed. */
struct DiscardClaim
{
    bool operator==(const DiscardClaim &) const = default;
};

using ClaimAction =
    std::variant<WriteClaim, ReadClaim, DispatchClaimedRequest, AnswerCaller, AnswerStored,
                 AnswerForHeldClaim, ScheduleClaimRecheck, DiscardClaim>;
using ClaimActions = std::vector<ClaimAction>;

/** State of the daemon that holds a claim. */
enum class HolderState {
    Alive,
    Gone, ///< stopped or unreachable: the request may have run if it was dispatched
};

/**
 * \returns the outcome of a request whose key is claimed by another one: in progress while the
 * holder is Alive, and permanently unknown when it is Gone, since only the holder has the result.
 * Thread safe.
 */
Outcome outcomeOfHeldClaim(HolderState holder, Duration retryAfter);

/** Input of a claim. */
struct ClaimRequest
{
    Incarnation self;
    AttemptId attempt;
    /** The request is not dispatched after this time. */
    Instant lastDispatch;
    /** Delay after which a refused caller may retry. */
    Duration retryAfter = std::chrono::seconds{1};
    /** Whether the caller states that it has sent a request with this key before. */
    bool isRepeat = false;
};

/**
 * Ensures that an operation runs at most once for its idempotency key, over all entry hosts: the
 * row of the key is claimed by compare-and-set before dispatch. It is never taken from its holder,
 * not even when the holder has crashed, since the holder may have dispatched the request.
 *
 * If the answer to the claim's write is lost, the row is read; if that does not show the result,
 * the row is written again with the same expected version, so that at most one of the two writes
 * takes effect. This continues after the caller was answered, until the row shows the result.
 *
 * One object for each request; the first actions are returned by start(). Not thread safe.
 */
class Claim
{
public:
    static constexpr Duration initialSettleDelay = std::chrono::milliseconds{500};
    static constexpr Duration maxSettleDelay = std::chrono::seconds{30};

    explicit Claim(ClaimRequest request);

    /** Starts the claim. \pre Called once, before any event. */
    ClaimActions start();

    /**
     * \returns the actions to take upon \a event. Events that do not apply to the current state are
     * ignored.
     */
    ClaimActions handle(const ClaimEvent &event, Instant now);

    /** \returns whether the claim is finished, so that no further actions follow. */
    bool isOver() const;

private:
    enum class Phase {
        Idle,
        Claiming,   ///< the caller waits for the row
        Abandoned,  ///< the caller is answered, an answer of the platform is still pending
        Dispatched, ///< this request holds the claim and has been sent
        Recording,  ///< the caller is answered, the result is not yet confirmed in the row
        Over,
    };

    class EventHandler;

    ClaimActions claimAtVersion(std::uint64_t version);
    ClaimActions onCommitted(std::uint64_t version, Instant now);
    ClaimActions onRow(const VersionedClaim &current, Instant now);
    ClaimActions onRowWhileClaiming(const VersionedClaim &current, Instant now);
    ClaimActions onRowWhileRecording(const VersionedClaim &current);
    ClaimActions onNotSent();
    ClaimActions onLost();
    ClaimActions onReadFailed();
    ClaimActions onAbandoned(FailurePoint reason);
    ClaimActions onRecheckDue();
    ClaimActions onRequestFinished(const ClaimedRequestFinished &ended);
    ClaimActions dispatchIfInTime(std::uint64_t version, Instant now);
    ClaimActions answerFromOtherClaim(const ClaimRow &row);
    ClaimActions refuse(FailurePoint point);
    void startRecording(ClaimState state, std::string storedAnswer);
    ClaimActions record(ClaimState state, std::string storedAnswer);
    ClaimActions finish(ClaimActions actions = {});
    Outcome outcomeOfRefusal(FailurePoint point) const;
    bool isOwnClaim(const ClaimRow &row) const;
    ClaimRow rowInState(ClaimState state) const;

    ClaimRequest m_request;
    Phase m_phase = Phase::Idle;
    /** Version that the last write expects. */
    std::uint64_t m_expectedVersion = 0;
    /** Whether a write of this claim may still take effect. */
    bool m_isWritePending = false;
    ClaimRow m_finalRow;
    Duration m_settleDelay = initialSettleDelay;
};

inline bool Claim::isOver() const
{
    return m_phase == Phase::Over;
}

} // namespace bulrush

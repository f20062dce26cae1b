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

/** One handling of a request by one daemon: never used again, by no daemon. */
using AttemptId = Identifier<struct AttemptIdTag>;

/** State of a claim's row. */
enum class ClaimState {
    Claimed, ///< the holder may dispatch, or has
    Done,    ///< ran; the outcome is stored
    NotRun,  ///< certainly did not run; may be claimed again
    Unknown, ///< may have run; never claimed again
};

/**
 * Value of a claim's row: who may run the operation of an idempotency key, or what became of it.
 */
struct ClaimRow
{
    ClaimState state = ClaimState::Claimed;
    Incarnation holder;
    AttemptId attempt;
    /** The answer to give again; only when Done. */
    std::string storedAnswer;

    bool operator==(const ClaimRow &) const = default;
};

/** A row as it was read: without a value where it does not exist. */
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

/** The last write had no effect, because the row was another than expected. */
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

/** The read asked for has its answer. */
struct ClaimRowRead
{
    VersionedClaim current;
};

/** The read asked for has failed. */
struct ClaimReadFailed
{ };

/** The caller has gone, or waits no longer: it is answered, whatever is under way. */
struct ClaimAbandoned
{
    FailurePoint reason = FailurePoint::DeadlineBeforeDispatch;
};

/** The time asked for with ScheduleClaimRecheck has come. */
struct ClaimRecheckDue
{ };

/** The dispatched request has its end. */
struct ClaimedRequestFinished
{
    Outcome outcome;
    /** What to answer a caller that asks again; for a whole answer. */
    std::string storedAnswer;
};

using ClaimEvent = std::variant<ClaimWriteCommitted, ClaimWriteConflicted, ClaimWriteNotSent,
                                ClaimWriteLost, ClaimRowRead, ClaimReadFailed, ClaimAbandoned,
                                ClaimRecheckDue, ClaimedRequestFinished>;

// Actions of a claim.

/** Write the row if it is still at this version. */
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

/** Send the request to a backend server: said once at most. */
struct DispatchClaimedRequest
{
    bool operator==(const DispatchClaimedRequest &) const = default;
};

/** Give the caller its end, now. */
struct AnswerCaller
{
    Outcome outcome;

    bool operator==(const AnswerCaller &) const = default;
};

/** Give the caller the answer that an earlier request with its key had. */
struct AnswerStored
{
    std::string storedAnswer;

    bool operator==(const AnswerStored &) const = default;
};

/** Give the caller outcomeOfHeldClaim(): another request with its key holds the claim. */
struct AnswerForHeldClaim
{
    Incarnation holder;

    bool operator==(const AnswerForHeldClaim &) const = default;
};

/** Send ClaimRecheckDue after a while; the caller has its answer already. */
struct ScheduleClaimRecheck
{
    Duration delay;

    bool operator==(const ScheduleClaimRecheck &) const = default;
};

/** The claim needs nothing more. */
struct DiscardClaim
{
    bool operator==(const DiscardClaim &) const = default;
};

using ClaimAction =
    std::variant<WriteClaim, ReadClaim, DispatchClaimedRequest, AnswerCaller, AnswerStored,
                 AnswerForHeldClaim, ScheduleClaimRecheck, DiscardClaim>;
using ClaimActions = std::vector<ClaimAction>;

/** What is known of the daemon that holds a claim. */
enum class HolderState {
    Alive,
    Gone, ///< ended, or not heard of: what it dispatched may have run
};

/**
 * \returns the end of a request whose key is held by another: in progress while its holder is
 * alive, and unknown for good when the holder has gone, since nobody else knows. Thread safe.
 */
Outcome outcomeOfHeldClaim(HolderState holder, Duration retryAfter);

/** What a claim starts from. */
struct ClaimRequest
{
    Incarnation self;
    AttemptId attempt;
    /** Later than this the request is not dispatched. */
    Instant lastDispatch;
    /** When a refused caller may come back. */
    Duration retryAfter = std::chrono::seconds{1};
    /** Whether the caller says that it has asked with this key before. */
    bool isRepeat = false;
};

/**
 * Lets an operation run at most once for its idempotency key, over all entry hosts: the row of the
 * key is claimed by compare-and-set before dispatch, and is never taken from its holder, not even
 * when that has died, since it may have dispatched.
 *
 * A lost answer to the claim's write is settled by reading the row, and where that shows nothing,
 * by writing again upon the same version, so that of the two writes one at most takes effect. The
 * same settling goes on after the caller was answered, until the row says what happened.
 *
 * One object for each request; the first actions come from start(). Not thread safe.
 */
class Claim
{
public:
    static constexpr Duration firstSettleDelay = std::chrono::milliseconds{500};
    static constexpr Duration longestSettleDelay = std::chrono::seconds{30};

    explicit Claim(ClaimRequest request);

    /** Starts the claim. \pre called once, before any event. */
    ClaimActions start();

    /**
     * \returns what to do upon \a event. Events that don't fit the state are ignored.
     */
    ClaimActions handle(const ClaimEvent &event, Instant now);

    /** \returns whether nothing more is to come. */
    bool isOver() const;

private:
    enum class Phase {
        Idle,
        Claiming,   ///< the caller waits for the row
        Abandoned,  ///< the caller is answered, an answer of the platform is still to come
        Dispatched, ///< the row is ours and the request is out
        Recording,  ///< the caller is answered, the row has yet to say what happened
        Over,
    };

    class EventHandler;

    ClaimActions claimUpon(std::uint64_t version);
    ClaimActions onCommitted(std::uint64_t version, Instant now);
    ClaimActions onRowSeen(const VersionedClaim &current, Instant now);
    ClaimActions onRowSeenWhileClaiming(const VersionedClaim &current, Instant now);
    ClaimActions onRowSeenWhileRecording(const VersionedClaim &current);
    ClaimActions onNotSent();
    ClaimActions onLost();
    ClaimActions onReadFailed();
    ClaimActions onGivenUp(FailurePoint reason);
    ClaimActions onSettleDue();
    ClaimActions onWorkEnded(const ClaimedRequestFinished &ended);
    ClaimActions dispatchIfInTime(std::uint64_t version, Instant now);
    ClaimActions answerByOther(const ClaimRow &row);
    ClaimActions refuse(FailurePoint point);
    void startRecording(ClaimState state, std::string storedAnswer);
    ClaimActions record(ClaimState state, std::string storedAnswer);
    ClaimActions finish(ClaimActions actions = {});
    Outcome outcomeOfRefusal(FailurePoint point) const;
    bool isMine(const ClaimRow &row) const;
    ClaimRow rowInState(ClaimState state) const;

    ClaimRequest m_request;
    Phase m_phase = Phase::Idle;
    /** Version that the last write expects. */
    std::uint64_t m_expectedVersion = 0;
    /** Whether a write of ours may yet take effect. */
    bool m_isWriteOpen = false;
    ClaimRow m_finalRow;
    Duration m_settleDelay = firstSettleDelay;
};

inline bool Claim::isOver() const
{
    return m_phase == Phase::Over;
}

} // namespace bulrush

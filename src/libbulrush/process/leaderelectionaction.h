#pragma once

#include "process/leaderelectionevent.h"

#include <cstdint>
#include <variant>

namespace bulrush {

/** Read the leader row and report the result. At most one read is outstanding at a time. */
struct ReadLeaderRow
{ };

/**
 * Send \a row as a compare-and-set on \a expectedVersion immediately: the lease counts from the
 * instant of this action. Each retry of a write has its own \a attempt number.
 */
struct WriteLeaderRow
{
    WriteAttemptId attempt = 0;
    RowVersion expectedVersion = 0;
    LeaderRow row;
};

/** Request a promise from \a to, directly. A lost request is not sent again. */
struct RequestPromise
{
    LeaderCandidate to;
    std::uint64_t epoch = 0;
    Duration length{};
    PromiseRoundId askId = 0;
};

/**
 * Answer a promise request. A promise binds this process from the instant of this action, even if
 * the answer is never sent.
 */
struct AnswerPromiseRequest
{
    Incarnation to;
    std::uint64_t epoch = 0;
    PromiseRoundId askId = 0;
    PromiseVerdict verdict = PromiseVerdict::Refused;
    /** Whether the platform answered the latest read of this process. */
    bool isPlatformReachable = false;
};

/** Send \a to a PromiseReleased event. If it is lost, a takeover waits longer but stays safe. */
struct ReleasePromise
{
    LeaderCandidate to;
    std::uint64_t epoch = 0;
    PromiseRoundId askId = 0;
    Duration length{};
};

/** Announce the leader to the daemons of the domain and to the candidates in the row. */
struct AnnounceLeader
{
    Incarnation holder;
    std::string address;
    std::uint64_t epoch = 0;
};

/**
 * This process is the leader from now on. It may plan and grant only from \a mayGrantFrom on, since
 * work of the previous leader may still be running until then.
 */
struct LeadershipStarted
{
    std::uint64_t epoch = 0;
    Instant mayGrantFrom{};
};

enum class LeadershipEndReason {
    /** The leadership term expired without being extended. */
    Lapsed,
    /** The row names another holder. */
    Replaced,
    HandedOver,
};

/** This process is no longer the leader. */
struct LeadershipEnded
{
    std::uint64_t epoch = 0;
    LeadershipEndReason reason = LeadershipEndReason::Lapsed;
};

/** An action that the leader election requests from its caller. */
using LeaderElectionAction =
    std::variant<ReadLeaderRow, WriteLeaderRow, RequestPromise, AnswerPromiseRequest,
                 ReleasePromise, AnnounceLeader, LeadershipStarted, LeadershipEnded>;

} // namespace bulrush

#pragma once

#include "process/leaderrow.h"
#include "process/pendingrowwrite.h"
#include "process/promisesreceived.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace bulrush {

/** Periodic timer event. Must be delivered at least every tenth of the renewal interval. */
struct LeaderElectionTick
{ };

/** A read of the row has returned, at the instant of this event. */
struct LeaderRowRead
{
    VersionedLeaderRow row;
};

/** A read of the row has failed or timed out. */
struct LeaderRowReadFailed
{ };

/** The write took effect and created \a version. */
struct WriteCommitted
{
    RowVersion version = 0;
};

/** The write had no effect, because the row was at another version. */
struct WriteConflicted
{
    VersionedLeaderRow row;
};

/** The write had no effect and will have none. */
struct WriteRefused
{ };

/**
 * The write may have taken effect or may still take effect. No further result of this attempt is
 * reported.
 */
struct WriteUnknown
{ };

using WriteOutcome = std::variant<WriteCommitted, WriteConflicted, WriteRefused, WriteUnknown>;

/** Result of one write attempt. Each attempt eventually gets exactly one result. */
struct LeaderRowWriteResult
{
    WriteAttemptId attempt = 0;
    WriteOutcome outcome;
};

/** A leader requests that this process does not campaign against its epoch for \a length. */
struct PromiseRequested
{
    Incarnation from;
    std::uint64_t epoch = 0;
    Duration length{};
    PromiseRoundId askId = 0;
};

enum class PromiseVerdict {
    Promised,
    /** No promise now; a later request may succeed. */
    Refused,
    /** The candidate has resigned: it never campaigns in this epoch. */
    Resigned,
};

/** A candidate's answer to a promise request of this process. */
struct PromiseRequestAnswered
{
    Incarnation from;
    std::uint64_t epoch = 0;
    PromiseRoundId askId = 0;
    PromiseVerdict verdict = PromiseVerdict::Refused;
    /** Whether the platform answered the candidate's latest read. */
    bool isPlatformReachable = false;
};

/**
 * A leader no longer relies on the promises that this process gave for round \a askId and earlier
 * rounds. This process may campaign again \a length after this event.
 */
struct PromiseReleased
{
    std::uint64_t epoch = 0;
    PromiseRoundId askId = 0;
    Duration length{};
};

/** A leader has announced itself or a changed candidate list, so the row has to be read. */
struct LeaderAnnounced
{
    std::uint64_t epoch = 0;
};

/** The live daemons in order of preference; the list may or may not include this daemon. */
struct LivePeersChanged
{
    std::vector<LeaderCandidate> peers;
};

/** This process is shutting down: it gives up its leadership and its candidacy. */
struct DepartureRequested
{ };

/** An input of the leader election. */
using LeaderElectionEvent =
    std::variant<LeaderElectionTick, LeaderRowRead, LeaderRowReadFailed, LeaderRowWriteResult,
                 PromiseRequested, PromiseRequestAnswered, PromiseReleased, LeaderAnnounced,
                 LivePeersChanged, DepartureRequested>;

} // namespace bulrush

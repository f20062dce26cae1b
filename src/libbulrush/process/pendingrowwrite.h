#pragma once

#include "process/leaderrow.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/** Identifies one write attempt; unique within a process. */
using WriteAttemptId = std::uint64_t;

/**
 * A write of the leader row whose result is not yet known, with its attempts and their send times.
 *
 * It is settled when an attempt was committed, when all attempts were refused, or when the row has
 * moved past the expected version. Until then it may still take effect. Not thread safe.
 */
class PendingRowWrite
{
public:
    enum class Purpose {
        Create,
        Renew,
        TakeOver,
        HandOver,
    };

    PendingRowWrite(Purpose purpose, RowVersion expectedVersion, LeaderRow row);

    Purpose purpose() const;
    RowVersion expectedVersion() const;
    const LeaderRow &row() const;

    /** Records a first attempt or a retry, sent at \a now. */
    void addAttempt(WriteAttemptId attempt, Instant now);

    /** Records that the result of \a attempt will remain unknown. */
    void loseAttempt(WriteAttemptId attempt);

    /** Records that \a attempt had no effect and will have none. */
    void refuseAttempt(WriteAttemptId attempt);

    /** \returns whether the result of \a attempt is still outstanding. */
    bool isAwaiting(WriteAttemptId attempt) const;

    /** \returns when the first attempt was sent. \pre an attempt was added */
    Instant firstSentAt() const;

    /** \returns when the last attempt was sent. \pre an attempt was added */
    Instant lastSentAt() const;

    /** \returns whether the result of any attempt is still outstanding. */
    bool isAwaitingAnswer() const;

    /** \returns whether all attempts are known to have had no effect. */
    bool isRefused() const;

    /** \returns whether \a row shows that this write took effect or no longer can. */
    bool isSettledBy(const VersionedLeaderRow &row) const;

    /** \returns whether \a row was created by this write. */
    bool isCreatorOf(const VersionedLeaderRow &row) const;

private:
    void removeAttempt(WriteAttemptId attempt);

    Purpose m_purpose;
    RowVersion m_expectedVersion;
    LeaderRow m_row;
    Instant m_firstSentAt{};
    Instant m_lastSentAt{};
    /** Attempts whose result is outstanding. */
    std::vector<WriteAttemptId> m_pendingAttempts;
    bool m_hasLostAttempt = false;
    bool m_isSent = false;
};

inline PendingRowWrite::Purpose PendingRowWrite::purpose() const
{
    return m_purpose;
}

inline RowVersion PendingRowWrite::expectedVersion() const
{
    return m_expectedVersion;
}

inline const LeaderRow &PendingRowWrite::row() const
{
    return m_row;
}

inline Instant PendingRowWrite::firstSentAt() const
{
    return m_firstSentAt;
}

inline Instant PendingRowWrite::lastSentAt() const
{
    return m_lastSentAt;
}

} // namespace bulrush

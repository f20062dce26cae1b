#include "process/pendingrowwrite.h"

#include <algorithm>
#include <utility>

namespace bulrush {

PendingRowWrite::PendingRowWrite(Purpose purpose, RowVersion expectedVersion, LeaderRow row)
    : m_purpose(purpose)
    , m_expectedVersion(expectedVersion)
    , m_row(std::move(row))
{ }

void PendingRowWrite::addAttempt(WriteAttemptId attempt, Instant now)
{
    if (!m_isSent)
        m_firstSentAt = now;
    m_isSent = true;
    m_lastSentAt = now;
    m_pendingAttempts.push_back(attempt);
}

void PendingRowWrite::loseAttempt(WriteAttemptId attempt)
{
    if (!isAwaiting(attempt))
        return;
    m_hasLostAttempt = true;
    removeAttempt(attempt);
}

void PendingRowWrite::refuseAttempt(WriteAttemptId attempt)
{
    removeAttempt(attempt);
}

bool PendingRowWrite::isAwaiting(WriteAttemptId attempt) const
{
    return std::ranges::find(m_pendingAttempts, attempt) != m_pendingAttempts.end();
}

bool PendingRowWrite::isAwaitingAnswer() const
{
    return !m_pendingAttempts.empty();
}

bool PendingRowWrite::isRefused() const
{
    return m_pendingAttempts.empty() && !m_hasLostAttempt;
}

bool PendingRowWrite::isSettledBy(const VersionedLeaderRow &row) const
{
    return row.version > m_expectedVersion;
}

bool PendingRowWrite::isCreatorOf(const VersionedLeaderRow &row) const
{
    return row.version > m_expectedVersion && row.row.writeId == m_row.writeId
        && row.row.writer == m_row.writer;
}

void PendingRowWrite::removeAttempt(WriteAttemptId attempt)
{
    std::erase(m_pendingAttempts, attempt);
}

} // namespace bulrush

#include "process/leaderrowobserver.h"

#include <algorithm>

namespace bulrush {

LeaderRowObserver::LeaderRowObserver(std::int64_t driftPpm)
    : m_driftPpm(driftPpm)
{ }

bool LeaderRowObserver::observe(const VersionedLeaderRow &row, Instant now)
{
    if (m_row && row.version <= m_row->version)
        return false;
    m_row = row;
    m_seenAt = now;
    return true;
}

bool LeaderRowObserver::hasRow() const
{
    return m_row && m_row->version > 0;
}

Instant LeaderRowObserver::leaseEndedFrom() const
{
    return m_seenAt + stretched(m_row->row.leaseLength, m_driftPpm);
}

Instant LeaderRowObserver::termEndedFrom() const
{
    const LeaderRow &row = m_row->row;
    if (row.isReleased)
        return leaseEndedFrom();
    return m_seenAt + stretched(std::max(row.leaseLength, row.outageAllowance), m_driftPpm);
}

} // namespace bulrush

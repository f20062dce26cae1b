#include "process/plannerlease.h"

#include <utility>

namespace bulrush {

namespace {

/** The takeover delays of daemons are spread over this many milliseconds. */
constexpr std::uint64_t takeoverDelaySpreadMs = 400;
/**
 * Hosts with fewer cores are weak. With planning for 157 servers and the loads of 64 daemons, a
 * host with a tenth of a core received the records of leaving servers 2.5 s after the first daemon
 * did.
 */
constexpr double minProcessors = 0.15;
/** Additional takeover delay of weak hosts. */
constexpr Duration weakHostDelay = std::chrono::milliseconds{800};

} // namespace

Duration plannerTakeoverDelay(std::uint64_t hash, double processors)
{
    const Duration delay = std::chrono::milliseconds{hash % takeoverDelaySpreadMs};
    return processors < minProcessors ? delay + weakHostDelay : delay;
}

PlannerLease::PlannerLease(Incarnation self, Endpoint address, Duration takeoverDelay)
    : m_self(std::move(self))
    , m_address(std::move(address))
    , m_takeoverDelay(takeoverDelay)
{ }

void PlannerLease::applyRow(const StoreVersion &version, const PlannerRow &row, Instant now)
{
    if (m_isRowKnown && version <= m_version)
        return;
    const bool isRestored = m_isRowKnown && version.era > m_version.era;
    m_isReclaiming = m_row.holder == m_self && isOutdatedCopy(version, row);
    m_isRowKnown = true;
    m_version = version;
    m_row = row;
    m_changedAt = now;
    if (row.holder != m_self || isRestored)
        m_renewedAt.reset();
    // The row shows that a write whose answer was lost was done. It was sent at m_sentAt or later.
    else if (m_pending && m_pending->row == row)
        m_renewedAt = m_sentAt;
}

void PlannerLease::handleWriteResult(RowWriteResult result, const StoreVersion &version,
                                     Instant now)
{
    const std::optional<PlannerRowWrite> write = std::exchange(m_pending, std::nullopt);
    if (result != RowWriteResult::Done)
        m_retryAt = now + retryInterval;
    if (!write || result != RowWriteResult::Done)
        return;
    if (version > m_version) {
        m_isReclaiming = false;
        m_version = version;
        m_row = write->row;
        m_changedAt = now;
    }
    if (m_row == write->row && m_row.holder == m_self)
        m_renewedAt = m_sentAt;
}

std::optional<PlannerRowWrite> PlannerLease::advance(Instant now)
{
    if (!m_isRowKnown || m_pending || now < m_retryAt || !isDue(now))
        return std::nullopt;
    PlannerRow next{m_self, m_address, m_row.renewals + 1, m_version.era, mayResume()};
    if (isGivingUp())
        next.holder = {};
    m_pending = PlannerRowWrite{m_version.number, next};
    m_sentAt = now;
    return m_pending;
}

/**
 * \returns whether \a row, as of \a version, was restored from a copy that is not later than the
 * known row. Otherwise another daemon has taken the lease since the restore.
 */
bool PlannerLease::isOutdatedCopy(const StoreVersion &version, const PlannerRow &row) const
{
    const bool isRestored = m_isRowKnown && version.era > m_version.era;
    return isRestored && row.era < version.era && row.renewals <= m_row.renewals;
}

bool PlannerLease::isHeld(Instant now) const
{
    return !isGivingUp() && m_row.holder == m_self && m_renewedAt
        && now - *m_renewedAt < leaseDuration;
}

/** \returns whether the row names an earlier run of this host, whose lease may be resumed. */
bool PlannerLease::mayResume() const
{
    return !m_row.holder.isEmpty() && m_row.holder == m_earlierRun && !m_row.isResumed;
}

bool PlannerLease::isDue(Instant now) const
{
    if (isGivingUp())
        return m_row.holder == m_self;
    if (m_isReclaiming || mayResume())
        return true;
    if (m_row.holder == m_self)
        return now - m_changedAt >= renewalInterval;
    if (m_row.holder.isEmpty())
        return now - m_changedAt >= m_takeoverDelay;
    return now - m_changedAt >= takeoverTimeout + m_takeoverDelay;
}

} // namespace bulrush

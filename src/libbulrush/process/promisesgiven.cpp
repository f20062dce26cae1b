#include "process/promisesgiven.h"

#include <algorithm>

namespace bulrush {

PromisesGiven::PromisesGiven(std::int64_t driftPpm)
    : m_driftPpm(driftPpm)
{ }

void PromisesGiven::promise(std::uint64_t epoch, PromiseRoundId id, Duration length, Instant now)
{
    if (epoch < m_epoch)
        return;
    if (epoch > m_epoch) {
        m_until = Instant::min();
        m_latestRound = 0;
    }
    m_epoch = epoch;
    m_latestRound = std::max(m_latestRound, id);
    m_until = std::max(m_until, now + stretched(length, m_driftPpm));
}

void PromisesGiven::release(std::uint64_t epoch, PromiseRoundId id, Duration length, Instant now)
{
    if (epoch != m_epoch || id < m_latestRound)
        return;
    m_until = std::min(m_until, now + stretched(length, m_driftPpm));
}

void PromisesGiven::resign(std::uint64_t epoch)
{
    m_resignedEpoch = std::max(m_resignedEpoch, epoch);
}

bool PromisesGiven::hasResigned(std::uint64_t epoch) const
{
    return epoch != 0 && epoch <= m_resignedEpoch;
}

Instant PromisesGiven::campaignAllowedFrom(std::uint64_t epoch) const
{
    // A promise for a later epoch shows that the observed row is outdated. A takeover based on it
    // fails, so m_until may be returned for it, too.
    return epoch > m_epoch ? Instant::min() : m_until;
}

} // namespace bulrush

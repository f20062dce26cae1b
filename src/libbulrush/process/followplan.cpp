#include "process/followplan.h"

#include <utility>

namespace bulrush {

FollowPlan::FollowPlan(const HostName &self, DomainName domain, Instant start)
    : m_readers(self, std::move(domain))
    , m_start(start)
    , m_backoff(initialBackoff, maxBackoff, self.value())
    , m_backoffOfOthers(initialBackoffOfOthers, maxBackoffOfOthers, self.value())
{ }

void FollowPlan::setDaemons(std::span<const Renewer> daemons)
{
    m_readers.setDaemons(daemons);
    if (!m_hadRow)
        m_hadRow = m_readers.isListed();
}

FollowStep FollowPlan::next(const FollowedTable &table, Instant now)
{
    if (isWaitingForOthers(table, now))
        return RetryLater{waitInterval};
    std::optional<RowsReader> reader;
    const bool isStandalone = now < m_standaloneUntil || (!table.hasRows && isRestarting(now));
    if (!isStandalone || m_isStoreFailing)
        reader = m_readers.reader(place(), now);
    if (!m_isStoreFailing) {
        const bool haveFirstRefused = !isStoreRetrying() && m_readers.haveRetryingRefused(now);
        // The store may be unreachable only for the first daemons in the order. The next ones query
        // it all at once, so that one of them gets rows to relay. One after the other, each would
        // wait for a timeout of its own, and a configuration would reach the complete failure
        // domain too late.
        if (haveFirstRefused && mayBeFollowed())
            return QueryStore{};
        if (reader)
            return QueryReader{std::move(*reader)};
        if (!haveFirstRefused)
            return QueryStore{};
        // No daemon that may be followed reaches the store: further attempts are useless.
        m_isStoreFailing = true;
        delayStoreProbe(now);
        return RetryLater{waitInterval};
    }
    const bool isProbeDue = !m_isProbing && now >= m_probeStoreAt;
    if (isProbeDue && (!reader || !table.isUrgent)) {
        m_isProbing = true;
        return QueryStore{};
    }
    if (reader)
        return QueryReader{std::move(*reader)};
    return RetryLater{waitInterval};
}

std::vector<RowsReader> FollowPlan::alternateReaders(const HostName &source, Instant now) const
{
    if (isStoreRetrying())
        return {};
    return m_readers.alternateReaders(source, now);
}

void FollowPlan::recordReaderSuccess(const HostName &host)
{
    m_readers.recordSuccess(host);
    m_searchingSince.reset();
    m_standaloneUntil = {};
}

void FollowPlan::recordReaderFailure(const HostName &host, ReaderFailure failure, Instant now)
{
    m_readers.recordFailure(host, failure, now);
    if (failure != ReaderFailure::Silent)
        return;
    if (!m_searchingSince)
        m_searchingSince = now;
    if (now - *m_searchingSince < maxSearchDuration)
        return;
    m_searchingSince.reset();
    m_standaloneUntil = now + standaloneDuration;
}

void FollowPlan::recordStoreAnswer()
{
    m_isStoreFailing = false;
    m_isProbing = false;
    m_backoff.succeeded();
    m_backoffOfOthers.succeeded();
    m_probeStoreAt = {};
}

void FollowPlan::recordStoreFailure(Instant now)
{
    // Calls for several tables that fail together count as one failure.
    const bool isNewFailure = !m_isStoreFailing || m_isProbing;
    m_isStoreFailing = true;
    m_isProbing = false;
    if (isNewFailure)
        delayStoreProbe(now);
}

void FollowPlan::delayStoreProbe(Instant now)
{
    const Instant retrying = m_backoff.failed(now);
    const Instant others = m_backoffOfOthers.failed(now);
    m_probeStoreAt = isStoreRetrying() ? retrying : others;
}

bool FollowPlan::isRestarting(Instant now) const
{
    return m_hadRow.value_or(false) && now - m_start < restartPeriod;
}

bool FollowPlan::isStoreRetrying() const
{
    return m_readers.rank() < ReaderChoice::storeRetryRanks;
}

/** \returns whether others may follow this daemon. */
bool FollowPlan::mayBeFollowed() const
{
    return m_readers.rank() < ReaderChoice::maxReaders;
}

bool FollowPlan::mayCallStore(Instant now) const
{
    return !m_isStoreFailing || now >= m_probeStoreAt;
}

ReaderPlace FollowPlan::place() const
{
    return m_isStoreFailing ? ReaderPlace::Last : ReaderPlace::InOrder;
}

/** \returns whether \a table waits until the other daemons are known. */
bool FollowPlan::isWaitingForOthers(const FollowedTable &table, Instant now) const
{
    const bool hasDaemons = m_readers.hasOthers() || m_readers.isListed();
    return !table.hasRows && !hasDaemons && now - m_start < startTimeout;
}

} // namespace bulrush

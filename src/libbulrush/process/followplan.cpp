#include "process/followplan.h"

#include <utility>

namespace bulrush {

FollowPlan::FollowPlan(const HostName &self, DomainName domain, Instant start)
    : m_readers(self, std::move(domain))
    , m_start(start)
    , m_pause(firstPause, longestPause, self.value())
    , m_pauseOfOthers(firstPauseOfOthers, longestPauseOfOthers, self.value())
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
        return AskLater{lookAgain};
    std::optional<RowsReader> reader;
    const bool isAlone = now < m_aloneUntil || (!table.hasRows && isRestarting(now));
    if (!isAlone || m_isStoreFailing)
        reader = m_readers.reader(place(), now);
    if (!m_isStoreFailing) {
        const bool isFirstRefused = !isEager() && m_readers.haveEagerRefused(now);
        // The store may be silent to the first of the order alone: those that come next ask it all
        // at once, so that one of them has rows to tell. One after the other, each would find out
        // by a timeout of its own, and a configuration would come too late to a whole failure
        // domain.
        if (isFirstRefused && isFollowed())
            return AskStore{};
        if (reader)
            return AskReader{std::move(*reader)};
        if (!isFirstRefused)
            return AskStore{};
        // Nobody who is followed has the store: more tries tell no more.
        m_isStoreFailing = true;
        pauseStore(now);
        return AskLater{lookAgain};
    }
    const bool isTryDue = !m_isTrying && now >= m_tryStoreAt;
    if (isTryDue && (!reader || !table.isUrgent)) {
        m_isTrying = true;
        return AskStore{};
    }
    if (reader)
        return AskReader{std::move(*reader)};
    return AskLater{lookAgain};
}

std::vector<RowsReader> FollowPlan::readersBeside(const HostName &source, Instant now) const
{
    if (isEager())
        return {};
    return m_readers.readersBeside(source, now);
}

void FollowPlan::readerServed(const HostName &host)
{
    m_readers.served(host);
    m_searchingSince.reset();
    m_aloneUntil = {};
}

void FollowPlan::readerFailed(const HostName &host, ReaderFailure failure, Instant now)
{
    m_readers.failed(host, failure, now);
    if (failure != ReaderFailure::Silent)
        return;
    if (!m_searchingSince)
        m_searchingSince = now;
    if (now - *m_searchingSince < longestSearch)
        return;
    m_searchingSince.reset();
    m_aloneUntil = now + aloneFor;
}

void FollowPlan::storeAnswered()
{
    m_isStoreFailing = false;
    m_isTrying = false;
    m_pause.succeeded();
    m_pauseOfOthers.succeeded();
    m_tryStoreAt = {};
}

void FollowPlan::storeFailed(Instant now)
{
    // Calls of several tables fail at once, which is one failure.
    const bool isNews = !m_isStoreFailing || m_isTrying;
    m_isStoreFailing = true;
    m_isTrying = false;
    if (isNews)
        pauseStore(now);
}

void FollowPlan::pauseStore(Instant now)
{
    const Instant eager = m_pause.failed(now);
    const Instant others = m_pauseOfOthers.failed(now);
    m_tryStoreAt = isEager() ? eager : others;
}

bool FollowPlan::isRestarting(Instant now) const
{
    return m_hadRow.value_or(false) && now - m_start < restartSpan;
}

bool FollowPlan::isEager() const
{
    return m_readers.rank() < ReaderChoice::eagerRanks;
}

/** \returns whether others may follow this daemon. */
bool FollowPlan::isFollowed() const
{
    return m_readers.rank() < ReaderChoice::mostReaders;
}

bool FollowPlan::mayAskStore(Instant now) const
{
    return !m_isStoreFailing || now >= m_tryStoreAt;
}

ReaderPlace FollowPlan::place() const
{
    return m_isStoreFailing ? ReaderPlace::Last : ReaderPlace::InOrder;
}

/** \returns whether \a table is to be left to a daemon that is not known yet. */
bool FollowPlan::isWaitingForOthers(const FollowedTable &table, Instant now) const
{
    const bool knowsWhom = m_readers.hasOthers() || m_readers.isListed();
    return !table.hasRows && !knowsWhom && now - m_start < startPatience;
}

} // namespace bulrush

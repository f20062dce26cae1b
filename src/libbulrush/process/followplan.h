#pragma once

#include "process/readerchoice.h"
#include "process/retrybackoff.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace bulrush {

/** Request rows from the store. */
struct QueryStore
{ };

/** Request changes of rows from another daemon. */
struct QueryReader
{
    RowsReader reader;
};

/** Send no request for a while. */
struct RetryLater
{
    Duration after;
};

/** The next step of a daemon to get changes of rows. */
using FollowStep = std::variant<QueryStore, QueryReader, RetryLater>;

/** The properties of a followed table that determine where to request its rows. */
struct FollowedTable
{
    bool hasRows = false;
    /**
     * Its rows must not become outdated, so while another daemon serves them its requests do not
     * probe a failing store.
     */
    bool isUrgent = false;
};

/**
 * Decides from where a daemon requests the rows that it follows, so that the number of calls of all
 * daemons to the store is bounded whatever fails. All tables of a daemon share one plan.
 *
 * A daemon follows another one of its failure domain that comes before it in the order of
 * ReaderChoice. If no daemon before it serves, it reads the store itself. While its calls to the
 * store fail, it serves no other daemon, follows any daemon that serves, and probes the store with
 * one call at a time and growing backoff.
 *
 * Not thread safe. Instants never decrease.
 */
class FollowPlan
{
public:
    /**
     * Backoff between probes of a failing store by the first ReaderChoice::storeRetryRanks daemons
     * of a failure domain.
     */
    static constexpr Duration initialBackoff = std::chrono::milliseconds{100};
    static constexpr Duration maxBackoff = std::chrono::milliseconds{800};
    /** The same for all other daemons, which get rows from these once the store answers again. */
    static constexpr Duration initialBackoffOfOthers = std::chrono::milliseconds{800};
    static constexpr Duration maxBackoffOfOthers = std::chrono::seconds{3};
    /**
     * A daemon that has got no rows for this long since the first reader was silent reads the store
     * itself, instead of trying all other daemons in turn. Each silent one costs a second.
     */
    static constexpr Duration maxSearchDuration = std::chrono::milliseconds{1900};
    /** It then reads the store itself for this long. */
    static constexpr Duration standaloneDuration = std::chrono::seconds{5};
    /** Delay until the next step of a table that has to wait. */
    static constexpr Duration waitInterval = std::chrono::milliseconds{50};
    /**
     * A starting daemon first reads only the table that lists the other daemons, and gets the other
     * tables from the daemon that it then follows. If the list does not arrive within this timeout,
     * it reads all tables from the store.
     */
    static constexpr Duration startTimeout = std::chrono::milliseconds{700};
    /**
     * During this period after its start, a daemon whose host has a row from an earlier run reads
     * each table once from the store: if all hosts of a failure domain have lost power together,
     * the daemons that it would follow are down or starting, too.
     */
    static constexpr Duration restartPeriod = std::chrono::milliseconds{1500};

    FollowPlan(const HostName &self, DomainName domain, Instant start);

    /** Sets the daemons that have rows, including this one once it has a row. */
    void setDaemons(std::span<const Renewer> daemons);

    /**
     * \returns the next step for \a table. The result of a QueryStore has to be reported by
     * recordStoreAnswer() or recordStoreFailure().
     */
    FollowStep next(const FollowedTable &table, Instant now);

    /**
     * \returns the daemons to query in addition to \a source, which is silent. Empty if this daemon
     * is one of those that read the store in this case to inform the others.
     */
    std::vector<RowsReader> alternateReaders(const HostName &source, Instant now) const;

    /** Records that \a host served rows. */
    void recordReaderSuccess(const HostName &host);

    /** Records that \a host did not serve rows. */
    void recordReaderFailure(const HostName &host, ReaderFailure failure, Instant now);

    /** Records that the store answered a call. */
    void recordStoreAnswer();

    /** Records that a call to the store failed. */
    void recordStoreFailure(Instant now);

    /** \returns whether the last call to the store failed: this daemon then serves no other. */
    bool isStoreFailing() const;

    /** \returns whether a call to the store other than those of next() may be made. */
    bool mayCallStore(Instant now) const;

private:
    ReaderPlace place() const;
    bool isRestarting(Instant now) const;
    bool isStoreRetrying() const;
    bool mayBeFollowed() const;
    void delayStoreProbe(Instant now);
    bool isWaitingForOthers(const FollowedTable &table, Instant now) const;

    ReaderChoice m_readers;
    Instant m_start;
    RetryBackoff m_backoff;
    RetryBackoff m_backoffOfOthers;
    /** Whether the host had a row when this daemon started; empty until rows were received. */
    std::optional<bool> m_hadRow;
    Instant m_probeStoreAt;
    bool m_isStoreFailing = false;
    /** A probe of the failing store is in flight. */
    bool m_isProbing = false;
    /** First silence of a reader since this daemon was last served. */
    std::optional<Instant> m_searchingSince;
    Instant m_standaloneUntil;
};

inline bool FollowPlan::isStoreFailing() const
{
    return m_isStoreFailing;
}

} // namespace bulrush

#pragma once

#include "process/readerchoice.h"
#include "process/retrypause.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace bulrush {

/** Ask the store for rows. */
struct AskStore
{ };

/** Ask another daemon for changes of rows. */
struct AskReader
{
    RowsReader reader;
};

/** Ask nobody for a while. */
struct AskLater
{
    Duration after;
};

/** What a daemon does next to learn of changes. */
using FollowStep = std::variant<AskStore, AskReader, AskLater>;

/** A table that is followed, as far as it matters for whom to ask. */
struct FollowedTable
{
    bool hasRows = false;
    /** Whether its rows must not get old: it is then not spared for a try of a failing store. */
    bool isUrgent = false;
};

/**
 * Whom a daemon asks for the rows that it follows, so that the calls of all daemons to the store
 * are bounded whatever fails. All its tables share one plan.
 *
 * A daemon follows another of its failure domain that comes before it in the order of ReaderChoice.
 * It asks the store itself where nobody does who comes before it. While the store fails it, it
 * serves nobody and follows any daemon that does, and one call at a time tries the store, after
 * pauses that grow.
 *
 * Not thread safe. Instants never go back.
 */
class FollowPlan
{
public:
    /**
     * Pauses between tries of a store that fails, of the first ReaderChoice::eagerRanks of a
     * failure domain.
     */
    static constexpr Duration firstPause = std::chrono::milliseconds{100};
    static constexpr Duration longestPause = std::chrono::milliseconds{800};
    /** The same for all others, which hear from those that the store is back. */
    static constexpr Duration firstPauseOfOthers = std::chrono::milliseconds{800};
    static constexpr Duration longestPauseOfOthers = std::chrono::seconds{3};
    /**
     * A daemon that nobody has served for this time since the first was silent reads the store
     * itself, instead of trying all the others in turn. Each that is silent takes a second.
     */
    static constexpr Duration longestSearch = std::chrono::milliseconds{1900};
    /** It does so for this long. */
    static constexpr Duration aloneFor = std::chrono::seconds{5};
    /** How soon a table that has to wait is looked at again. */
    static constexpr Duration lookAgain = std::chrono::milliseconds{50};
    /**
     * A daemon that starts reads one table, which tells of the others, and leaves the rest to whom
     * it will follow; without that word it reads them itself after this time.
     */
    static constexpr Duration startPatience = std::chrono::milliseconds{700};
    /**
     * A daemon that starts on a host which has a row from before reads all tables once itself,
     * within this time: where all hosts of a domain lose power together, those that it would follow
     * are down or just starting.
     */
    static constexpr Duration restartSpan = std::chrono::milliseconds{1500};

    FollowPlan(const HostName &self, DomainName domain, Instant start);

    /** Takes in the daemons that have rows, this one among them once it has one. */
    void setDaemons(std::span<const Renewer> daemons);

    /**
     * \returns what to do next for \a table; whoever is told to ask the store tells its answer by
     * storeAnswered() or storeFailed().
     */
    FollowStep next(const FollowedTable &table, Instant now);

    /**
     * \returns whom to ask beside \a source, which is silent. Nobody if this daemon is among those
     * that ask the store then, so that the others can be told.
     */
    std::vector<RowsReader> readersBeside(const HostName &source, Instant now) const;

    /** Notes that \a host served rows. */
    void readerServed(const HostName &host);

    /** Notes that \a host did not serve rows. */
    void readerFailed(const HostName &host, ReaderFailure failure, Instant now);

    /** Notes that the store answered a call. */
    void storeAnswered();

    /** Notes that the store failed a call. */
    void storeFailed(Instant now);

    /** \returns whether the last call to the store failed: this daemon then serves nobody. */
    bool isStoreFailing() const;

    /** \returns whether a call to the store may be made beside those of next(). */
    bool mayAskStore(Instant now) const;

private:
    ReaderPlace place() const;
    bool isRestarting(Instant now) const;
    bool isEager() const;
    bool isFollowed() const;
    void pauseStore(Instant now);
    bool isWaitingForOthers(const FollowedTable &table, Instant now) const;

    ReaderChoice m_readers;
    Instant m_start;
    RetryPause m_pause;
    RetryPause m_pauseOfOthers;
    /** Whether the host had a row as this daemon started; nothing until rows were seen. */
    std::optional<bool> m_hadRow;
    Instant m_tryStoreAt;
    bool m_isStoreFailing = false;
    /** A call tries whether the store is back. */
    bool m_isTrying = false;
    /** Since when nobody has served this daemon. */
    std::optional<Instant> m_searchingSince;
    Instant m_aloneUntil;
};

inline bool FollowPlan::isStoreFailing() const
{
    return m_isStoreFailing;
}

} // namespace bulrush

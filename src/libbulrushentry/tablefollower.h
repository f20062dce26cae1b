#pragma once

#include "followergroup.h"
#include "knownrows.h"
#include "platform/storeclient.h"
#include "process/followplan.h"
#include "process/looptimers.h"
#include "process/retrybackoff.h"
#include "process/storeclock.h"
#include "rowsclient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Rows of a table: the complete table, or only the rows that changed. */
struct TableChange
{
    std::vector<platform::StoreRow> rows;
    /** The store version that the table has reached with these rows. */
    StoreVersion version;
    bool isComplete = false;
    /** The store was unreachable before, so that rows may have expired in the meantime. */
    bool isAfterOutage = false;
    /** The last instant at which the store was confirmed to hold the previous rows. */
    Instant unchangedUntil;
    /**
     * The store was restored from an older copy since the previous rows: these may be older, and
     * rows of the previous ones may be missing until they are written again.
     */
    bool isRestored = false;
};

/** When to confirm a table's rows with another source while the current source is silent. */
struct ConfirmationDelays
{
    /** Age of the rows at which other daemons are queried, in parallel with any pending call. */
    Duration askAlternatesAfter;
    /** Age of the rows at which the store is queried. */
    Duration askStoreAfter;
    /** The store counts as unreachable if it does not answer a confirmation within this time. */
    Duration answerTimeout;
};

/** Timing of following a table: trades how soon changes arrive against the cost of calls. */
struct FollowTimings
{
    /** How long the store may hold a call while there are no changes. */
    Duration wait;
    /** Between a change and the next call, so that one call returns several changes. */
    Duration pause;
    /**
     * A daemon that reads from the store retries after this time without an answer, because the
     * pending wait may be lost.
     */
    Duration confirmAfter;
    /** For tables whose age is limited. */
    std::optional<ConfirmationDelays> confirmation = std::nullopt;
};

/** The objects that all followers of a daemon share. */
struct FollowerDependencies
{
    platform::StoreClient &store;
    io::LoopTimers &timers;
    RowsClient &rowsClient;
    StoreClock &clock;
    FollowPlan &plan;
    FollowerGroup &group;
};

/**
 * Follows one table of the store: reads it, waits for changes, and reads it again if changes may
 * have been missed. FollowPlan selects the source: the store, or another daemon of the failure
 * domain. While no daemon of the failure domain can serve rows, the rows of all other daemons are
 * requested in turn.
 *
 * Used on the loop's thread; the handlers run there.
 */
class TableFollower
{
public:
    using ChangeHandler = std::function<void(const TableChange &)>;
    /** Called for each answer of the store, with an instant that is no later than the answer. */
    using AnswerHandler = std::function<void(Instant givenAt)>;

    /** Failures that last longer than this count as an outage, in which rows may expire. */
    static constexpr Duration outageThreshold = std::chrono::seconds{1};
    /** Interval at which the other daemons are queried in turn while the source fails. */
    static constexpr Duration askPeersInterval = std::chrono::milliseconds{450};
    /** If a confirmation takes longer than this, other followers may request one, too. */
    static constexpr Duration confirmTimeout = std::chrono::milliseconds{400};
    /** Interval at which the age of the rows is checked. */
    static constexpr Duration checkInterval = std::chrono::milliseconds{50};
    /**
     * Maximum number of daemons between the store and this one. If two daemons follow each other,
     * which can happen while their rows differ, each reports a chain one longer than the other's;
     * this limit breaks the cycle.
     */
    static constexpr unsigned maxChainLength = 4;

    /**
     * Delay before the next request to a reader whose rows are older than those here. Such a reader
     * answers at once, and with all rows if these are requested: some 140 KB for 480 servers.
     */
    static constexpr Duration outdatedReaderRetryDelay = std::chrono::milliseconds{200};

    /**
     * Backoff between reads of the complete table if the store never has the changes since the
     * previous read.
     */
    static constexpr Duration minRereadBackoff = std::chrono::milliseconds{100};
    static constexpr Duration maxRereadBackoff = std::chrono::seconds{2};

    /** \pre the dependencies outlive this object */
    TableFollower(const FollowerDependencies &deps, std::string table, FollowTimings timings);

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /** Starts to follow the table. Call it or startWithStore() once. */
    void start(ChangeHandler changed, AnswerHandler answered);

    /** As start(), but reads from the store first, regardless of the plan. */
    void startWithStore(ChangeHandler changed, AnswerHandler answered);

    /** Cancels the wait at the store, if any, as it may be lost, and then needs all rows again. */
    void rereadFromStore();

    /** Records that no table has changed after \a version, which the store sent at \a givenAt. */
    void applyStoreVersion(const StoreVersion &version, Instant givenAt);

    /** \returns whether a confirmation by the store is pending and has not timed out. */
    bool isConfirming(Instant now) const;

    /** \returns whether the last call failed and no source has answered since. */
    bool isFailing() const;

    /** \returns whether the store cannot confirm or update the rows at present. */
    bool isStoreUnreachable() const;

    /** \returns when the store last confirmed the rows, directly or through another daemon. */
    Instant confirmedAt() const;

    /** \returns whether the rows are loaded and recent enough to be served to other daemons. */
    bool isFresh(Instant now) const;

    /** \returns the current source of changes: "store", or a host. */
    const std::string &source() const;

    const std::string &table() const;

    /** \returns whether the rows are loaded. */
    bool hasRows() const;

    /** \returns whether this daemon serves rows to others, provided that they are fresh. */
    bool isServing() const;

    /** \returns the store version of the rows. */
    const StoreVersion &version() const;

    /** \returns the changes after \a version, or all rows. \pre hasRows() */
    RelayedRows rowsSince(const StoreVersion &version, Instant requestedAt) const;

private:
    void begin(ChangeHandler changed, AnswerHandler answered);
    void runNextStep();
    void execute(const QueryStore &step);
    void execute(const QueryReader &step);
    void execute(const RetryLater &step);
    void readAllRows();
    void readAgain(std::error_code reason);
    void readToConfirm();
    void followStore();
    void handleReaderAnswer(const RowsReader &reader, FollowAnswer answer);
    void handleReaderFailure(const RowsReader &reader, ReaderFailure failure);
    bool applyRelayedRows(RelayedRows rows, Instant asOf);
    void askPeers();
    void setSource(const std::string &source);
    void logSource();
    void handleRowsResult(platform::RowsOutcome outcome, bool isComplete, Instant sentAt);
    void handleStoreFailure(std::error_code error);
    bool isOutdated(const platform::RowsOutcome &outcome) const;
    bool isRestoredBy(const StoreVersion &version) const;
    void logRestore(const StoreVersion &version, std::size_t rowCount) const;
    bool enterFailing(std::string_view reason);
    void leaveFailing();
    void checkAge(Instant now);
    bool askAlternates(Instant now);
    void requestConfirmation();
    void confirmAtStore(Instant now);
    void handleConfirmation(platform::RowsOutcome outcome, Instant sentAt);
    Instant applyStoreRows(platform::RowsOutcome outcome, bool isComplete, Instant sentAt);
    void updateRows(const platform::RowsOutcome &outcome, bool isComplete, bool isAfterOutage);
    void recordConfirmation(Instant asOf);
    bool isOutage(Instant now) const;

    FollowerDependencies m_deps;
    std::string m_table;
    FollowTimings m_timings;
    ChangeHandler m_changeHandler;
    AnswerHandler m_answerHandler;
    KnownRows m_rows;
    /** The current source of changes: "store", or a host. */
    std::string m_source;
    /** The last source of rows that was logged. */
    std::string m_loggedSource;
    /** Why the previous source is no longer used. */
    std::string_view m_switchReason = "start";
    /** No call has been sent to the store since it became the source. */
    bool m_isFirstStoreCall = false;
    /** Number of daemons between the store and this one. */
    unsigned m_chainLength = 0;
    /** When the store last confirmed the rows, directly or through another daemon. */
    Instant m_confirmedAt;
    /** Changes may have been missed, so that the complete table has to be read next. */
    bool m_needsAllRows = false;
    /** The last call for changes failed as the store did not have them. */
    bool m_wasHistoryMissing = false;
    RetryBackoff m_rereadBackoff;
    /** The pending wait for changes at the store, if any. */
    std::optional<platform::StoreClient::CallId> m_waitCall;
    Instant m_failingSince;
    bool m_isFailing = false;
    /** When the age of the rows was last checked. */
    Instant m_checkedAt;
    bool m_isCheckSkipped = false;
    /** Number of pending requests to daemons other than the current source. */
    std::size_t m_pendingAlternates = 0;
    /** When the pending confirmation was requested, if any. */
    std::optional<Instant> m_confirmingSince;
    /** The wait that was pending when the confirmation was requested. */
    std::optional<platform::StoreClient::CallId> m_suspectWait;
    /** A confirmation failed or timed out, and nothing has confirmed the rows since. */
    bool m_isUnconfirmed = false;
    bool m_isReading = false;
};

inline const std::string &TableFollower::table() const
{
    return m_table;
}

inline bool TableFollower::hasRows() const
{
    return m_rows.isLoaded();
}

inline const StoreVersion &TableFollower::version() const
{
    return m_rows.version();
}

inline bool TableFollower::isFailing() const
{
    return m_isFailing;
}

inline bool TableFollower::isStoreUnreachable() const
{
    return m_isFailing || m_isUnconfirmed;
}

inline Instant TableFollower::confirmedAt() const
{
    return m_confirmedAt;
}

inline const std::string &TableFollower::source() const
{
    return m_source;
}

} // namespace bulrush

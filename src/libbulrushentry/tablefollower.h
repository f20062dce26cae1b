#pragma once

#include "followergroup.h"
#include "platform/storeclient.h"
#include "process/looptimers.h"
#include "process/readerchoice.h"
#include "process/storeclock.h"
#include "rowsrelay.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** Rows of a table: all there are, or those that have changed. */
struct TableChange
{
    std::vector<platform::StoreRow> rows;
    /** Of the store, up to which all changes are known with these. */
    std::uint64_t version = 0;
    bool isWhole = false;
    /** The store could not be reached before; rows may have lapsed meanwhile. */
    bool isAfterOutage = false;
    /** At that instant the store was known to hold the rows as they were before these. */
    Instant unchangedUntil;
};

/** How soon a table's rows are confirmed elsewhere when whoever should tell of them is silent. */
struct Confirmation
{
    /** After this without an answer the store is asked, beside any call that waits. */
    Duration after;
    /** For its answer; without one the store counts as away. */
    Duration within;
};

/** How a table is followed: a matter of how soon changes are known and what the calls cost. */
struct FollowPace
{
    /** How long the store may hold a call without changes. */
    Duration wait = std::chrono::seconds{10};
    /** Between a change and the next call, so that one call brings several changes. */
    Duration pause{};
    /** Of tables whose age binds; a daemon that reads the store asks for the others along with
     * them. */
    std::optional<Confirmation> confirmation = std::nullopt;
};

/** What all followers of a daemon share. */
struct FollowParts
{
    platform::StoreClient &store;
    io::LoopTimers &timers;
    RowsRelay &relay;
    StoreClock &clock;
    ReaderChoice &readers;
    FollowerGroup &group;
};

/**
 * Keeps up with one table of the store: reads it, then waits for changes, and starts over where
 * changes may have been missed. Changes are waited for at the store, or at the daemon that reads
 * for the failure domain. While the store is not reached, other daemons are asked for the rows
 * that they know.
 *
 * Used on the loop's thread; the handlers run there.
 */
class TableFollower
{
public:
    using ChangeHandler = std::function<void(const TableChange &)>;
    /** Told of each answer of the store, with an instant before which it was not given. */
    using AnswerHandler = std::function<void(Instant givenAt)>;

    /** After a failed call the next one waits this long at first, then up to the longest. */
    static constexpr Duration firstRetry = std::chrono::milliseconds{100};
    static constexpr Duration longestRetry = std::chrono::milliseconds{800};
    /** Failures that last this long count as an outage, in which rows may lapse. */
    static constexpr Duration outage = std::chrono::seconds{1};
    /** Other daemons are asked this often while the store is not reached. */
    static constexpr Duration askPeersEvery = std::chrono::milliseconds{450};

    /** \pre the parts outlive this object */
    TableFollower(const FollowParts &parts, std::string table, FollowPace pace);

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /**
     * After a call that failed, waits for changes are this short for a while: an answer that is
     * lost then shows within 1.9 s, and not after the 10.9 s of a whole wait, in which a
     * configuration would be missed.
     */
    static constexpr Duration troubledWait = std::chrono::milliseconds{1000};
    static constexpr Duration troubled = std::chrono::seconds{10};
    /** How often the age of rows that have to be confirmed is looked at. */
    static constexpr Duration lookEvery = std::chrono::milliseconds{50};
    /** Removed rows that are remembered, so that others can follow by changes. */
    static constexpr std::size_t mostRemoved = 1000;

    /** Starts to follow. Called once. */
    void start(ChangeHandler changed, AnswerHandler answered);

    /** Gives up a wait for changes at the store, which may be lost, and reads all rows. */
    void askAnew();

    /** Asks the store whether the rows are as they are known, beside any call that waits. */
    void confirm();

    /** \returns whether the last call failed. */
    bool isCutOff() const;

    /** \returns whether nothing newer than what is known is to be had from the store now. */
    bool isStoreAway() const;

    /** \returns when the store, asked here or by another daemon, told last that rows are so. */
    Instant knownAt() const;

    /** \returns whether the rows are known well enough to be told to others. */
    bool isFresh(Instant now) const;

    /** \returns whom changes come from: "store", or a host. */
    const std::string &source() const;

    const std::string &table() const;

    /** \returns whether the rows are known. */
    bool hasRows() const;

    /** \returns whether this daemon follows the store itself, and reaches it. */
    bool isServing(Instant now) const;

    /** \returns the version of the store up to which the rows are known. */
    std::uint64_t version() const;

    /** \returns all rows, for a question that came at \a askedAt. \pre hasRows() */
    RelayedRows allRows(Instant askedAt) const;

    /** \returns what has changed after \a version, or all rows. \pre hasRows() */
    RelayedRows rowsSince(std::uint64_t version, Instant askedAt) const;

private:
    void remember(const platform::RowsOutcome &outcome, bool isWhole);
    void askPeers();
    void relayed(RelayedRows rows, Instant asOf);
    void read();
    void follow();
    void followStore();
    void followReader(const RowsReader &reader);
    void takenFromReader(const RowsReader &reader, std::optional<RelayedRows> rows, Instant asOf);
    void noteSource(const std::string &source);
    void taken(platform::RowsOutcome outcome, bool isWhole, Instant sentAt);
    void failed(std::error_code error);
    void look(Instant now);
    void confirmed(platform::RowsOutcome outcome, Instant sentAt);
    Instant adopt(platform::RowsOutcome outcome, bool isWhole, bool wasFailing, Instant sentAt);
    void noteKnown(Instant asOf);
    Duration storeWait(Instant now) const;

    FollowParts m_parts;
    std::string m_table;
    FollowPace m_pace;
    ChangeHandler m_changed;
    AnswerHandler m_answered;
    std::map<std::string, platform::StoreRow> m_rows;
    /** Rows that were removed after m_removedSince. */
    std::vector<platform::StoreRow> m_removed;
    std::uint64_t m_removedSince = 0;
    /** Whom changes come from: "store", or a host. */
    std::string m_source = "store";
    std::uint64_t m_version = 0;
    /** When the store, asked here or by another daemon, told last that there are no other rows. */
    Instant m_knownAt;
    bool m_hasRows = false;
    /** The wait for changes at the store, while there is one. */
    std::optional<platform::StoreClient::CallId> m_wait;
    Duration m_retry = firstRetry;
    Instant m_failingSince;
    bool m_isFailing = false;
    /** When the age of the rows was looked at last. */
    Instant m_lookedAt;
    bool m_isLookSkipped = false;
    /** When the confirmation that there is no answer to yet was asked for. */
    std::optional<Instant> m_confirmingSince;
    /** The wait that stood when it was asked for. */
    std::optional<platform::StoreClient::CallId> m_waitDoubted;
    /** One that was refused is not asked for anew before. */
    Instant m_confirmAgainAt;
    /** A confirmation got no answer in time, or was refused, and nothing was heard since. */
    bool m_isUnconfirmed = false;
    bool m_isReading = false;
};

inline const std::string &TableFollower::table() const
{
    return m_table;
}

inline bool TableFollower::hasRows() const
{
    return m_hasRows;
}

inline std::uint64_t TableFollower::version() const
{
    return m_version;
}

inline bool TableFollower::isCutOff() const
{
    return m_isFailing;
}

inline bool TableFollower::isStoreAway() const
{
    return m_isFailing || m_isUnconfirmed;
}

inline Instant TableFollower::knownAt() const
{
    return m_knownAt;
}

inline const std::string &TableFollower::source() const
{
    return m_source;
}

} // namespace bulrush

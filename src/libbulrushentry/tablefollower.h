#pragma once

#include "followergroup.h"
#include "knownrows.h"
#include "platform/storeclient.h"
#include "process/followplan.h"
#include "process/looptimers.h"
#include "process/storeclock.h"
#include "rowsrelay.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
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
    /** After this without an answer another daemon is asked, beside any call that waits, */
    Duration askBesideAfter;
    /** and after this the store. */
    Duration after;
    /** For the store's answer; without one it counts as away. */
    Duration within;
};

/** How a table is followed: a matter of how soon changes are known and what the calls cost. */
struct FollowPace
{
    /** How long the store may hold a call without changes. */
    Duration wait;
    /** Between a change and the next call, so that one call brings several changes. */
    Duration pause;
    /** Who reads the store asks it again after this without word, as its wait may be lost. */
    Duration confirmAfter;
    /** Of tables whose age binds. */
    std::optional<Confirmation> confirmation = std::nullopt;
};

/** What all followers of a daemon share. */
struct FollowParts
{
    platform::StoreClient &store;
    io::LoopTimers &timers;
    RowsRelay &relay;
    StoreClock &clock;
    FollowPlan &plan;
    FollowerGroup &group;
};

/**
 * Keeps up with one table of the store: reads it, then waits for changes, and starts over where
 * changes may have been missed. FollowPlan tells where: at the store, or at another daemon of the
 * failure domain. While nobody of the failure domain has rows to tell, daemons elsewhere are asked
 * for those that they know.
 *
 * Used on the loop's thread; the handlers run there.
 */
class TableFollower
{
public:
    using ChangeHandler = std::function<void(const TableChange &)>;
    /** Told of each answer of the store, with an instant before which it was not given. */
    using AnswerHandler = std::function<void(Instant givenAt)>;

    /** Failures that last this long count as an outage, in which rows may lapse. */
    static constexpr Duration outage = std::chrono::seconds{1};
    /** Daemons elsewhere are asked this often while nobody else tells of rows. */
    static constexpr Duration askPeersEvery = std::chrono::milliseconds{450};
    /** An answer to a confirmation comes within this, or others may try. */
    static constexpr Duration confirmPatience = std::chrono::milliseconds{400};
    /** How often the age of rows that have to be confirmed is looked at. */
    static constexpr Duration lookEvery = std::chrono::milliseconds{50};
    /**
     * Daemons between the store and this one, at most. While two that follow each other by rows
     * that differ take turns, each counts one more than the other, so that it ends here.
     */
    static constexpr unsigned longestChain = 4;

    /**
     * One that has told less than is known here is asked again after this: it would answer at once,
     * with all rows if these are wanted, some 140 KB of 480 servers.
     */
    static constexpr Duration behindPause = std::chrono::milliseconds{200};

    /** \pre the parts outlive this object */
    TableFollower(const FollowParts &parts, std::string table, FollowPace pace);

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /** Starts to follow. Called once. */
    void start(ChangeHandler changed, AnswerHandler answered);

    /** The same, but reads the store at once, whatever the plan says. Called once. */
    void startAtStore(ChangeHandler changed, AnswerHandler answered);

    /** Gives up a wait for changes at the store, which may be lost, and reads all rows. */
    void askAnew();

    /** Notes that no table has changed after \a version, as the store told at \a givenAt. */
    void noteStoreVersion(std::uint64_t version, Instant givenAt);

    /** \returns whether the store is being asked if the rows still hold, and may yet answer. */
    bool isConfirming(Instant now) const;

    /** \returns whether the last call failed, and nobody else has told of rows since. */
    bool isCutOff() const;

    /** \returns whether nothing newer than what is known is to be had from the store now. */
    bool isStoreAway() const;

    /** \returns when the store, asked here or by another daemon, told last that rows are so. */
    Instant knownAt() const;

    /** \returns whether the rows are known, and well enough to be told to others. */
    bool isFresh(Instant now) const;

    /** \returns whom changes come from: "store", or a host. */
    const std::string &source() const;

    const std::string &table() const;

    /** \returns whether the rows are known. */
    bool hasRows() const;

    /** \returns whether other daemons are served rows, once they are fresh. */
    bool isServing() const;

    /** \returns the version of the store up to which the rows are known. */
    std::uint64_t version() const;

    /** \returns what has changed after \a version, or all rows. \pre hasRows() */
    RelayedRows rowsSince(std::uint64_t version, Instant askedAt) const;

private:
    void begin(ChangeHandler changed, AnswerHandler answered);
    void next();
    void carryOut(const AskStore &step);
    void carryOut(const AskReader &step);
    void carryOut(const AskLater &step);
    void read();
    void followStore();
    void takenFromReader(const RowsReader &reader, FollowAnswer answer);
    void readerFailed(const RowsReader &reader, ReaderFailure failure);
    bool adoptRelayed(RelayedRows rows, Instant asOf);
    void askPeers();
    void setSource(const std::string &source);
    void logSource();
    void taken(platform::RowsOutcome outcome, bool isWhole, Instant sentAt);
    void failed(std::error_code error);
    bool noteLost(std::string_view reason);
    void recovered();
    void look(Instant now);
    bool askBeside(Instant now);
    void confirm();
    void confirmAtStore(Instant now);
    void confirmed(platform::RowsOutcome outcome, Instant sentAt);
    Instant adopt(platform::RowsOutcome outcome, bool isWhole, Instant sentAt);
    void remember(const platform::RowsOutcome &outcome, bool isWhole, bool isAfterOutage);
    void noteKnown(Instant asOf);
    bool wasAway(Instant now) const;

    FollowParts m_parts;
    std::string m_table;
    FollowPace m_pace;
    ChangeHandler m_changed;
    AnswerHandler m_answered;
    KnownRows m_rows;
    /** Whom changes come from: "store", or a host. */
    std::string m_source;
    /** The one that told of rows last, as it was logged. */
    std::string m_loggedSource;
    /** Why the one before it is not asked. */
    std::string_view m_reason = "start";
    /** The store was not asked yet since changes come from there. */
    bool m_isFirstAtStore = false;
    /** Daemons between the store and this one. */
    unsigned m_chain = 0;
    /** When the store, asked here or by another daemon, told last that there are no other rows. */
    Instant m_knownAt;
    /** Changes may have been missed: the next rows have to be all there are. */
    bool m_isAllWanted = false;
    /** The wait for changes at the store, while there is one. */
    std::optional<platform::StoreClient::CallId> m_wait;
    Instant m_failingSince;
    bool m_isFailing = false;
    /** When the age of the rows was looked at last. */
    Instant m_lookedAt;
    bool m_isLookSkipped = false;
    /** How many daemons are being asked beside the one that is waited for. */
    std::size_t m_askedBeside = 0;
    /** When the confirmation that there is no answer to yet was asked for. */
    std::optional<Instant> m_confirmingSince;
    /** The wait that stood when it was asked for. */
    std::optional<platform::StoreClient::CallId> m_waitDoubted;
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
    return m_rows.areKnown();
}

inline std::uint64_t TableFollower::version() const
{
    return m_rows.version();
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

#pragma once

#include "connection/responsewriter.h"
#include "process/looptimers.h"
#include "rowsserved.h"
#include "tablefollower.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** What another daemon asks for when it follows rows through this one. */
struct FeedQuestion
{
    std::string table;
    /** Up to which the other one knows the rows. */
    std::uint64_t version = 0;
    /** How long it may be held if there is no news. */
    Duration wait{};
    /** How old what the other one knows is, if only something newer is news. */
    std::optional<Duration> age = std::nullopt;
};

/** \returns the question in \a path, which begins with feedPath, or nothing if it is none. */
std::optional<FeedQuestion> feedQuestion(std::string_view path);

/**
 * \returns the question in \a path, which begins with rowsPath and tells of no wait, or nothing if
 * it is none.
 */
std::optional<FeedQuestion> rowsQuestion(std::string_view path);

/**
 * Serves changes of rows to the daemons that follow them through this one: holds their questions
 * until there is news, their time is over, or this daemon can't tell any more. Rows that have grown
 * old here are no answer, but may be renewed while a question waits.
 *
 * Used on the control thread.
 */
class RowsFeed
{
public:
    /** The longest that a question is held, whatever it asks for. */
    static constexpr Duration longestWait = std::chrono::seconds{5};
    /** How often held questions are looked at. */
    static constexpr Duration lookEvery = std::chrono::milliseconds{50};

    /** \pre the parts outlive this object; \a group is whose rows are served */
    RowsFeed(io::LoopTimers &timers, FollowerGroup &group, RowsServed &served);

    RowsFeed(const RowsFeed &) = delete;
    RowsFeed &operator=(const RowsFeed &) = delete;

    /** Answers \a question by the rows of \a follower, now or later. */
    void ask(const FeedQuestion &question, const TableFollower &follower,
             const std::shared_ptr<io::ResponseWriter> &writer);

private:
    struct Held
    {
        FeedQuestion question;
        const TableFollower *follower;
        std::shared_ptr<io::ResponseWriter> writer;
        Instant askedAt;
        /** Word of the store that is later than this is news. */
        Instant newsAfter;
    };

    /**
     * Changes of a table after a version, encoded once for all who wait for them: in a domain of 22
     * daemons 21 follow one reader, and an assignment has some 200 ranges.
     */
    struct Encoded
    {
        /** Without the rows themselves. */
        RelayedRows told;
        std::string list;
    };
    using EncodedChanges = std::map<std::pair<const TableFollower *, std::uint64_t>, Encoded>;

    /** Answers what can be answered now. */
    void look(Instant now);
    static Instant newsAfter(const FeedQuestion &question, const TableFollower &follower,
                             Instant now);
    static Encoded &changesFor(const Held &held, EncodedChanges &encoded);
    bool isAnswered(const Held &held, EncodedChanges &encoded, Instant now);

    RowsServed &m_served;
    std::vector<Held> m_held;
};

} // namespace bulrush

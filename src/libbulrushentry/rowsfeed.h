#pragma once

#include "connection/responsewriter.h"
#include "process/looptimers.h"
#include "rowsadmission.h"
#include "tablefollower.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** The request of another daemon that follows rows through this one. */
struct FeedRequest
{
    std::string table;
    /** The version of the rows that the other daemon has. */
    StoreVersion version;
    /** How long the request may be held while there is nothing new. */
    Duration wait{};
    /** The age of the other daemon's rows, if a later confirmation counts as new. */
    std::optional<Duration> age = std::nullopt;
};

/** \returns the request in \a path, which begins with feedPath, or nothing if it is malformed. */
std::optional<FeedRequest> parseFeedRequest(std::string_view path);

/**
 * \returns the request in \a path, which begins with rowsPath and has no wait, or nothing if it is
 * malformed.
 */
std::optional<FeedRequest> parseRowsRequest(std::string_view path);

/**
 * Serves changes of rows to the daemons that follow them through this one: holds their requests
 * until there are new rows or confirmations, the wait is over, or this daemon can no longer serve.
 * Rows that are too old are not served, but may be confirmed while a request waits.
 *
 * Used on the control thread.
 */
class RowsFeed
{
public:
    /** The maximum time that a request is held, even if it specifies a longer wait. */
    static constexpr Duration maxWait = std::chrono::seconds{5};
    /** Interval at which held requests are checked. */
    static constexpr Duration checkInterval = std::chrono::milliseconds{50};

    /** \pre the arguments outlive this object; \a group has the followers whose rows are served */
    RowsFeed(io::LoopTimers &timers, FollowerGroup &group, RowsAdmission &admission);

    RowsFeed(const RowsFeed &) = delete;
    RowsFeed &operator=(const RowsFeed &) = delete;

    /** Answers \a request with the rows of \a follower, now or later. */
    void ask(const FeedRequest &request, const TableFollower &follower,
             const std::shared_ptr<io::ResponseWriter> &writer);

private:
    struct HeldRequest
    {
        FeedRequest request;
        const TableFollower *follower;
        std::shared_ptr<io::ResponseWriter> writer;
        Instant requestedAt;
        /** A confirmation by the store that is later than this is worth an answer. */
        Instant newerThan;
    };

    /**
     * Changes of a table after a version, encoded once for all waiting daemons: in a domain of 22
     * daemons 21 follow one reader, and an assignment has some 200 ranges.
     */
    struct EncodedRows
    {
        /** The message without the rows, which are encoded in list. */
        RelayedRows rows;
        std::string list;
    };
    using EncodedChanges = std::map<std::pair<const TableFollower *, StoreVersion>, EncodedRows>;

    /** Answers the held requests that can be answered now. */
    void answerReady(Instant now);
    static Instant newerThan(const FeedRequest &request, const TableFollower &follower,
                             Instant now);
    static EncodedRows &changesFor(const HeldRequest &held, EncodedChanges &encoded);
    bool tryAnswer(const HeldRequest &held, EncodedChanges &encoded, Instant now);

    RowsAdmission &m_admission;
    std::vector<HeldRequest> m_heldRequests;
};

} // namespace bulrush

#pragma once

#include "connection/serverclient.h"
#include "process/readerchoice.h"
#include "rowscodec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** A request for the changes of a table. */
struct FollowRequest
{
    std::string table;
    /** The version of the rows that the requesting daemon has; the lowest if it has none. */
    StoreVersion version;
    /** The age of these rows, if only an answer with a later confirmation is useful. */
    std::optional<Duration> age = std::nullopt;
};

/** The answer of a daemon to a request for rows. */
struct FollowAnswer
{
    /** The changes, or nothing if the daemon did not serve the request. */
    std::optional<RelayedRows> rows;
    /** The instant at which the store was confirmed to hold these rows. */
    Instant asOf;
    /** Why there are no rows. */
    ReaderFailure failure = ReaderFailure::Silent;
};

/**
 * Requests rows of the store from other daemons: from the reader of the failure domain, or from all
 * peers in turn while there is no reader.
 *
 * Used on the control thread.
 */
class RowsClient
{
public:
    using Handler = std::function<void(FollowAnswer)>;
    /** \returns the addresses of the other daemons. */
    using PeersSource = std::function<std::vector<Endpoint>()>;

    /** For requests that are answered at once. */
    static constexpr Duration timeout = std::chrono::milliseconds{400};
    /** How long a daemon may hold a request for changes. */
    static constexpr Duration followWait = std::chrono::milliseconds{600};
    /** Added to the time that a request may be held, to get its timeout. */
    static constexpr Duration followGrace = std::chrono::milliseconds{400};
    /** Limit for an answer that has begun: a long one takes time on narrow links. */
    static constexpr Duration maxTransferTime = std::chrono::milliseconds{1000};
    /**
     * How long a daemon may hold a request that is sent in addition to a pending one; it can use
     * the time to query the store itself.
     */
    static constexpr Duration alternateWait = std::chrono::milliseconds{200};

    /** \pre \a client outlives this object and its calls */
    RowsClient(io::ServerClient &client, PeersSource peers);

    /** Requests changes from the daemon at \a reader, which may hold the request for followWait. */
    void follow(const Endpoint &reader, const FollowRequest &request, Handler handler);

    /** Requests rows or a confirmation from \a other that are newer than the request's age. */
    void askAlternate(const Endpoint &other, const FollowRequest &request, Handler handler);

    /** Requests the current rows from the next peer in turn, if there are peers. */
    void ask(const FollowRequest &request, Handler handler);

private:
    void send(const Endpoint &daemon, const FollowRequest &request, std::string target,
              Duration timeout, Handler handler);

    io::ServerClient &m_client;
    PeersSource m_peers;
    std::size_t m_next = 0;
};

} // namespace bulrush

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

/** What a daemon wants to know of a table. */
struct FollowQuestion
{
    std::string table;
    /** Up to which it knows the rows; 0: it knows none. */
    std::uint64_t version = 0;
    /** How old what it knows is, where only something newer is an answer. */
    std::optional<Duration> age = std::nullopt;
};

/** What a daemon answered to a question for rows. */
struct FollowAnswer
{
    /** What has changed, or nothing if it did not serve the question. */
    std::optional<RelayedRows> rows;
    /** The instant at which the store was known to hold these. */
    Instant asOf;
    /** Why there are none. */
    ReaderFailure failure = ReaderFailure::Silent;
};

/**
 * Asks other daemons for rows of the store: one for changes, where that one reads for the failure
 * domain, or all in turn while nobody does.
 *
 * Used on the control thread.
 */
class RowsRelay
{
public:
    using Handler = std::function<void(FollowAnswer)>;
    /** \returns the addresses of the other daemons. */
    using PeersSource = std::function<std::vector<Endpoint>()>;

    /** For a daemon to answer at once. */
    static constexpr Duration timeout = std::chrono::milliseconds{400};
    /** How long a daemon may hold a question for changes, and answer beyond that. */
    static constexpr Duration followWait = std::chrono::milliseconds{600};
    static constexpr Duration followSlack = std::chrono::milliseconds{400};
    /** For an answer that has begun: a long one takes time on narrow links. */
    static constexpr Duration answerWithin = std::chrono::milliseconds{1000};
    /** The same for one that is asked beside another, and asks the store itself meanwhile. */
    static constexpr Duration besideWait = std::chrono::milliseconds{200};

    /** \pre \a client outlives this object and its calls */
    RowsRelay(io::ServerClient &client, PeersSource peers);

    /** Asks the daemon at \a reader, which may wait for changes. */
    void follow(const Endpoint &reader, const FollowQuestion &question, Handler handler);

    /** Asks the daemon at \a other for newer word than the question's age. */
    void askBeside(const Endpoint &other, const FollowQuestion &question, Handler handler);

    /** Asks the next of all daemons for what it knows, if there is any. */
    void ask(const FollowQuestion &question, Handler handler);

private:
    void send(const Endpoint &daemon, const FollowQuestion &question, std::string target,
              Duration timeout, Handler handler);

    io::ServerClient &m_client;
    PeersSource m_peers;
    std::size_t m_next = 0;
};

} // namespace bulrush

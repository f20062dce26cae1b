#pragma once

#include "connection/serverclient.h"
#include "rowscodec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/**
 * Asks other daemons for rows of the store: one after the other while this daemon does not reach
 * it, or one for changes, where that one reads for the failure domain.
 *
 * Used on the control thread.
 */
class RowsRelay
{
public:
    /** Takes the rows, with the instant that the store was known to hold no others. */
    using Handler = std::function<void(RelayedRows, Instant asOf)>;
    /** \returns the addresses of the other daemons. */
    using PeersSource = std::function<std::vector<Endpoint>()>;

    /** For a daemon to answer; others are asked in turn. */
    static constexpr Duration timeout = std::chrono::milliseconds{400};

    /** \pre \a client outlives this object and its calls */
    RowsRelay(io::ServerClient &client, PeersSource peers);

    /** Takes what has changed, or nothing if the daemon does not serve it. */
    using FollowHandler = std::function<void(std::optional<RelayedRows>, Instant asOf)>;

    /** How long a daemon may hold a question for changes, and answer beyond that. */
    static constexpr Duration followWait = std::chrono::milliseconds{600};
    static constexpr Duration followSlack = std::chrono::milliseconds{400};

    /** Asks the daemon at \a reader for changes of \a table after \a version. */
    void follow(const Endpoint &reader, const std::string &table, std::uint64_t version,
                FollowHandler handler);

    /** Asks the next daemon for \a table, if there is any. \a handler is called if it knows it. */
    void ask(const std::string &table, Handler handler);

private:
    static io::ServerCall callTo(const Endpoint &daemon, std::string target);

    io::ServerClient &m_client;
    PeersSource m_peers;
    std::size_t m_next = 0;
};

} // namespace bulrush

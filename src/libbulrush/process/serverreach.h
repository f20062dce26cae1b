#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <array>
#include <cstddef>
#include <set>

namespace bulrush {

/**
 * Determines whether a daemon has lost its paths to all backend servers. One server that can't be
 * reached may have stopped; if several fail one after the other and none is reached in between, the
 * cause is more likely at this daemon.
 *
 * Not thread safe. Instants never decrease.
 */
class ServerReach
{
public:
    /** No path is left if this many servers have failed, or all of them if there are fewer. */
    static constexpr std::size_t failedServersThreshold = 3;

    /** Sets how many servers there are. */
    void setServerCount(std::size_t count);

    /** Records that \a server answered, or that a connection to it was established. */
    void recordReached(const ServerName &server, Instant now);

    /** Records that a connection to \a server was not established, or that it did not answer. */
    void recordFailure(const ServerName &server);

    /** \returns whether no server can be reached from here. */
    bool isOutOfReach() const;

    /**
     * \returns the server other than \a server that was reached last, which shows whether \a server
     * or the path to it has failed; empty if there is none.
     */
    ServerName witnessFor(const ServerName &server) const;

    /** \returns how many servers failed since one was last reached. */
    std::size_t failedCount() const;

    /** \returns the last instant at which a server was reached. */
    Instant lastReached() const;

private:
    std::size_t m_serverCount = 0;
    /** Servers that failed since any server was last reached. */
    std::set<ServerName> m_failed;
    Instant m_lastReached;
    /** The two servers that were reached last, the latest first. */
    std::array<ServerName, 2> m_reachedServers;
};

inline std::size_t ServerReach::failedCount() const
{
    return m_failed.size();
}

inline Instant ServerReach::lastReached() const
{
    return m_lastReached;
}

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "process/daemonlocation.h"
#include "process/serverdirectory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace bulrush {

/** Whether a request may be sent to a server that is or was cold. */
enum class SlowStartAdmission {
    Admitted,
    Paced,     ///< this daemon may send to the server, but has done so too recently
    NotSender, ///< other daemons send to this server for now
};

/**
 * Slow start of cold servers, without communication between daemons. A cold server crashes if all
 * daemons together send more than its cold rate, so only a few daemons send to it, each with an
 * equal part of that rate and no burst. These are the first daemons in an order that depends on the
 * server (rendezvous hashing), in which daemons of the server's own failure domain come first.
 * Daemons that disagree about which daemons exist agree on most of the order. Two groups that agree
 * on none of it send about twice the cold rate together.
 *
 * Once a server is warm, the other daemons follow in the same order over rampDuration, because a
 * server without load attracts the requests of all of them.
 *
 * Not thread safe.
 */
class SlowStart
{
public:
    /** Number of daemons that send to a cold server; more than one, so that one may be lost. */
    static constexpr std::size_t senderCount = 2;
    /** Time in which all daemons begin to send to a server that has become warm. */
    static constexpr Duration rampDuration = std::chrono::seconds{2};

    /**
     * \returns the rank of the daemon on \a self among \a daemons for \a server, from 0, or nothing
     * if \a daemons does not contain it.
     */
    static std::optional<std::size_t> rankOf(const ServerRecord &server, const HostName &self,
                                             std::span<const DaemonLocation> daemons);

    /** \returns whether \a server is cold, or became warm within the last rampDuration. */
    static bool isActive(const KnownServer &server, Instant now);

    /**
     * \returns whether this daemon, which has \a rank among \a daemonCount for \a server, may send
     * a request to it. \a rank is empty if the daemon is not known to the others.
     */
    SlowStartAdmission admission(const KnownServer &server, std::optional<std::size_t> rank,
                                 std::size_t daemonCount, Instant now) const;

    /** Records that a request is sent to \a server. */
    void recordSend(const KnownServer &server, Instant now);

    /** Removes records of requests that no longer have any effect. */
    void removeExpired(Instant now);

private:
    /** When this daemon last sent a request to each cold server. */
    std::map<ServerName, Instant> m_sentAt;
};

} // namespace bulrush

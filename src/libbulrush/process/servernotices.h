#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bulrush {

/** What a server has asked of this daemon, or announced to it, in its answers. */
struct ServerNotice
{
    /** No requests are to be sent to the server before. */
    Instant backoffUntil;
    /** When the server last asked for a pause, and how long. */
    Instant backoffAskedAt;
    Duration backoffAsked{};
    /** How often it asked for a pause. */
    std::uint64_t backoffCount = 0;
    /** When the server first announced that it is about to stop. */
    std::optional<Instant> leavingSince;

    /** \returns whether no requests are to be sent to the server now. */
    bool isBackingOff(Instant now) const;
};

/**
 * The pauses that backend servers have asked this daemon for, and the servers that have announced
 * that they leave, as known to one traffic thread. A pause binds only the daemon that it was asked
 * of; it is extended by further refusals, never shortened.
 *
 * Not thread safe. Instants never decrease and come from a clock that keeps running while the host
 * is suspended.
 */
class ServerNotices
{
public:
    /**
     * What is known of a server that is not listed any more is kept for this long, as its record
     * may be missing only for a moment.
     */
    static constexpr Duration unlistedRetention = std::chrono::minutes{1};

    /** Records that \a server asked for a pause of \a asked. */
    void recordBackoff(const ServerName &server, Duration asked, Instant now);

    /**
     * Records that \a server announced that it is about to stop. \returns whether it was not known.
     */
    bool recordLeaving(const ServerName &server, Instant now);

    /** Ends the pause that \a server asked for. \returns whether there was one at \a now. */
    bool endBackoff(const ServerName &server, Instant now);

    /** \returns what is known of \a server, or null. Valid until the next change. */
    const ServerNotice *find(const ServerName &server) const;

    /** \returns whether no requests are to be sent to \a server now. */
    bool isBackingOff(const ServerName &server, Instant now) const;

    /** \returns for how long no requests are to be sent to \a server from now on. */
    Duration backoffLeft(const ServerName &server, Instant now) const;

    /** \returns when \a server announced that it is about to stop, if it has. */
    std::optional<Instant> leavingSince(const ServerName &server) const;

    /** Removes what is known of servers for which \a isListed does not hold any more. */
    void removeUnlisted(const std::function<bool(const ServerName &)> &isListed, Instant now);

    /** \returns all notices. */
    const std::map<ServerName, ServerNotice> &notices() const;

private:
    std::map<ServerName, ServerNotice> m_notices;
    /** When servers with notices were found to be unlisted. */
    std::map<ServerName, Instant> m_unlistedSince;
};

/**
 * \returns the time after a pause of \a asked at which the daemon of \a host sends to \a server
 * again. Daemons that were asked at the same time are spread over \a allHandledIn, the time in
 * which the server handles one request of each, so that they do not overload it at once; at most
 * half of the pause. Thread safe.
 */
Duration returnDelay(const HostName &host, const ServerName &server, Duration asked,
                     Duration allHandledIn);

inline bool ServerNotice::isBackingOff(Instant now) const
{
    return now < backoffUntil;
}

inline const std::map<ServerName, ServerNotice> &ServerNotices::notices() const
{
    return m_notices;
}

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "process/serverlimit.h"
#include "version/identifier.h"
#include "version/serviceload.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bulrush {

/** The limit of a server as this daemon knows it. */
struct KnownLimit
{
    /** Requests per second that the server takes from all daemons together. */
    double perSecond = 0.0;
    /** When this daemon first received a limit that has not ended since. */
    Instant since;
    /** When the server last named it, as far as this daemon knows. */
    Instant namedAt;
    /** Until then this daemon does not query a permit for the server. */
    Instant closedUntil = {};
    /** Requests that this daemon has sent to the server since then. */
    std::uint64_t sentCount = 0;
};

/** What an answer changed about a server's limit. */
enum class LimitChange {
    None,
    Named,      ///< the server had no limit before
    Changed,    ///< the server has another limit
    Ended,      ///< the server has no limit any more
    Unreadable, ///< the limit in the answer can't be read, so the known one stays
};

/**
 * The limits that backend servers name in their answers, as known to one traffic thread.
 *
 * Answers may arrive in another order than the server gave them. An answer is known to be newer
 * than an earlier one only if its request was sent after that one arrived. Only such an answer ends
 * or raises a limit.
 *
 * Not thread safe. Instants never decrease.
 */
class ServerLimits
{
public:
    /**
     * Applies the \a statement in an answer of \a server to a request sent at \a sentAt. \a wasRun
     * tells whether the server ran the request: a refusal without a limit does not end it.
     * \returns what changed.
     */
    LimitChange recordAnswer(const ServerName &server, const LimitStatement &statement, bool wasRun,
                             Instant sentAt, Instant now);

    /** Counts a request that is sent to \a server. \returns whether the server names a limit. */
    bool recordSend(const ServerName &server);

    /** Applies that \a server had no limit any more at some time after \a namedAt. */
    void applyEnd(const ServerName &server, Instant namedAt);

    /** Queries no permit for \a server until \a instant. \pre a limit of the server is known */
    void close(const ServerName &server, Instant instant);

    /** \returns the limit of \a server, or null if none is known. Valid until the next change. */
    const KnownLimit *find(const ServerName &server) const;

    /** \returns all limits. */
    const std::map<ServerName, KnownLimit> &limits() const;

    /**
     * \returns what each server last stated, for servers that name a limit, and for those whose
     * limit has ended since the last call.
     */
    std::vector<LimitReport> takeReports(Instant now);

    /** Removes the limit of \a server, whose run has ended. */
    void remove(const ServerName &server);

private:
    LimitChange applyRate(const ServerName &server, double perSecond, Instant sentAt, Instant now);
    LimitChange applyAbsence(const ServerName &server, Instant sentAt, Instant now);

    std::map<ServerName, KnownLimit> m_limits;
    /** When limits ended that were not reported as ended yet. */
    std::map<ServerName, Instant> m_endedAt;
};

inline const std::map<ServerName, KnownLimit> &ServerLimits::limits() const
{
    return m_limits;
}

} // namespace bulrush

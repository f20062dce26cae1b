#pragma once

#include "process/clock.h"
#include "process/permit.h"
#include "version/identifier.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/** The permits that a daemon has issued lately for one server. */
struct IssuedPermits
{
    ServerName server;
    /** The limit in force; nothing if it has ended. */
    std::optional<double> perSecond;
    /** Permits that became valid within PermitIssuer::recentPeriod. */
    std::size_t recentCount = 0;
};

/**
 * Issues the permits for requests to servers that name a limit, to all daemons. Each server has a
 * primary issuer, so that its limit is counted in one place, and a backup. Some daemons may query
 * the primary and others the backup at the same time: the parts of the limit that the two issue are
 * chosen so that all permits together stay within one and a half times the limit. Daemons that
 * disagree about who exists issue the lower of the two parts to each other.
 *
 * A permit is issued in advance if the request can wait (generic cell rate algorithm), so that
 * requests of all daemons are sent in the order of their queries.
 *
 * Not thread safe. Instants never decrease.
 */
class PermitIssuer
{
public:
    /** Parts of the limit that the primary and the backup issue. */
    static constexpr double primaryFraction = 0.95;
    static constexpr double backupFraction = 1.0 / 3;
    /**
     * Number of permits that the primary issues at once after a pause, in addition to those of
     * burstSpan; the backup issues one.
     */
    static constexpr double primaryBurst = 2.0;
    static constexpr Duration burstSpan = std::chrono::milliseconds{200};
    /**
     * Lower bound of the rate, in permits per second: only answers to requests show that a limit
     * has ended.
     */
    static constexpr double minRate = 0.25;
    /** Period over which permits are counted for operators. */
    static constexpr Duration recentPeriod = std::chrono::seconds{4};
    /** State of servers that nobody asks for is removed after this time. */
    static constexpr Duration idleRetention = std::chrono::minutes{1};

    /** \returns the role of the daemon with \a rank in the order for a server. */
    static IssuerRole roleOf(std::optional<std::size_t> rank);

    /**
     * Daemons that know different daemons may take different ones for the primary. If they still do
     * after this time, each primary issues only the backup's part.
     */
    static constexpr Duration toleratedDisagreement = std::chrono::seconds{1};
    /** Daemons agree again once no query has shown a different view for this long. */
    static constexpr Duration agreementPeriod = std::chrono::seconds{4};

    /**
     * Answers \a query, which arrived at \a now, and counts a granted permit. \a ownRole is the
     * role of this daemon by the daemons that it knows, and \a ownView their digest.
     */
    PermitAnswer answer(const PermitQuery &query, IssuerRole ownRole, Instant now,
                        std::uint64_t ownView = 0);

    /** \returns the number of permits granted for all servers. */
    std::uint64_t grantedCount() const;

    /** \returns the permits of each server that names a limit, or did so within idleRetention. */
    std::vector<IssuedPermits> issued(Instant now) const;

    /** Removes the state of servers that nobody has asked for lately. */
    void removeIdle(Instant now);

private:
    struct Server
    {
        /** The latest known limit; nothing if it has ended. */
        std::optional<double> perSecond;
        /** When the server stated that. */
        Instant statedAt = Instant::min();
        /** When the next permit would be due if permits were issued evenly. */
        Instant nextDue;
        Instant lastQuery;
        /** The first and the last query of daemons that know other daemons than this one. */
        std::optional<Instant> disagreesSince;
        Instant disagreedAt;
        /** When the permits issued lately became or become valid, in order. */
        std::deque<Instant> recent;
    };

    static bool isDisputed(Server &server, bool isSameView, Instant now);
    void applyStatement(Server &server, const PermitQuery &query, Instant now);

    std::map<ServerName, Server> m_servers;
    std::uint64_t m_grantedCount = 0;
};

inline std::uint64_t PermitIssuer::grantedCount() const
{
    return m_grantedCount;
}

} // namespace bulrush

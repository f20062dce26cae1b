#pragma once

#include "process/clock.h"
#include "process/crashrecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/**
 * Determines which requests were in flight at a server that has crashed. A broken connection does
 * not prove a crash: the cause may also be a network cut, a reset or a missing answer. Requests
 * whose connection broke, or that were abandoned, are therefore stored for a while and reported if
 * the server turns out to have crashed.
 *
 * Not thread safe. Instants never decrease.
 */
class CrashWatch
{
public:
    /**
     * Time for which a request without an answer is stored. A server that is cut off
     * from the network is considered stopped after three missed heartbeats, which take about 4.5 s.
     */
    static constexpr Duration requestRetention = std::chrono::seconds{6};
    /** Time for which a crash is stored, for requests whose broken connection is detected later. */
    static constexpr Duration crashRetention = std::chrono::seconds{30};
    /** Maximum number of requests stored for one server: more than its slots and queue hold. */
    static constexpr std::size_t maxRequestsPerServer = 16;
    /** Interval of the connection attempts that check whether a server has crashed. */
    static constexpr Duration livenessCheckInterval = std::chrono::seconds{1};

    /** Reason why a request received no answer from the server to which it was sent. */
    enum class Loss {
        Broke,     ///< the connection broke
        Full,      ///< the connection broke, probably because the server was full
        Abandoned, ///< the deadline passed or the caller disconnected; the work may still run
    };

    /** Records a request without an answer. \returns a report if its server has crashed already. */
    std::optional<CrashReport> lost(const CrashReport &report, Loss loss, Instant now);

    /**
     * Records an answer with \a status to a request. An answer that a server gives because the
     * deadline has passed leaves the work running, so that the request stays stored like one
     * without an answer. \returns whether the answer shows that the request does not crash servers,
     * which only completed work does.
     */
    bool answered(const CrashReport &report, int status, Instant now);

    /** Records that a server has crashed. \returns the reports of the requests in flight there. */
    std::vector<CrashReport> serverEnded(const ServerName &server, Instant now);

    /**
     * Records that \a server accepted a connection or answered: it has survived the requests that
     * it reset because it was full, so that the removal of its record is no sign of their guilt.
     */
    void serverReached(const ServerName &server);

    /** \returns whether requests that were sent to \a server are stored. */
    bool hasRequestsAt(const ServerName &server) const;

    /** Records that \a server answered, which revokes any assumption that it has crashed. */
    void serverAnswered(const ServerName &server);

    /**
     * \returns whether to check now if \a server still listens, and records that check. A check is
     * due if requests got no answer there and the last check was at least one interval ago.
     */
    bool startLivenessCheck(const ServerName &server, Instant now);

    /**
     * \returns the servers at which the connections of requests broke, except those that were
     * reached since they reset requests because they were full.
     */
    std::vector<ServerName> suspectedServers() const;

    /** Removes expired entries. To be called periodically. */
    void forget(Instant now);

private:
    struct Entry
    {
        CrashReport report;
        Loss loss = Loss::Broke;
        Instant since;
    };

    std::map<ServerName, std::vector<Entry>> m_entries;
    std::map<ServerName, Instant> m_checkedAt;
    std::map<ServerName, Instant> m_crashedAt;
};

} // namespace bulrush

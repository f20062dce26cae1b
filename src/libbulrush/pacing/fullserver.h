#pragma once

#include "process/clock.h"
#include "process/serverload.h"
#include "version/identifier.h"

#include <map>
#include <optional>

namespace bulrush {

/** What a connection reset during a request indicates about its server. */
enum class ResetCause {
    Full, ///< the server had no place for the request
    Lost, ///< the server or the path to it failed, or there is no evidence
};

/**
 * Classifies attempts that ended with a connection reset. Some servers reset the connection of a
 * request when their queue is full; others reset connections because they stop or fail. The
 * evidence is what is known of the run of the server: its last reported load, its answers to other
 * requests, and new connections. A reset never shows whether the request ran.
 *
 * Responds to servers that are overloaded by all daemons together. Not thread safe. Instants never
 * decrease.
 */
class FullServer
{
public:
    /**
     * A server that was neither connected to nor answered for this long may have failed meanwhile.
     * A daemon that shares a server with many others sends to it once in a turn
     * (SendPace::maxTurn, 6 s), and some answers take seconds.
     */
    static constexpr Duration reachPeriod = std::chrono::seconds{10};
    /**
     * Time for which a server that has survived a reset is known to reset requests that it has no
     * place for: several turns.
     */
    static constexpr Duration survivalPeriod = std::chrono::seconds{30};
    /**
     * Number of requests waiting from which a queue is considered long. It is well below the length
     * of a full queue: the report is of the moment at which another request ended, and other
     * daemons send in between.
     */
    static constexpr double longQueue = 4.0;
    /**
     * A server that resets this many requests in a row, and answers none for reachPeriod, has
     * failed although it accepts connections. At three times the capacity, two of three requests
     * are reset, and one of 25 series is as long as this.
     */
    static constexpr int maxResetsInRow = 8;

    /** Attempt that ended with a reset. */
    struct Reset
    {
        ServerName server;
        Instant sentAt;
        /** Requests of this daemon in flight at the server, including the one that was reset. */
        int inFlight = 1;
        /** Time that the server needs for one request. */
        Duration serviceTime{};
    };

    /** Records that a connection to \a server was established. */
    void recordConnected(const ServerName &server, Instant now);

    /** Records that \a server answered a request, with the load from its answer. */
    void recordAnswer(const ServerName &server, const std::optional<ServerLoad> &load, Instant now);

    /** \returns the probable cause of \a reset, and records it. */
    ResetCause classify(const Reset &reset, Instant now);

    /** Removes servers without events for a minute. */
    void removeIdle(Instant now);

private:
    struct Run
    {
        std::optional<Instant> connectedAt;
        std::optional<Instant> answeredAt;
        std::optional<Instant> resetAt;
        std::optional<ServerLoad> load;
        Instant reportedAt;
        int resetsInRow = 0;
        Instant lastEvent;
    };

    static bool isQueueLong(const Run &run, const Reset &reset, Instant now);
    static bool isAlive(const Run &run, const Reset &reset, Instant now);

    std::map<ServerName, Run> m_runs;
};

} // namespace bulrush

#pragma once

#include "connection/servicetimeestimate.h"
#include "pacing/pacechange.h"
#include "pacing/routetimes.h"
#include "pacing/sendpace.h"
#include "pacing/serverpace.h"
#include "process/clock.h"
#include "process/serverload.h"
#include "process/serverrecord.h"
#include "version/serviceload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace bulrush {

/** Outcome of an attempt at a server, as far as it indicates the state of the server. */
enum class AttemptOutcome {
    Served,    ///< the server answered
    Failed,    ///< the server answered with an error of its own
    NotRun,    ///< the server rejected the request without executing it
    Unreached, ///< no connection could be established
    Silent,    ///< the answer was missing or incomplete
    Full,      ///< the server reset the connection, probably because its queue is full
    Abandoned, ///< cancelled by this daemon; indicates nothing about the server
};

/** For which servers the pace is found by ServerPace. */
enum class PaceScope {
    All,
    /** Those of services whose servers refuse or reset requests when they are full. */
    ServersThatRefuse,
};

/**
 * Load and health of the backend servers as seen by one traffic thread. The sources are its own
 * requests in flight, which are exact, the load reported in answers, which is delayed and includes
 * the requests of all daemons, and the outcomes of attempts.
 *
 * Not thread safe.
 */
class ServerGauges
{
public:
    /**
     * Each daemon has a window for each server, which limits its requests in flight there. The
     * window grows while fewer requests than windowGrowthLimit wait at the server, and shrinks
     * while at least windowShrinkThreshold wait. Thus all daemons together fill the slots with
     * little waiting, without communication. A server queues about 12 requests; a server whose
     * queue is full may never answer. A window below one means a pause after each request, so that
     * many daemons with one request each do not overload a server.
     */
    static constexpr std::uint32_t windowGrowthLimit = 2;
    static constexpr std::uint32_t windowShrinkThreshold = 4;
    static constexpr double initialWindow = 2.0;
    /**
     * Number of requests that all daemons together may initially have at a server, independent of
     * the number of daemons. Without this limit, 64 daemons with an initial window of two send 128
     * requests to a server that processes two and queues eight.
     */
    static constexpr double initialTotalWindow = 8.0;
    static constexpr double minWindow = 0.1;
    /** How long recordFullServer() has effect. */
    static constexpr Duration fullServerRetention = std::chrono::minutes{10};
    /** Slow starts that began or ended and are kept until takePaceChanges(). */
    static constexpr std::size_t maxPaceChanges = 256;
    /** Time in which the weight of a load report decays by the factor e. */
    static constexpr Duration reportDecayTime = std::chrono::milliseconds{500};
    /**
     * Time in which the weight of a reported slowness decays by the factor e. Machines that are
     * shared with others change their pace several times a second.
     */
    static constexpr Duration slownessDecayTime = std::chrono::milliseconds{200};
    /** A server that could not be reached, or did not answer, is first avoided for this time. */
    static constexpr Duration initialAvoidance = std::chrono::milliseconds{400};
    static constexpr Duration maxAvoidance = std::chrono::seconds{3};
    /** Assumed service time of a request until enough were measured. */
    static constexpr Duration defaultServiceTime = std::chrono::milliseconds{150};

    /** Sets for which servers the pace is found by ServerPace; for all unless this is called. */
    void setPaceScope(PaceScope scope);

    /**
     * Sets the services whose servers are paced by their reports (SendPace) if there are more
     * daemons than places at a server: those that are divided by key, as a request has no other
     * server to go to.
     */
    void setSendPaceServices(std::set<ServiceName> services);

    /** \returns whether the pace of the servers of \a service is found by ServerPace. */
    bool usesServerPace(const ServiceName &service, Instant now) const;

    /** Sets how many daemons send requests to the same servers; 0 if unknown. */
    void setDaemonCount(std::size_t count);

    /** Sets a number that differs between daemons, by which they spread what they do. */
    void setSpreadSeed(std::uint64_t seed);

    /**
     * Records that a server of \a service refused or reset a request because it was full. For
     * fullServerRetention afterwards, its servers are paced by SendPace if there are more daemons
     * than places at a server, and the pace of started and recovered ones is found by ServerPace.
     */
    void recordFullServer(const ServiceName &service, Instant now);

    /** Records that an attempt is sent. */
    void attemptStarted(const ServerName &server, Instant now);

    /** Records the outcome of an attempt that took \a latency, with the load from its answer. */
    void attemptEnded(const ServerName &server, AttemptOutcome sign, Duration latency,
                      const std::optional<ServerLoad> &load, Instant now);

    /**
     * Records that \a server of \a service answered a request by \a route, which took \a latency,
     * with \a load. Counts only if no requests waited there.
     */
    void recordRouteTime(const ServiceName &service, const ServerName &server,
                         std::string_view route, Duration latency, const ServerLoad &load,
                         Instant now);

    /**
     * Records that \a server asked for a pause: afterwards it first gets as few requests as a
     * server that was never used.
     */
    void recordBackoff(const ServerName &server);

    /**
     * Begins the slow start of a run that is or was cold, unless that was done before. Until its
     * end, ServerPace determines the window.
     */
    void beginPace(const ServerName &server, const PaceTerms &terms, Instant now);

    /**
     * \returns the slow starts that began or ended since the last call; at most maxPaceChanges,
     * later ones are omitted.
     */
    std::vector<PaceChange> takePaceChanges();

    /** \returns the estimated number of requests that run or wait at \a server now. */
    double outstanding(const ServerName &server, Instant now) const;

    /** \returns whether the window permits another request to \a server. */
    bool hasRoom(const ServerRecord &server, Instant now) const;

    /**
     * \returns whether \a server repeatedly did not answer just now, or repeatedly could not be
     * connected to since it was last reached.
     */
    bool isUnreachable(const ServerName &server, Instant now) const;

    /** \returns the servers for which isUnreachable() holds. */
    std::vector<ServerName> unreachableServers(Instant now) const;

    /**
     * \returns at most \a most servers to which a connection should be tried now, because requests
     * could not connect to them. Each counts as tried.
     */
    std::vector<ServerName> takeDueProbes(std::size_t most, Instant now);

    /** Records whether a connection without a request could be established to \a server. */
    void recordProbe(const ServerName &server, bool isConnected, Instant now);

    /**
     * Records that the paths to \a servers are lost: they are unreachable until a probe or an
     * answer shows otherwise.
     */
    void recordPathsLost(std::span<const ServerName> servers, Instant now);

    /** Records that the paths to \a servers are back, so that earlier failures mean nothing. */
    void recordPathsRestored(std::span<const ServerName> servers);

    /** Makes the probes of all servers due. */
    void expireAvoidance(Instant now);

    /** \returns whether \a server failed recently, so that other servers are preferred. */
    bool isAvoided(const ServerName &server, Instant now) const;

    /** \returns the expected time of another request at \a server, including waiting. */
    Duration expectedLatency(const ServerRecord &server, Instant now) const;

    /**
     * Like the other overload, for a request by \a route if the routes of its service are known to
     * differ.
     */
    Duration expectedLatency(const ServerRecord &server, std::string_view route, Instant now) const;

    /** \returns the mean time after which a busy \a server has a free slot again. */
    Duration slotTime(const ServerRecord &server) const;

    /** \returns the measured service time of \a server without waiting, if known. */
    std::optional<Duration> serviceTime(const ServerName &server) const;

    /**
     * \returns the number of requests per second that this daemon can complete at \a server: the
     * rate that its window allows, or its recent completion rate if that is higher; 0 if unknown.
     * The completion rate alone would be too low where this daemon sent few requests, which is the
     * usual case with many daemons.
     */
    double completionRate(const ServerName &server, Instant now) const;

    /** Like the other overload; for a server that SendPace paces, by its current wait. */
    double completionRate(const ServerRecord &server, Instant now) const;

    /**
     * \returns the expected time until the window permits another request to \a server, if
     * SendPace paces it; nothing otherwise.
     */
    std::optional<Duration> roomIn(const ServerRecord &server, Instant now) const;

    /** \returns the measurements of requests that did not wait, since the last call. */
    std::vector<ServerWork> takeWork();

    /** \returns the number of this daemon's own requests in flight at \a server. */
    int inFlight(const ServerName &server) const;

    /** Removes servers that were unused for a long time and have no requests in flight. */
    void removeIdle(Instant now);

private:
    struct Gauge
    {
        /** Instants at which the attempts in flight were sent. */
        std::multiset<Instant> sentAt;
        double window = initialWindow;
        SendPace sendPace;
        /** End and duration of the last attempt. */
        Instant endedAt;
        Duration lastLatency{};
        /** Completions, with a half-life of rateHalfLife. */
        double completions = 0.0;
        Instant completedAt;
        /** Measured since the last call of takeWork(). */
        Duration workTime{};
        std::uint32_t workCount = 0;
        /** Reported load in excess of this daemon's own requests at the time. */
        double foreignLoad = 0.0;
        Instant reportedAt;
        /** Last reported slowness of the server's machine; 1 is the usual value. */
        double slowness = 1.0;
        Instant slownessAt;
        ServiceTimeEstimate serviceTime{defaultServiceTime};
        int measurementCount = 0;
        /** Fraction of recent attempts that failed, from 0 to 1. */
        double failureRate = 0.0;
        int consecutiveUnanswered = 0;
        /** The last attempt could not connect, and no connection was established since. */
        bool isUnconnectable = false;
        Instant avoidedUntil;
        Instant lastUsed;
        ServerPace pace;
        /** Whether \a pace is in use. */
        bool usesServerPace = true;

        int inFlight() const;
        /** \returns the factor by which work probably takes longer than usual at \a now. */
        double expectedSlowness(Instant now) const;
    };

    const Gauge *find(const ServerName &server) const;
    Gauge &gaugeOf(const ServerName &server);
    static void recordFull(Gauge &gauge);
    void recordSendPace(Gauge &gauge, AttemptOutcome sign, const std::optional<ServerLoad> &load,
                        Instant now) const;
    bool usesSendPace(const ServerRecord &server, Instant now) const;
    bool hasRefusedLately(const ServiceName &service, Instant now) const;
    static int sendPaceLimit(const Gauge &gauge);
    Duration latencyOf(double ownWork, const ServerRecord &server, Instant now) const;
    double workAt(const ServerName &server) const;
    void recordOutcome(Gauge &gauge, AttemptOutcome sign, Duration latency,
                       const std::optional<ServerLoad> &load, Instant now);
    void applyPace(const ServerName &server, Gauge &gauge, const PaceSample &sample,
                   Duration measured, Instant now);
    void recover(const ServerName &server, Gauge &gauge, PaceCause cause, Instant now);
    void notePace(const ServerName &server, const Gauge &gauge, Instant now);
    static Duration measuredTime(const Gauge &gauge);
    static void recordUnanswered(Gauge &gauge, Instant now);
    static void applyLoad(Gauge &gauge, const ServerLoad &load, Instant now);

    std::map<ServerName, Gauge> m_gauges;
    RouteTimes m_routeTimes;
    std::vector<PaceChange> m_paceChanges;
    double m_initialWindow = initialWindow;
    std::size_t m_daemonCount = 0;
    std::uint64_t m_spreadSeed = 0;
    PaceScope m_paceScope = PaceScope::All;
    std::set<ServiceName> m_sendPaceServices;
    /** When a full server of a service last refused or reset a request. */
    std::map<ServiceName, Instant> m_fullServers;
};

inline void ServerGauges::setPaceScope(PaceScope scope)
{
    m_paceScope = scope;
}

inline void ServerGauges::setSendPaceServices(std::set<ServiceName> services)
{
    m_sendPaceServices = std::move(services);
}

inline void ServerGauges::setSpreadSeed(std::uint64_t seed)
{
    m_spreadSeed = seed;
}

inline int ServerGauges::Gauge::inFlight() const
{
    return static_cast<int>(sentAt.size());
}

} // namespace bulrush

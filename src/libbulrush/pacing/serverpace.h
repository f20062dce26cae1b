#pragma once

#include "process/clock.h"
#include "process/serverload.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bulrush {

struct KnownServer;

/** Why the pace of a server has to be found anew. */
enum class PaceCause {
    Start,    ///< a run that is or was cold
    Slowdown, ///< consecutive answers were slow although no request waited
    Freeze,   ///< requests had no answers for a while, and have again
    Cut,      ///< no connection could be established for a while, and can be again
    Pause,    ///< the server asked for a pause
};

/** How an attempt ended, as far as it shows the pace of the server. */
enum class PaceSign {
    Answered,
    Refused,   ///< rejected without execution
    Unreached, ///< no connection could be established
    Missing,   ///< no complete answer
    Withdrawn, ///< cancelled by this daemon; shows that the answer took longer than that
};

/** Outcome of an attempt as input for ServerPace. */
struct PaceSample
{
    PaceSign sign = PaceSign::Answered;
    Duration latency{};
    /** The load reported in the answer; empty if there is none. */
    std::optional<ServerLoad> load;
    /** This daemon's other requests in flight at the server. */
    int inFlight = 0;
};

/** Conditions under which a slow start begins. */
struct PaceTerms
{
    PaceCause cause = PaceCause::Start;
    /** Requests in flight that this daemon may have at first. */
    double window = 1.0;
    /** Lower bound of the window, so that answers go on. */
    double floor = 0.1;
    /** Time of a request at the idle server; zero if unknown. */
    Duration reference{};
    /** The server is cold until then, so that slow start does not end before. */
    Instant coldUntil{};
    /** This daemon sends no request before. */
    Instant notBefore{};
};

/** What the start of a slow start depends on besides the server. */
struct PaceFleet
{
    /** Number of daemons that send to the same servers; 0 if unknown. */
    std::size_t daemonCount = 0;
    /** Rank of this daemon for the server, see SlowStart::rankOf(). */
    std::optional<std::size_t> rank;
    /** Place of this daemon among all, from 0 to 1; used where it has no rank. */
    double place = 0.0;
    /** Time of a request at the idle server; zero if unknown. */
    Duration reference{};
    /**
     * The server attracts the requests of all daemons at once, because it is idle. Owners of keys
     * get the requests for their keys only.
     */
    bool isSpread = false;
};

/**
 * Slow start of one run of a server at one daemon: how many requests in flight this daemon may have
 * there until the server answers as before. Similar to the congestion window of TCP: the window
 * doubles while answers are as fast as from an idle server and no request waits there, holds if
 * they are neither fast nor slow, and steps back if answers are slow, requests wait, are refused or
 * get no answer. Between slow starts, it only observes whether the server has trouble.
 *
 * The load that it responds to is that of the server: its reported waiting requests, which count
 * the requests of all daemons, and the latency, which a wrong report can't hide.
 *
 * Not thread safe.
 */
class ServerPace
{
public:
    /**
     * Up to this multiple of the reference, an answer is as fast as from an idle server. The work
     * of a request varies, and the slowest machines of a service take 1.7 times the mean.
     */
    static constexpr double fastFactor = 2.5;
    /**
     * From this multiple of the reference on, an answer is slow. A server whose full queue is four
     * times its slots answers after five service times; the step back has to come before.
     */
    static constexpr double slowFactor = 3.5;
    /** Largest remaining fraction of the window at a step back. */
    static constexpr double stepFactor = 0.5;
    /** The same after a refusal, as the queue of the server is full. */
    static constexpr double refusedFactor = 0.1;
    /** Part of the first window that a step back leaves at least, so that answers go on. */
    static constexpr double floorFactor = 0.5;
    /**
     * Up to this multiple of the reference, an answer that reports a free slot permits a whole
     * request at once. A lower bound than fastFactor, as a wrong report must not do that for long.
     */
    static constexpr double freeFactor = 1.25;
    /** Bounds in place of fastFactor and slowFactor once a report was contradicted by latency. */
    static constexpr double unreportedFastFactor = 1.25;
    static constexpr double unreportedSlowFactor = 1.75;
    /**
     * Part of the slots that first requests of daemons without an answer may occupy. They can't
     * respond to the load: the server may be twice as slow as assumed, and two groups of daemons
     * that do not know of each other send twice as many.
     */
    static constexpr double blindShare = 0.2;
    /** Factor by which a cold server is assumed to be slower. */
    static constexpr double coldFactor = 2.0;
    /** Maximum time over which the first requests of all daemons are spread. */
    static constexpr Duration maxSpread = std::chrono::seconds{30};
    /** Slow start ends after this time in any case, as its reference may be wrong or outdated. */
    static constexpr Duration maxDuration = std::chrono::minutes{1};
    /** Consecutive answers as fast as before that end a slow start. */
    static constexpr int endThreshold = 3;
    /**
     * Consecutive slow answers that are a slowdown. If 3 of 100 requests take seven times the mean,
     * four in a row occur once in a million.
     */
    static constexpr int slowdownThreshold = 4;
    /**
     * Consecutive slow answers with a report of free slots that show the report to be wrong. A
     * single one may be a request that takes long.
     */
    static constexpr int contradictionThreshold = 2;
    /** Consecutive attempts without an answer that are a freeze. */
    static constexpr int freezeThreshold = 2;

    /**
     * \returns whether \a server is cold, or was within the last SlowStart::rampDuration. False if
     * neither a cold time nor a cold rate is stated.
     */
    static bool isStarting(const KnownServer &server, Instant now);

    /**
     * \returns the terms of the slow start of \a server, or nothing if isStarting() does not hold.
     */
    static std::optional<PaceTerms> startTerms(const KnownServer &server, const PaceFleet &fleet,
                                               Instant now);

    /**
     * Begins a slow start, also during another one. \returns false, without effect, if it is that
     * of a start, and the run had one before.
     */
    bool begin(const PaceTerms &terms, Instant now);

    /**
     * Applies the outcome of an attempt, including one before any slow start. \a measured is the
     * service time measured in this run so far, or zero if unknown. \returns the cause for which a
     * slow start has to begin, if the outcome shows a slowdown, or the end of other trouble.
     */
    std::optional<PaceCause> recordOutcome(const PaceSample &sample, Duration measured,
                                           Instant now);

    /**
     * Records that a connection without a request was established. \returns the cause for which a
     * slow start has to begin, as recordOutcome() does.
     */
    std::optional<PaceCause> recordConnected();

    /** \returns the service time measured in this run before its trouble; zero if unknown. */
    Duration usualTime() const;

    /** \returns whether a slow start is in progress. */
    bool isActive() const;

    /** \returns the number of requests in flight that this daemon may have; may be below one. */
    double window() const;

    /** \returns whether a request may be sent at \a now as far as its first instant decides. */
    bool maySendAt(Instant now) const;

    /**
     * \returns the time of a request by which to determine the pause that a window below one means,
     * if the last one took \a latency. In slow start it is at most fastFactor times the reference:
     * after a longer pause, the end of a slowdown would be noticed too late.
     */
    Duration pauseBase(Duration latency) const;

    /** \returns why the present or last slow start began. */
    PaceCause cause() const;

    /** \returns when the present or last slow start began. */
    Instant begunAt() const;

    /** \returns the number of steps back in the present or last slow start. */
    std::uint32_t stepCount() const;

private:
    enum class Verdict { Grow, Hold, Back };

    std::optional<PaceCause> observe(const PaceSample &sample, Duration measured);
    void checkReport(const PaceSample &sample);
    bool hasOtherReason(const PaceSample &refusal) const;
    double slownessOf(const PaceSample &sample) const;
    void pauseAfter(const PaceSample &refusal, Instant now);
    Verdict verdictOn(const PaceSample &sample) const;
    void grow(const PaceSample &sample);
    double stepFactorFor(const PaceSample &sample) const;
    void stepBack(const PaceSample &sample, Instant now);
    bool isOver(const PaceSample &sample, Verdict verdict, Instant now) const;

    PaceTerms m_terms;
    Duration m_reference{};
    Duration m_usualTime{};
    double m_window = 1.0;
    Instant m_begunAt;
    /** Requests sent before do not cause another step back. */
    Instant m_steppedAt;
    std::uint32_t m_stepCount = 0;
    int m_fastCount = 0;
    int m_slowCount = 0;
    int m_missingCount = 0;
    int m_contradictionCount = 0;
    /** Latency of the last answer as a multiple of the reference. */
    double m_lastSlowness = 0.0;
    bool m_isUnconnectable = false;
    /** A report of free slots was contradicted by the latency of its answer. */
    bool m_isReportWrong = false;
    bool m_isActive = false;
    bool m_hasStarted = false;
};

inline bool ServerPace::isActive() const
{
    return m_isActive;
}

inline double ServerPace::window() const
{
    return m_window;
}

inline bool ServerPace::maySendAt(Instant now) const
{
    return !m_isActive || now >= m_terms.notBefore;
}

inline Duration ServerPace::usualTime() const
{
    return m_usualTime;
}

inline PaceCause ServerPace::cause() const
{
    return m_terms.cause;
}

inline Instant ServerPace::begunAt() const
{
    return m_begunAt;
}

inline std::uint32_t ServerPace::stepCount() const
{
    return m_stepCount;
}

} // namespace bulrush

#pragma once

#include "process/clock.h"

#include <cstddef>
#include <optional>

namespace bulrush {

/** Phase of a daemon's graceful shutdown. */
enum class DrainPhase {
    Serving,   ///< accepts new work
    Announced, ///< still accepts new work while the load balancer and peers are notified
    Refusing,  ///< refuses new work as not run; work in flight continues
    Finished,  ///< no work is in flight; the process may exit
    Overdue,   ///< the deadline has passed with work in flight; an operator has to intervene
};

/** Time limits of a graceful shutdown. */
struct DrainLimits
{
    /** How long new work is accepted after the start of the drain. */
    Duration announcement = std::chrono::seconds{2};
    /** Time limit for work in flight, counted from the start of the drain. */
    Duration deadline = std::chrono::minutes{30};
};

/**
 * The graceful shutdown of a daemon: new work is refused after a few seconds, and work in flight is
 * never interrupted. At the deadline the drain reports that it is overdue and keeps waiting; only
 * an operator may stop a process that has work in flight.
 *
 * Not thread safe.
 */
class Drain
{
public:
    explicit Drain(DrainLimits limits = {});

    /** Starts the shutdown. A second call changes nothing. */
    void start(Instant now);

    /** Counts accepted work. \pre acceptsWork() */
    void workStarted();

    /** Counts finished work: answered, or the caller disconnected. \pre work was started */
    void workEnded();

    DrainPhase phase(Instant now) const;
    bool acceptsWork(Instant now) const;
    std::size_t inFlight() const;

    /** \returns the next time-based change of phase(), or nothing if there is none. */
    std::optional<Instant> nextDue(Instant now) const;

private:
    DrainLimits m_limits;
    std::optional<Instant> m_startedAt;
    std::size_t m_inFlight = 0;
};

inline std::size_t Drain::inFlight() const
{
    return m_inFlight;
}

} // namespace bulrush

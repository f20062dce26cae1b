#include "process/drain.h"

namespace bulrush {

Drain::Drain(DrainLimits limits)
    : m_limits(limits)
{ }

void Drain::start(Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
}

void Drain::workStarted()
{
    ++m_inFlight;
}

void Drain::workEnded()
{
    --m_inFlight;
}

DrainPhase Drain::phase(Instant now) const
{
    if (!m_startedAt)
        return DrainPhase::Serving;
    if (now < *m_startedAt + m_limits.announcement)
        return DrainPhase::Announced;
    if (m_inFlight == 0)
        return DrainPhase::Finished;
    return now < *m_startedAt + m_limits.deadline ? DrainPhase::Refusing : DrainPhase::Overdue;
}

bool Drain::acceptsWork(Instant now) const
{
    const DrainPhase current = phase(now);
    return current == DrainPhase::Serving || current == DrainPhase::Announced;
}

std::optional<Instant> Drain::nextDue(Instant now) const
{
    switch (phase(now)) {
    case DrainPhase::Announced:
        return *m_startedAt + m_limits.announcement;
    case DrainPhase::Refusing:
        return *m_startedAt + m_limits.deadline;
    case DrainPhase::Serving:
    case DrainPhase::Finished:
    case DrainPhase::Overdue:
        break;
    }
    return std::nullopt;
}

} // namespace bulrush

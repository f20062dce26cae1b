#include "pacing/fullserver.h"

#include <algorithm>

namespace bulrush {

namespace {

constexpr Duration idleRetention = std::chrono::minutes{1};

bool isWithin(const std::optional<Instant> &instant, Duration period, Instant now)
{
    return instant && now - *instant <= period;
}

} // namespace

void FullServer::recordConnected(const ServerName &server, Instant now)
{
    Run &run = m_runs[server];
    run.connectedAt = now;
    run.lastEvent = now;
}

void FullServer::recordAnswer(const ServerName &server, const std::optional<ServerLoad> &load,
                              Instant now)
{
    Run &run = m_runs[server];
    run.answeredAt = now;
    run.lastEvent = now;
    run.resetsInRow = 0;
    if (!load)
        return;
    run.load = load;
    run.reportedAt = now;
}

ResetCause FullServer::classify(const Reset &reset, Instant now)
{
    Run &run = m_runs[reset.server];
    run.lastEvent = now;
    const bool isReached =
        isWithin(run.connectedAt, reachPeriod, now) || isWithin(run.answeredAt, reachPeriod, now);
    const bool isFailing =
        ++run.resetsInRow > maxResetsInRow && !isWithin(run.answeredAt, reachPeriod, now);
    const bool isFull =
        isReached && !isFailing && (isQueueLong(run, reset, now) || isAlive(run, reset, now));
    run.resetAt = now;
    return isFull ? ResetCause::Full : ResetCause::Lost;
}

/** \returns whether the reported requests that are still there, and own ones, make a long queue. */
bool FullServer::isQueueLong(const Run &run, const Reset &reset, Instant now)
{
    if (!run.load || reset.serviceTime <= Duration::zero())
        return false;
    const double slots = std::max(1U, run.load->slots);
    const double reported =
        static_cast<double>(run.load->running) + static_cast<double>(run.load->waiting);
    const double completed = slots * std::chrono::duration<double>(now - run.reportedAt).count()
        / std::chrono::duration<double>(reset.serviceTime).count();
    const double present = std::max(0.0, reported - completed) + reset.inFlight;
    return present >= slots + longQueue;
}

/**
 * \returns whether the server answered another request after this one was sent, or has survived an
 * earlier reset: it answered or accepted a connection since.
 */
bool FullServer::isAlive(const Run &run, const Reset &reset, Instant now)
{
    if (run.answeredAt && *run.answeredAt > reset.sentAt)
        return true;
    if (!isWithin(run.resetAt, survivalPeriod, now))
        return false;
    return (run.answeredAt && *run.answeredAt > *run.resetAt)
        || (run.connectedAt && *run.connectedAt > *run.resetAt);
}

void FullServer::removeIdle(Instant now)
{
    std::erase_if(m_runs,
                  [now](const auto &run) { return now - run.second.lastEvent > idleRetention; });
}

} // namespace bulrush

#include "pacing/slowstart.h"

#include "process/rendezvousorder.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Time for which the last request to a server is stored. */
constexpr Duration sendRetention = std::chrono::minutes{1};
/** Lower bound of the cold rate, in requests per second. Its pause is within sendRetention. */
constexpr double minColdRate = 0.1;

/** \returns the time between two requests of one daemon to a server with the given cold rate. */
Duration pauseOf(double coldRate)
{
    const std::chrono::duration<double> pause{SlowStart::senderCount
                                              / std::max(coldRate, minColdRate)};
    return std::chrono::duration_cast<Duration>(pause);
}

} // namespace

std::optional<std::size_t> SlowStart::rankOf(const ServerRecord &server, const HostName &self,
                                             std::span<const DaemonLocation> daemons)
{
    return RendezvousOrder{server.id, server.domain}.rankOf(self, daemons);
}

bool SlowStart::isActive(const KnownServer &server, Instant now)
{
    return server.coldRate > 0.0 && now < server.coldUntil + rampDuration;
}

SlowStartAdmission SlowStart::admission(const KnownServer &server, std::optional<std::size_t> rank,
                                        std::size_t daemonCount, Instant now) const
{
    if (!isActive(server, now))
        return SlowStartAdmission::Admitted;
    const bool isCold = server.isCold(now);
    // A daemon that the others do not know waits until all others have begun.
    if (!rank)
        return SlowStartAdmission::NotSender;
    if (!isCold) {
        const double elapsed = std::chrono::duration<double>(now - server.coldUntil)
            / std::chrono::duration<double>(rampDuration);
        const double senders = senderCount + elapsed * static_cast<double>(daemonCount);
        return static_cast<double>(*rank) < senders ? SlowStartAdmission::Admitted
                                                    : SlowStartAdmission::NotSender;
    }
    if (*rank >= senderCount)
        return SlowStartAdmission::NotSender;
    const auto sentAt = m_sentAt.find(server.record.id);
    return sentAt != m_sentAt.end() && now - sentAt->second < pauseOf(server.coldRate)
        ? SlowStartAdmission::Paced
        : SlowStartAdmission::Admitted;
}

void SlowStart::recordSend(const KnownServer &server, Instant now)
{
    if (server.coldRate > 0.0 && server.isCold(now))
        m_sentAt[server.record.id] = now;
}

void SlowStart::removeExpired(Instant now)
{
    std::erase_if(m_sentAt,
                  [now](const auto &entry) { return now - entry.second > sendRetention; });
}

} // namespace bulrush

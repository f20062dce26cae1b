#include "process/serverlimits.h"

#include <algorithm>
#include <utility>

namespace bulrush {

LimitChange ServerLimits::recordAnswer(const ServerName &server, const LimitStatement &statement,
                                       bool wasRun, Instant sentAt, Instant now)
{
    if (const auto *rate = std::get_if<RateLimit>(&statement))
        return applyRate(server, rate->perSecond, sentAt, now);
    if (std::holds_alternative<UnreadableLimit>(statement))
        return LimitChange::Unreadable;
    return wasRun ? applyAbsence(server, sentAt, now) : LimitChange::None;
}

bool ServerLimits::recordSend(const ServerName &server)
{
    const auto limit = m_limits.find(server);
    if (limit == m_limits.end())
        return false;
    ++limit->second.sentCount;
    return true;
}

void ServerLimits::applyEnd(const ServerName &server, Instant namedAt)
{
    const auto limit = m_limits.find(server);
    if (limit != m_limits.end() && limit->second.namedAt <= namedAt)
        m_limits.erase(limit);
}

void ServerLimits::close(const ServerName &server, Instant instant)
{
    const auto limit = m_limits.find(server);
    if (limit != m_limits.end())
        limit->second.closedUntil = instant;
}

const KnownLimit *ServerLimits::find(const ServerName &server) const
{
    const auto limit = m_limits.find(server);
    return limit == m_limits.end() ? nullptr : &limit->second;
}

std::vector<LimitReport> ServerLimits::takeReports(Instant now)
{
    std::vector<LimitReport> reports;
    for (const auto &[server, limit] : m_limits)
        reports.push_back({server, limit.perSecond, now - limit.namedAt});
    for (const auto &[server, endedAt] : std::exchange(m_endedAt, {})) {
        if (!m_limits.contains(server))
            reports.push_back({server, std::nullopt, now - endedAt});
    }
    return reports;
}

void ServerLimits::remove(const ServerName &server)
{
    m_limits.erase(server);
}

LimitChange ServerLimits::applyRate(const ServerName &server, double perSecond, Instant sentAt,
                                    Instant now)
{
    const auto [limit, isNew] = m_limits.try_emplace(server, KnownLimit{perSecond, now, now});
    if (isNew)
        return LimitChange::Named;
    KnownLimit &known = limit->second;
    const bool isNewer = sentAt >= known.namedAt;
    const double next = isNewer ? perSecond : std::min(perSecond, known.perSecond);
    const bool hasChanged = next != known.perSecond;
    known.perSecond = next;
    known.namedAt = now;
    return hasChanged ? LimitChange::Changed : LimitChange::None;
}

LimitChange ServerLimits::applyAbsence(const ServerName &server, Instant sentAt, Instant now)
{
    const auto limit = m_limits.find(server);
    if (limit == m_limits.end() || sentAt < limit->second.namedAt)
        return LimitChange::None;
    m_limits.erase(limit);
    m_endedAt[server] = now;
    return LimitChange::Ended;
}

} // namespace bulrush

#include "process/permitissuer.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::size_t primaryRank = 0;
constexpr std::size_t backupRank = 1;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

/** \returns the permits per second that are issued in \a role for a server with \a limit. */
double rateOf(double limit, IssuerRole role)
{
    const double fraction =
        role == IssuerRole::Primary ? PermitIssuer::primaryFraction : PermitIssuer::backupFraction;
    return std::max(PermitIssuer::minRate, fraction * limit);
}

Duration intervalOf(double limit, IssuerRole role)
{
    return scaled(std::chrono::seconds{1}, 1.0 / rateOf(limit, role));
}

} // namespace

IssuerRole PermitIssuer::roleOf(std::optional<std::size_t> rank)
{
    if (rank == primaryRank)
        return IssuerRole::Primary;
    return rank == backupRank ? IssuerRole::Backup : IssuerRole::None;
}

PermitAnswer PermitIssuer::answer(const PermitQuery &query, IssuerRole ownRole, Instant now,
                                  std::uint64_t ownView)
{
    Server &server = m_servers[query.server];
    server.lastQuery = now;
    applyStatement(server, query, now);
    if (!server.perSecond)
        return {PermitOutcome::LimitEnded, Duration::zero()};
    const bool isSameView = query.view.value_or(ownView) == ownView;
    const IssuerRole most =
        isDisputed(server, isSameView, now) ? IssuerRole::Backup : IssuerRole::Primary;
    const IssuerRole role = std::min({query.role, ownRole, most});
    const Duration interval = intervalOf(*server.perSecond, role);
    if (role == IssuerRole::None)
        return {PermitOutcome::Refused, interval};
    const Duration tolerance = role == IssuerRole::Primary
        ? scaled(interval, primaryBurst - 1.0) + burstSpan
        : Duration::zero();
    const Duration wait = std::max(Duration::zero(), server.nextDue - tolerance - now);
    if (wait > query.maxWait)
        return {PermitOutcome::Refused, wait};
    server.nextDue = std::max(server.nextDue, now) + interval;
    ++m_grantedCount;
    server.recent.push_back(now + wait);
    while (server.recent.front() < now - recentPeriod)
        server.recent.pop_front();
    return {PermitOutcome::Granted, wait};
}

/** Records a query. \returns whether daemons have disagreed for long about who exists. */
bool PermitIssuer::isDisputed(Server &server, bool isSameView, Instant now)
{
    if (server.disagreesSince && now - server.disagreedAt > agreementPeriod)
        server.disagreesSince.reset();
    if (!isSameView) {
        server.disagreesSince = server.disagreesSince.value_or(now);
        server.disagreedAt = now;
    }
    return server.disagreesSince && now - *server.disagreesSince >= toleratedDisagreement;
}

/** Applies the limit in \a query, unless a later statement of the server is known. */
void PermitIssuer::applyStatement(Server &server, const PermitQuery &query, Instant now)
{
    const Instant statedAt = now - query.statedAgo;
    if (statedAt < server.statedAt)
        return;
    server.statedAt = statedAt;
    const std::optional<double> previous = std::exchange(server.perSecond, query.perSecond);
    // What is still to be waited for is paid back at the new rate.
    if (previous && query.perSecond && server.nextDue > now)
        server.nextDue = now
            + scaled(server.nextDue - now,
                     rateOf(*previous, IssuerRole::Primary)
                         / rateOf(*query.perSecond, IssuerRole::Primary));
}

std::vector<IssuedPermits> PermitIssuer::issued(Instant now) const
{
    std::vector<IssuedPermits> all;
    for (const auto &[id, server] : m_servers) {
        const auto recent = std::ranges::count_if(server.recent, [now](Instant validFrom) {
            return validFrom > now - recentPeriod && validFrom <= now;
        });
        all.push_back({id, server.perSecond, static_cast<std::size_t>(recent)});
    }
    return all;
}

void PermitIssuer::removeIdle(Instant now)
{
    std::erase_if(m_servers, [now](const auto &entry) {
        return now - entry.second.lastQuery > idleRetention;
    });
}

} // namespace bulrush

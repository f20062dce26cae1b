#include "request/relaychooser.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace bulrush {

namespace {

/** Bounds the weight of a host that announces no or hardly any processors. */
constexpr double minProcessors = 0.01;

} // namespace

RelayChooser::RelayChooser(DomainName ownDomain)
    : m_ownDomain(std::move(ownDomain))
{ }

void RelayChooser::setDaemons(std::vector<RelayDaemon> daemons)
{
    m_daemons = std::move(daemons);
}

const RelayDaemon *RelayChooser::choose(const RelayDemand &demand, Instant now) const
{
    if (isDown(demand.target, now))
        return nullptr;
    const auto wasDomainTried = [&](const DomainName &domain) {
        return std::ranges::any_of(m_daemons, [&](const RelayDaemon &other) {
            return other.domain == domain
                && std::ranges::find(demand.tried, other.host) != demand.tried.end();
        });
    };
    using Rank = std::tuple<bool, bool, bool, double, std::uint64_t>;
    const auto rankOf = [&](const RelayDaemon &daemon) -> Rank {
        const bool isThirdDomain =
            daemon.domain != m_ownDomain && daemon.domain != demand.targetDomain;
        const Health *health = find(daemon.host);
        const double inFlight = health ? static_cast<double>(health->inFlight) : 0.0;
        const std::string &name = daemon.host.value();
        return {!hasReached(daemon.host, demand.target, now), wasDomainTried(daemon.domain),
                isThirdDomain, inFlight / std::max(minProcessors, daemon.processors),
                XXH3_64bits_withSeed(name.data(), name.size(), demand.salt)};
    };
    const RelayDaemon *best = nullptr;
    Rank bestRank;
    for (const RelayDaemon &daemon : m_daemons) {
        if (!isUsable(daemon, demand, now))
            continue;
        const Rank rank = rankOf(daemon);
        if (!best || rank < bestRank) {
            best = &daemon;
            bestRank = rank;
        }
    }
    return best;
}

void RelayChooser::recordSent(const HostName &host, Instant now)
{
    Health &health = m_health[host];
    ++health.inFlight;
    ++health.sent;
    health.lastUsed = now;
}

void RelayChooser::recordEnded(const HostName &host)
{
    Health &health = m_health[host];
    health.inFlight -= std::min<std::size_t>(health.inFlight, 1);
}

void RelayChooser::recordUsable(const HostName &host)
{
    Health &health = m_health[host];
    health.consecutiveFailures = 0;
    health.avoidedUntil = {};
}

void RelayChooser::recordAnswered(const HostName &host, const std::string &target, Instant now,
                                  const DomainName &targetDomain)
{
    ++m_health[host].answered;
    recordUsable(host);
    const DomainName domain = domainOf(host);
    m_domains.recordReached(domain, {});
    m_domains.recordReached(domain, targetDomain);
    m_answeredAt[{target, host}] = now;
    m_deniedUntil.erase({target, host});
}

void RelayChooser::recordUnusable(const HostName &host, Instant now)
{
    constexpr int maxDoublings = 3;
    Health &health = m_health[host];
    ++health.refused;
    // Several requests may have been in flight when the daemon failed; they count once.
    if (now < health.avoidedUntil)
        return;
    const int doublings = std::min(health.consecutiveFailures++, maxDoublings);
    health.avoidedUntil = now + std::min(maxAvoidance, initialAvoidance * (1 << doublings));
}

void RelayChooser::recordCutOff(const HostName &host, Instant now)
{
    recordUnusable(host, now);
    const DomainName domain = domainOf(host);
    if (domain.isEmpty())
        return;
    const bool isShared = domain == m_ownDomain && !m_isReachingServers;
    m_domains.recordFailure(
        {domain, {}, host, {}}, daemonCount(domain),
        isShared ? DomainBackoffs::initialOwnPeriod : DomainBackoffs::initialPeriod, now);
}

void RelayChooser::setReachingServers(bool isReaching)
{
    // The own domain has paths if this daemon has.
    if (isReaching && !m_isReachingServers)
        m_domains.recordReached(m_ownDomain, {});
    m_isReachingServers = isReaching;
}

std::vector<DomainBackoffs::Entry> RelayChooser::domainBackoffs(Instant now) const
{
    return m_domains.entries(now);
}

void RelayChooser::recordDenied(const HostName &host, const std::string &target, Instant now,
                                const DomainName &targetDomain)
{
    ++m_health[host].refused;
    const DomainName domain = domainOf(host);
    if (!domain.isEmpty() && !targetDomain.isEmpty())
        m_domains.recordFailure({domain, targetDomain, host, target}, daemonCount(domain),
                                DomainBackoffs::initialPeriod, now);
    m_deniedUntil[{target, host}] = now + denialPeriod;
    m_answeredAt.erase({target, host});
}

std::vector<RelayChooser::Use> RelayChooser::uses(Instant now) const
{
    std::vector<Use> uses;
    for (const auto &[host, health] : m_health)
        uses.push_back({host, health.inFlight, health.sent, health.answered, health.refused,
                        std::max(Duration::zero(), health.avoidedUntil - now)});
    return uses;
}

void RelayChooser::removeExpired(Instant now)
{
    std::erase_if(m_deniedUntil, [now](const auto &entry) { return entry.second <= now; });
    m_domains.removeExpired(now);
    std::erase_if(m_answeredAt,
                  [now](const auto &entry) { return now - entry.second >= answeredPeriod; });
    std::erase_if(m_health, [now](const auto &entry) {
        const Health &health = entry.second;
        return health.inFlight == 0 && now >= health.avoidedUntil + maxAvoidance
            && now - health.lastUsed > useRetention;
    });
}

bool RelayChooser::isUsable(const RelayDaemon &daemon, const RelayDemand &demand, Instant now) const
{
    const Health *health = find(daemon.host);
    return std::ranges::find(demand.tried, daemon.host) == demand.tried.end()
        && (!health || now >= health->avoidedUntil) && !isDenied(daemon.host, demand.target, now)
        && !m_domains.isBackedOff(daemon.domain, demand.targetDomain, now);
}

bool RelayChooser::isDenied(const HostName &host, const std::string &target, Instant now) const
{
    const auto found = m_deniedUntil.find({target, host});
    return found != m_deniedUntil.end() && now < found->second;
}

bool RelayChooser::hasReached(const HostName &host, const std::string &target, Instant now) const
{
    const auto found = m_answeredAt.find({target, host});
    return found != m_answeredAt.end() && now - found->second < answeredPeriod;
}

/** \returns whether several daemons can't reach \a target, and none has reached it lately. */
bool RelayChooser::isDown(const std::string &target, Instant now) const
{
    std::size_t denied = 0;
    for (const RelayDaemon &daemon : m_daemons) {
        if (hasReached(daemon.host, target, now))
            return false;
        denied += isDenied(daemon.host, target, now) ? 1 : 0;
    }
    return denied >= std::min(deniedThreshold, m_daemons.size());
}

/** \returns the failure domain of \a host, or an empty name if the daemon is not known. */
DomainName RelayChooser::domainOf(const HostName &host) const
{
    const auto found = std::ranges::find(m_daemons, host, &RelayDaemon::host);
    return found == m_daemons.end() ? DomainName{} : found->domain;
}

std::size_t RelayChooser::daemonCount(const DomainName &domain) const
{
    return static_cast<std::size_t>(std::ranges::count(m_daemons, domain, &RelayDaemon::domain));
}

const RelayChooser::Health *RelayChooser::find(const HostName &host) const
{
    const auto found = m_health.find(host);
    return found == m_health.end() ? nullptr : &found->second;
}

} // namespace bulrush

#include "request/domainbackoffs.h"

#include <algorithm>

namespace bulrush {

void DomainBackoffs::recordFailure(const Failure &failure, std::size_t daemonCount,
                                   Duration firstPeriod, Instant now)
{
    State &state = m_states[{failure.domain, failure.targetDomain}];
    // Requests that were in flight when the period began say nothing about its end.
    if (now < state.until)
        return;
    const bool isRecent = now - state.lastFailure < evidencePeriod;
    if (!isRecent) {
        state.hosts.clear();
        state.targets.clear();
    }
    // A period that ended long ago was due to other paths.
    if (now - state.until >= maxPeriod)
        state.period = Duration::zero();
    state.lastFailure = now;
    state.hosts.insert(failure.host);
    if (!failure.target.empty())
        state.targets.insert(failure.target);

    const std::size_t hostThreshold = std::clamp(daemonCount, minDaemons, daemonThreshold);
    const bool isShown = state.hosts.size() >= hostThreshold
        && (failure.targetDomain.isEmpty() || state.targets.size() >= targetThreshold);
    const bool isRepeated = state.period > Duration::zero();
    if (!isShown && !isRepeated)
        return;
    state.period = std::max(firstPeriod, std::min(maxPeriod, 2 * state.period));
    state.until = now + state.period;
    state.hosts.clear();
    state.targets.clear();
}

void DomainBackoffs::recordReached(const DomainName &domain, const DomainName &targetDomain)
{
    m_states.erase({domain, targetDomain});
}

bool DomainBackoffs::isBackedOff(const DomainName &domain, const DomainName &targetDomain,
                                 Instant now) const
{
    return !m_states.empty() && (isActive(domain, {}, now) || isActive(domain, targetDomain, now));
}

std::vector<DomainBackoffs::Entry> DomainBackoffs::entries(Instant now) const
{
    std::vector<Entry> entries;
    for (const auto &[domains, state] : m_states) {
        if (now < state.until)
            entries.push_back({domains.first, domains.second, state.until - now});
    }
    return entries;
}

void DomainBackoffs::removeExpired(Instant now)
{
    std::erase_if(m_states, [now](const auto &entry) {
        const State &state = entry.second;
        return now - state.until >= maxPeriod && now - state.lastFailure >= evidencePeriod;
    });
}

bool DomainBackoffs::isActive(const DomainName &domain, const DomainName &targetDomain,
                              Instant now) const
{
    const auto found = m_states.find({domain, targetDomain});
    return found != m_states.end() && now < found->second.until;
}

} // namespace bulrush

#include "process/domainreach.h"

namespace bulrush {

bool DomainReach::recordReached(const DomainName &domain)
{
    const auto found = m_failures.find(domain);
    if (found == m_failures.end())
        return false;
    const bool wasOutOfReach = found->second.areEnough();
    m_failures.erase(found);
    return wasOutOfReach;
}

bool DomainReach::recordFailure(const DomainName &domain, const ServerName &server, Instant now)
{
    Failures &failures = m_failures[domain];
    const bool wasOutOfReach = failures.areEnough();
    failures.servers.insert(server);
    if (wasOutOfReach || !failures.areEnough())
        return false;
    failures.concludedAt = now;
    return true;
}

Duration DomainReach::outOfReachFor(const DomainName &domain, Instant now) const
{
    const auto found = m_failures.find(domain);
    return found != m_failures.end() && found->second.areEnough() ? now - found->second.concludedAt
                                                                  : Duration::zero();
}

bool DomainReach::isOutOfReach(const DomainName &domain) const
{
    const auto found = m_failures.find(domain);
    return found != m_failures.end() && found->second.areEnough();
}

std::vector<DomainName> DomainReach::outOfReach() const
{
    std::vector<DomainName> domains;
    for (const auto &[domain, failures] : m_failures) {
        if (failures.areEnough())
            domains.push_back(domain);
    }
    return domains;
}

std::vector<DomainName> DomainReach::takeDueProbes(Instant now)
{
    std::vector<DomainName> due;
    for (auto &[domain, failures] : m_failures) {
        if (!failures.areEnough() || now - failures.probedAt < probeInterval)
            continue;
        failures.probedAt = now;
        due.push_back(domain);
    }
    return due;
}

} // namespace bulrush

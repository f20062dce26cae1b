#include "domainshares.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::uint64_t firstEpoch = 1;

/** Concurrency is granted in units of one request. */
constexpr double wholeRequestUnit = 1.0;
constexpr double anyUnit = 0.0;

ShareTerms shareTerms(const DaemonSettings &settings)
{
    ShareTerms terms;
    terms.loanLength = {}; // shares are not lent, so a successor need not wait for loans to expire
    terms.driftPpm = settings.leases.driftPpm;
    return terms;
}

} // namespace

DomainShares::DomainShares(const DaemonSettings &settings, DomainName domain, std::uint64_t epoch,
                           Instant beganAt)
    : m_domain(std::move(domain))
    , m_epoch(epoch)
    , m_beganAt(beganAt)
    , m_terms(shareTerms(settings))
    , m_domainCount(static_cast<std::uint32_t>(settings.domains.size()))
    , m_domainIndex(static_cast<std::uint32_t>(std::ranges::count_if(
          settings.domains, [this](const DomainName &other) { return other < m_domain; })))
{ }

ShareReply DomainShares::renew(const ShareRequest &request, const ContractMap &contracts,
                               Instant now)
{
    ShareReply reply;
    reply.isSettled =
        isFirstEpoch() || now >= m_beganAt + stretched(m_terms.length, m_terms.driftPpm);
    for (const OrganisationDemand &asked : request.organisations) {
        const auto contract = contracts.find(asked.organisation);
        if (contract == contracts.end())
            continue;
        ShareTables &held = shareTables(*contract->second);
        OrganisationGrant grant;
        grant.organisation = asked.organisation;
        grant.rate = held.rate.renew(request.incarnation, asked.rate.demand, asked.rate.held, now);
        grant.concurrency = held.concurrency.renew(request.incarnation, asked.concurrency.demand,
                                                   asked.concurrency.held, now);
        reply.organisations.push_back(std::move(grant));
    }
    return reply;
}

bool DomainShares::isFirstEpoch() const
{
    return m_epoch <= firstEpoch;
}

ShareAllocator DomainShares::makeShareTable(double own, double unit) const
{
    ShareTerms terms = m_terms;
    terms.unit = unit;
    if (isFirstEpoch())
        return ShareAllocator{own, m_epoch, terms};
    return ShareAllocator::successor(own, m_epoch, terms, m_beganAt);
}

DomainShares::ShareTables &DomainShares::shareTables(const Contract &contract)
{
    const double rate = ownRate(contract.limits);
    const double concurrency = ownConcurrency(contract.limits);
    const auto found = m_shareTables.find(contract.organisation);
    if (found == m_shareTables.end()) {
        ShareTables shareTables{makeShareTable(rate, anyUnit),
                                makeShareTable(concurrency, wholeRequestUnit)};
        return m_shareTables.emplace(contract.organisation, std::move(shareTables)).first->second;
    }
    found->second.rate.setOwn(rate);
    found->second.concurrency.setOwn(concurrency);
    return found->second;
}

double DomainShares::ownRate(const OrganisationLimits &limits) const
{
    return static_cast<double>(limits.requestsPerSecond) / m_domainCount;
}

/** The remainder of the division goes to the first domains, one each. */
double DomainShares::ownConcurrency(const OrganisationLimits &limits) const
{
    const bool hasRest = m_domainIndex < limits.concurrency % m_domainCount;
    const auto even = limits.concurrency / m_domainCount;
    return static_cast<double>(even) + (hasRest ? 1.0 : 0.0);
}

} // namespace bulrush

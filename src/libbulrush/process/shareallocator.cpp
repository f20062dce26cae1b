#include "process/shareallocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrush {

namespace {

std::string nameOfHolder(const Incarnation &daemon)
{
    return "daemon " + daemon.value();
}

std::string nameOfHolder(const DomainName &domain)
{
    return "domain " + domain.value();
}

} // namespace

ShareAllocator::ShareAllocator(double ownPart, std::uint64_t epoch, ShareTerms terms)
    : m_ownPart(ownPart)
    , m_terms(terms)
    , m_lastSequence{epoch, 0}
{ }

ShareAllocator ShareAllocator::successor(double ownPart, std::uint64_t epoch, ShareTerms terms,
                                         Instant now)
{
    ShareAllocator result{ownPart, epoch, terms};
    const Duration longest = std::max(terms.length, terms.loanLength);
    result.m_confirmOnlyUntil = now + stretched(longest, terms.driftPpm);
    return result;
}

void ShareAllocator::setOwn(double ownPart)
{
    m_ownPart = ownPart;
}

void ShareAllocator::endConfirmOnlyPeriod()
{
    m_confirmOnlyUntil = Instant{};
}

ShareGrant ShareAllocator::renew(const Incarnation &holder, const ShareDemand &demand, double held,
                                 Instant now)
{
    Holder &requester = recordDemand(nameOfHolder(holder), demand, now);
    if (now < m_confirmOnlyUntil)
        return issueGrant(requester, std::min(held, target(requester, now)), m_terms.length, now);
    return issueGrant(requester, target(requester, now), m_terms.length, now);
}

void ShareAllocator::release(const Incarnation &holder)
{
    m_holders.erase(nameOfHolder(holder));
}

ShareGrant ShareAllocator::lend(const DomainName &borrower, const ShareDemand &demand, Instant now)
{
    Holder &requester = recordDemand(nameOfHolder(borrower), demand, now);
    requester.isBorrower = true;
    if (now < m_confirmOnlyUntil)
        return issueGrant(requester, 0.0, m_terms.loanLength, now);
    double others = 0.0;
    for (const auto &[name, holder] : m_holders) {
        if (holder.isBorrower && &holder != &requester)
            others += heldBy(holder, now);
    }
    const double left = std::max(0.0, lendable() - others);
    return issueGrant(requester, std::min(left, demand.wanted), m_terms.loanLength, now);
}

ShareDemand ShareAllocator::loanDemand(const DomainName &lender, Instant now) const
{
    const auto found = m_loans.find(lender);
    const bool hasLoan = found != m_loans.end() && found->second.validUntil > now;
    const double fromLender = hasLoan ? found->second.amount : 0.0;
    const double fromOthers = borrowed(now) - fromLender;
    ShareDemand demand;
    demand.wanted = std::max(0.0, totalWanted() - m_ownPart - fromOthers);
    if (hasLoan && outstanding(now) <= m_ownPart + borrowed(now))
        demand.acknowledged = found->second.sequence;
    return demand;
}

void ShareAllocator::applyLoanGrant(const DomainName &lender, const ShareGrant &grant,
                                    Instant requestedAt)
{
    Loan &loan = m_loans[lender];
    if (grant.sequence > loan.sequence)
        loan = {grant.sequence, grant.amount,
                requestedAt + shortened(grant.length, m_terms.driftPpm)};
}

double ShareAllocator::outstanding(Instant now) const
{
    double sum = 0.0;
    for (const auto &[name, holder] : m_holders)
        sum += heldBy(holder, now);
    return sum;
}

ShareAllocator::Holder &ShareAllocator::recordDemand(const std::string &name,
                                                     const ShareDemand &demand, Instant now)
{
    removeExpired(now);
    Holder &holder = m_holders[name];
    holder.wanted = demand.wanted;
    holder.inUse = demand.inUse;
    holder.lastDemandAt = now;
    std::erase_if(holder.issuedGrants,
                  [&](const IssuedGrant &grant) { return grant.sequence < demand.acknowledged; });
    return holder;
}

ShareGrant ShareAllocator::issueGrant(Holder &holder, double target, Duration length, Instant now)
{
    const double others = outstanding(now) - heldBy(holder, now);
    const double limit = std::max(0.0, available(now) - others);
    const double amount = rounded(std::min(target, limit), limit);
    ++m_lastSequence.sequence;
    holder.issuedGrants.push_back(
        {m_lastSequence, amount, now + stretched(length, m_terms.driftPpm)});
    return {m_lastSequence, amount, length};
}

/** \returns the sum of the loans that are valid beyond \a until. */
double ShareAllocator::borrowed(Instant until) const
{
    double sum = 0.0;
    for (const auto &[lender, loan] : m_loans) {
        if (loan.validUntil > until)
            sum += loan.amount;
    }
    return sum;
}

/** \returns the amount that can be issued for the duration of a share from \a now. */
double ShareAllocator::available(Instant now) const
{
    return m_ownPart + borrowed(now + stretched(m_terms.length, m_terms.driftPpm));
}

double ShareAllocator::totalWanted() const
{
    double sum = 0.0;
    for (const auto &[name, holder] : m_holders) {
        if (!holder.isBorrower)
            sum += holder.wanted;
    }
    return sum;
}

/** Borrowed amounts are not lent: such a loan could outlast the one that covers it. */
double ShareAllocator::lendable() const
{
    return std::max(0.0, m_ownPart - totalWanted());
}

/** \returns the amount reserved for borrowers: what they hold, and what they are to receive. */
double ShareAllocator::reservedForBorrowers(Instant now) const
{
    double held = 0.0;
    double wanted = 0.0;
    for (const auto &[name, holder] : m_holders) {
        if (!holder.isBorrower)
            continue;
        held += heldBy(holder, now);
        wanted += holder.wanted;
    }
    return std::max(held, std::min(wanted, lendable()));
}

/** \returns the share of a daemon: its demand if the amount suffices, otherwise a fair part. */
double ShareAllocator::target(const Holder &holder, Instant now) const
{
    const double amount = std::max(0.0, available(now) - reservedForBorrowers(now));
    const auto daemons = std::ranges::count_if(
        m_holders, [](const auto &entry) { return !entry.second.isBorrower; });
    const double spare = amount - totalWanted();
    if (spare >= 0.0)
        return holder.wanted + spare / static_cast<double>(daemons);
    return std::min(holder.wanted, fairShareLevel(amount));
}

/** \returns the level at which demands, capped at that level, sum up to \a amount. */
double ShareAllocator::fairShareLevel(double amount) const
{
    std::vector<double> demands;
    for (const auto &[name, holder] : m_holders) {
        if (!holder.isBorrower)
            demands.push_back(holder.wanted);
    }
    std::ranges::sort(demands);
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double level = amount / static_cast<double>(demands.size() - i);
        if (demands[i] >= level)
            return level;
        amount -= demands[i];
    }
    return demands.empty() ? 0.0 : demands.back();
}

double ShareAllocator::rounded(double amount, double limit) const
{
    if (m_terms.unit <= 0.0)
        return amount;
    const double up = std::ceil(amount / m_terms.unit) * m_terms.unit;
    return up <= limit ? up : std::floor(amount / m_terms.unit) * m_terms.unit;
}

void ShareAllocator::removeExpired(Instant now)
{
    for (auto &[name, holder] : m_holders)
        std::erase_if(holder.issuedGrants,
                      [&](const IssuedGrant &grant) { return grant.expiresAt <= now; });
    const Duration retention = stretched(m_terms.length, m_terms.driftPpm);
    std::erase_if(m_holders, [&](const auto &entry) {
        return entry.second.issuedGrants.empty() && entry.second.lastDemandAt + retention <= now;
    });
}

double ShareAllocator::heldBy(const Holder &holder, Instant now)
{
    double maximum = holder.inUse;
    for (const IssuedGrant &grant : holder.issuedGrants) {
        if (grant.expiresAt > now)
            maximum = std::max(maximum, grant.amount);
    }
    return maximum;
}

} // namespace bulrush

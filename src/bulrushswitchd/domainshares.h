#pragma once

#include "process/daemonsettings.h"
#include "process/shareallocator.h"
#include "process/sharemessages.h"
#include "version/contract.h"

#include <cstdint>
#include <map>
#include <memory>

namespace bulrush {

/** The contracts in force at a daemon. */
using ContractMap = std::map<OrganisationName, std::shared_ptr<const Contract>>;

/**
 * One failure domain's equal parts of all organisations' limits, which its leader of one epoch
 * distributes to the domain's daemons. Parts are never lent to other domains, so that their sum
 * cannot exceed the limits even if domains are partitioned.
 *
 * It must be kept during interruptions of its epoch, since granted shares remain valid. Not thread
 * safe.
 */
class DomainShares
{
public:
    /** \a epoch begins at \a beganAt, from when the preceding leader cannot grant shares. */
    DomainShares(const DaemonSettings &settings, DomainName domain, std::uint64_t epoch,
                 Instant beganAt);

    std::uint64_t epoch() const;

    /** Answers a daemon's request for shares. \pre the leader may grant at \a now. */
    ShareReply renew(const ShareRequest &request, const ContractMap &contracts, Instant now);

private:
    struct ShareTables
    {
        ShareAllocator rate;
        ShareAllocator concurrency;
    };

    bool isFirstEpoch() const;
    ShareAllocator makeShareTable(double own, double unit) const;
    ShareTables &shareTables(const Contract &contract);
    double ownRate(const OrganisationLimits &limits) const;
    double ownConcurrency(const OrganisationLimits &limits) const;

    DomainName m_domain;
    std::uint64_t m_epoch;
    Instant m_beganAt;
    ShareTerms m_terms;
    /** Number of domains that share the limits. */
    std::uint32_t m_domainCount;
    /** Index of this domain among them, ordered by name. */
    std::uint32_t m_domainIndex;
    std::map<OrganisationName, ShareTables> m_shareTables;
};

inline std::uint64_t DomainShares::epoch() const
{
    return m_epoch;
}

} // namespace bulrush

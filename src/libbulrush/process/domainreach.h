#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bulrush {

/**
 * Determines to which failure domains a daemon has lost its paths, from the servers that it can't
 * reach. A domain is cut off as a whole, so that what a few of its servers show holds for all of
 * them: requests for the others need not time out one after the other, and one server that is
 * reached again ends the conclusion for all.
 *
 * Not thread safe. Instants never decrease.
 */
class DomainReach
{
public:
    /**
     * A domain is out of reach if this many of its servers have failed, one after the other, and
     * none was reached in between. Fewer may have stopped by themselves.
     */
    static constexpr std::size_t failedServersThreshold = 3;
    /** Interval of the probes that find out whether a domain can be reached again. */
    static constexpr Duration probeInterval = std::chrono::milliseconds{250};

    /**
     * Records that a server of \a domain answered, or that a connection to it was established.
     * \returns whether the domain was out of reach until then.
     */
    bool recordReached(const DomainName &domain);

    /**
     * Records that \a server of \a domain could not be connected to, or did not answer.
     * \returns whether the domain is out of reach from then on, and was not before.
     */
    bool recordFailure(const DomainName &domain, const ServerName &server, Instant now);

    /** \returns whether any server failed since one of its domain was last reached. */
    bool hasFailures() const;

    /** \returns whether no server of \a domain can be reached from here. */
    bool isOutOfReach(const DomainName &domain) const;

    /** \returns for how long \a domain has been out of reach; zero if it is not. */
    Duration outOfReachFor(const DomainName &domain, Instant now) const;

    /** \returns the domains that are out of reach. */
    std::vector<DomainName> outOfReach() const;

    /** \returns the domains to probe now; each counts as probed. */
    std::vector<DomainName> takeDueProbes(Instant now);

private:
    struct Failures
    {
        /** Servers that failed since any server of the domain was last reached. */
        std::set<ServerName> servers;
        /** When the domain was concluded to be out of reach, if it is. */
        Instant concludedAt;
        Instant probedAt;

        bool areEnough() const;
    };

    /** Domains of which servers failed since one was last reached. */
    std::map<DomainName, Failures> m_failures;
};

inline bool DomainReach::hasFailures() const
{
    return !m_failures.empty();
}

inline bool DomainReach::Failures::areEnough() const
{
    return servers.size() >= failedServersThreshold;
}

} // namespace bulrush

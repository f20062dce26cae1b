#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

/**
 * Failure domains whose daemons can't relay requests to the servers of some domain, or of any.
 *
 * The daemons of a domain mostly lose their paths together. Without this, each host of a domain
 * that was cut off asked each other one in turn, some 45 to 253 times a second, and held its
 * callers meanwhile. One daemon may have troubles of its own, and one server may have stopped;
 * therefore several daemons, and for the servers of one domain several servers, have to fail with
 * no success in between. The domain is then left out for initialPeriod. If the first request after
 * that fails, too, for twice as long, up to maxPeriod. A success ends it.
 *
 * Not thread safe. Instants never decrease.
 */
class DomainBackoffs
{
public:
    /** This many daemons of a domain, or all of them if there are fewer, have to fail. */
    static constexpr std::size_t daemonThreshold = 3;
    /** One daemon alone says nothing about its domain; it is avoided by itself. */
    static constexpr std::size_t minDaemons = 2;
    /** This many servers have to be out of reach, as one may have stopped. */
    static constexpr std::size_t targetThreshold = 2;
    /** Failures that are further apart are not counted together: the paths may be others by then.
     */
    static constexpr Duration evidencePeriod = std::chrono::seconds{2};
    /** How long a domain is left out at first: some five round trips of a request that may fail. */
    static constexpr Duration initialPeriod = std::chrono::seconds{1};
    /**
     * The same for the domain of a daemon that reaches no server itself: its own probes, four times
     * a second, show when the paths return.
     */
    static constexpr Duration initialOwnPeriod = std::chrono::seconds{4};
    /** Bounds the time for which regained paths stay unused; as for one daemon. */
    static constexpr Duration maxPeriod = std::chrono::seconds{8};

    /** A request that a daemon could not pass on. */
    struct Failure
    {
        /** The domain of the daemon. */
        DomainName domain;
        /** The domain of the server; empty if the daemon can't reach any server. */
        DomainName targetDomain;
        HostName host;
        /** The server; empty if the daemon can't reach any. */
        std::string target;
    };

    /**
     * Records \a failure of one of the \a daemonCount daemons in its domain. If that shows that the
     * domain can't help, it is left out for \a firstPeriod, or for longer after earlier periods.
     */
    void recordFailure(const Failure &failure, std::size_t daemonCount, Duration firstPeriod,
                       Instant now);

    /**
     * Records that a daemon of \a domain reached a server in \a targetDomain, or any server if that
     * is empty: what was recorded for these two is forgotten.
     */
    void recordReached(const DomainName &domain, const DomainName &targetDomain);

    /** \returns whether daemons of \a domain are not to be asked for servers in \a targetDomain. */
    bool isBackedOff(const DomainName &domain, const DomainName &targetDomain, Instant now) const;

    /** A domain that is left out. */
    struct Entry
    {
        DomainName domain;
        /** Empty if it is left out for all servers. */
        DomainName targetDomain;
        Duration left{};
    };

    std::vector<Entry> entries(Instant now) const;

    /** Removes what is outdated. To be called periodically. */
    void removeExpired(Instant now);

private:
    struct State
    {
        std::set<HostName> hosts;
        std::set<std::string> targets;
        Instant lastFailure;
        /** Length of the last period; zero before the first one. */
        Duration period{};
        Instant until;
    };

    bool isActive(const DomainName &domain, const DomainName &targetDomain, Instant now) const;

    /** By the domains of the daemon and of the server. */
    std::map<std::pair<DomainName, DomainName>, State> m_states;
};

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "process/relaydaemon.h"
#include "request/domainbackoffs.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

/** A request that this daemon can't send to its server. */
struct RelayDemand
{
    /** The server that must get it, or otherwise its service. */
    std::string target;
    /** The failure domain of that server; empty if any server of the service may get it. */
    DomainName targetDomain;
    /** Daemons that were asked to relay this request already. */
    std::span<const HostName> tried;
    /** Differs between requests, so that they are spread over equally suitable daemons. */
    std::uint64_t salt = 0;
};

/**
 * Chooses the daemon through which a request reaches a server that this daemon can't reach itself.
 *
 * Daemons of the own or of the server's failure domain come first, as the bytes then cross domains
 * only once, and among them the one with the fewest relayed requests in flight for its processors.
 * Even before them come daemons through which the server answered lately. After a daemon could not
 * help, one of another domain is next, as the daemons of a domain often lose their paths together.
 * A daemon that did not answer or that reaches no server is avoided for a while. If several daemons
 * can't reach a server either, and none has reached it lately, it is down, and its requests are not
 * relayed for a while.
 *
 * What several daemons of a failure domain could not do, the others are not asked for, as set out
 * at DomainBackoffs.
 *
 * Not thread safe. Instants never decrease.
 */
class RelayChooser
{
public:
    /** A server that this many other daemons can't reach either is down. */
    static constexpr std::size_t deniedThreshold = 3;
    /** A daemon that can't reach a server is not asked again for that server for this long. */
    static constexpr Duration denialPeriod = std::chrono::seconds{1};
    /** A daemon through which a server answered is asked first for that server for this long. */
    static constexpr Duration answeredPeriod = std::chrono::seconds{5};
    /** A daemon that can't help at all is avoided for this long at first, then twice as long. */
    static constexpr Duration initialAvoidance = std::chrono::seconds{1};
    static constexpr Duration maxAvoidance = std::chrono::seconds{8};

    explicit RelayChooser(DomainName ownDomain);

    /** Sets the other daemons that relay. */
    void setDaemons(std::vector<RelayDaemon> daemons);

    /** \returns the daemon to ask, or null; valid until setDaemons() is called. */
    const RelayDaemon *choose(const RelayDemand &demand, Instant now) const;

    /** Records that a request is sent to \a host. */
    void recordSent(const HostName &host, Instant now);

    /** Records that \a host has the request no longer, whatever its outcome. */
    void recordEnded(const HostName &host);

    /** Records that \a host handled a request. */
    void recordUsable(const HostName &host);

    /**
     * Records that a request for \a target in \a targetDomain, relayed through \a host, was
     * answered by a server.
     */
    void recordAnswered(const HostName &host, const std::string &target, Instant now,
                        const DomainName &targetDomain = {});

    /** Records that \a host did not answer, or can't handle requests now. */
    void recordUnusable(const HostName &host, Instant now);

    /** Records that \a host can't reach any server, or can't be connected to. */
    void recordCutOff(const HostName &host, Instant now);

    /**
     * Records that \a host can't reach \a target in \a targetDomain, which is empty if any server
     * of the service was meant.
     */
    void recordDenied(const HostName &host, const std::string &target, Instant now,
                      const DomainName &targetDomain = {});

    /** Sets whether this daemon itself reaches servers. */
    void setReachingServers(bool isReaching);

    /** \returns the failure domains that are not asked for all or some servers now. */
    std::vector<DomainBackoffs::Entry> domainBackoffs(Instant now) const;

    /** What was relayed through one daemon lately. */
    struct Use
    {
        HostName host;
        std::size_t inFlight = 0;
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        /** Requests that it could not help with. */
        std::uint64_t refused = 0;
        /** How much longer it is avoided; zero if it is not. */
        Duration avoidedFor{};
    };

    /** \returns the use of the daemons through which requests were relayed lately, by host. */
    std::vector<Use> uses(Instant now) const;

    /** Removes expired entries. To be called periodically. */
    void removeExpired(Instant now);

private:
    struct Health
    {
        std::size_t inFlight = 0;
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t refused = 0;
        int consecutiveFailures = 0;
        Instant avoidedUntil;
        Instant lastUsed;
    };

    /** How long the use of a daemon is kept after its last request. */
    static constexpr Duration useRetention = std::chrono::minutes{10};

    bool isUsable(const RelayDaemon &daemon, const RelayDemand &demand, Instant now) const;
    bool isDenied(const HostName &host, const std::string &target, Instant now) const;
    bool isDown(const std::string &target, Instant now) const;
    bool hasReached(const HostName &host, const std::string &target, Instant now) const;
    const Health *find(const HostName &host) const;
    DomainName domainOf(const HostName &host) const;
    std::size_t daemonCount(const DomainName &domain) const;

    DomainName m_ownDomain;
    std::vector<RelayDaemon> m_daemons;
    DomainBackoffs m_domains;
    bool m_isReachingServers = true;
    std::map<HostName, Health> m_health;
    /** Until when a daemon is not asked for a target, by target and daemon. */
    std::map<std::pair<std::string, HostName>, Instant> m_deniedUntil;
    /** When a target last answered through a daemon, by target and daemon. */
    std::map<std::pair<std::string, HostName>, Instant> m_answeredAt;
};

} // namespace bulrush

#pragma once

#include "request/requestfingerprint.h"
#include "version/identifier.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace bulrush {

/** A request under which servers have crashed, and that has not been answered since. */
struct SuspectRequest
{
    /** The runs of servers that crashed. */
    std::vector<ServerName> servers;
    /** The request was sent to one of the servers after another was known to have crashed. */
    bool isRepeated = false;

    /** \returns whether the request must not be sent to any server. */
    bool isBlocked() const;
};

/**
 * The requests under which servers have crashed, according to the reports of all daemons. Requests
 * that crash servers are blocked for all callers, at every daemon.
 *
 * Immutable. Created by the control thread and read by the traffic threads.
 */
class Quarantine
{
public:
    /**
     * Number of servers that must crash under a request before it is blocked. One or two may crash
     * for another reason while the request is in flight there.
     */
    static constexpr std::size_t blockingCrashes = 3;

    using Suspects = std::map<RequestFingerprint, SuspectRequest>;

    Quarantine() = default;
    /** \a probedElsewhere are the suspects that another daemon probes. */
    explicit Quarantine(Suspects suspects, std::set<RequestFingerprint> probedElsewhere = {});

    /** \returns whether \a request must be rejected. Thread safe. */
    bool blocks(const RequestFingerprint &request) const;

    /** \returns whether another daemon probes whether \a request crashes servers. Thread safe. */
    bool isProbedElsewhere(const RequestFingerprint &request) const;

    /**
     * \returns the runs of servers that crashed under \a request since it was last answered. Valid
     * during the lifetime of this object. Thread safe.
     */
    std::span<const ServerName> crashedServers(const RequestFingerprint &request) const;

    /** \returns all suspects. Valid during the lifetime of this object. Thread safe. */
    const Suspects &requests() const;

private:
    Suspects m_suspects;
    std::set<RequestFingerprint> m_probedElsewhere;
};

inline const Quarantine::Suspects &Quarantine::requests() const
{
    return m_suspects;
}

} // namespace bulrush

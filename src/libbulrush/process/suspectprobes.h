#pragma once

#include "process/clock.h"
#include "process/quarantine.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bulrush {

/**
 * Selects the daemon that probes a suspect request, which means that it sends the request to a
 * server although others have crashed under it, to determine whether the request is the cause.
 * Copies of a request that crashes the owners of its key wait at all daemons, and all of them would
 * be sent as soon as the key has an owner again. Therefore only one daemon probes the request. All
 * daemons select the same one without communication, by rendezvous hashing of the request over the
 * daemons that have rows.
 *
 * Not thread safe. Instants never decrease.
 */
class SuspectProbes
{
public:
    /**
     * Time after a server's crash during which only one daemon probes the request. Keys of a
     * crashed server have an owner again after 6 s. The period is limited because callers may be
     * unable to reach that daemon.
     */
    static constexpr Duration probePeriod = std::chrono::seconds{8};

    explicit SuspectProbes(HostName self);

    /** Sets the daemons that have rows. \returns whether they have changed. */
    bool setDaemons(std::vector<HostName> daemons);

    /** \returns the requests among \a suspects that another daemon probes. */
    std::set<RequestFingerprint> probedElsewhere(const Quarantine::Suspects &suspects, Instant now);

    /** \returns whether a probe period has ended since the last call of probedElsewhere(). */
    bool hasExpiredProbe(Instant now) const;

private:
    struct Probe
    {
        /** Number of servers that had crashed when the period began. */
        std::size_t crashCount = 0;
        Instant endsAt;
    };

    bool isProbedHere(const RequestFingerprint &request) const;

    HostName m_self;
    std::vector<HostName> m_daemons;
    std::map<RequestFingerprint, Probe> m_probes;
    /** End of the probe period that ends next. */
    Instant m_nextExpiry = Instant::max();
};

} // namespace bulrush

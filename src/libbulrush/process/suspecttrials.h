#pragma once

#include "process/clock.h"
#include "process/quarantine.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bulrush {

/**
 * Which daemon sends a request under which servers have ended to the next one, while it is not
 * known whether it is to blame. Copies of a request that crashes the owners of its key wait at all
 * daemons, and would all go as soon as the key has an owner again. So one daemon tries it, which
 * all choose alike without asking each other, by the request and the daemons that have rows.
 *
 * Not thread safe. Instants never go back.
 */
class SuspectTrials
{
public:
    /**
     * For how long after a server's end only one daemon tries: keys of a server that crashed have
     * an owner again after 6 s. Callers may not reach that daemon, so it is not left to it for
     * good.
     */
    static constexpr Duration span = std::chrono::seconds{8};

    explicit SuspectTrials(HostName self);

    /** Takes in the daemons that have rows. \returns whether they are others than before. */
    bool setDaemons(std::vector<HostName> daemons);

    /** \returns which of \a suspects another daemon is to try. */
    std::set<RequestFingerprint> leftToOthers(const Quarantine::Suspects &suspects, Instant now);

    /** \returns whether a trial has ended since leftToOthers() was called. */
    bool isEndDue(Instant now) const;

private:
    struct Trial
    {
        /** Servers that had ended when it began. */
        std::size_t ended = 0;
        Instant until;
    };

    bool isOwn(const RequestFingerprint &request) const;

    HostName m_self;
    std::vector<HostName> m_daemons;
    std::map<RequestFingerprint, Trial> m_trials;
    /** When the next one ends. */
    Instant m_endAt = Instant::max();
};

} // namespace bulrush

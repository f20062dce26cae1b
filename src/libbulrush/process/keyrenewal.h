#pragma once

#include "process/clock.h"
#include "process/keyaction.h"
#include "process/keytimings.h"
#include "process/serverdirectory.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace bulrush {

/**
 * Which grants a daemon sends, and when. Renewing what an assignment says is idempotent: any daemon
 * may do it, so each renews the servers of its own failure domain and the planner renews all.
 *
 * What keeps it safe: a daemon stops when it has not heard from the store for a while, as the
 * assignment may have changed meanwhile. A planner that can't reach the last owner of a range waits
 * out that time and the hold.
 *
 * Not thread safe. Instants never go back, and are of a clock that runs while the host is
 * suspended.
 */
class KeyRenewal
{
public:
    KeyRenewal(DomainName ownDomain, const KeyTimings &timings);

    /** Takes in the assignments in force. */
    void setAssignment(const KeyAssignment &assignment);

    /** Notes that the store told, at \a givenAt or later, that the assignment is as it was seen. */
    void storeAnswered(Instant givenAt);

    /** Sets whether this daemon plans, and so renews the servers of all domains. */
    void setPlanner(bool isPlanner);

    /** \returns the grants to send now; each counts as sent. */
    std::vector<SendGrant> due(const ServerDirectory &servers, Instant now);

    /** \returns whether grants may be sent at \a now. */
    bool mayRenew(Instant now) const;

    /**
     * Before the right to renew ends, all that is owned is granted once more within this time, so
     * that keys live for a whole hold from there. Some rounds of the control loop.
     */
    static constexpr Duration lastRound = std::chrono::milliseconds{400};

private:
    using GrantKey = std::tuple<ServiceName, KeyPlace, KeyPlace, ServerName, std::uint64_t>;

    bool isDueAgain(Instant sentAt, Instant now) const;

    DomainName m_ownDomain;
    KeyTimings m_timings;
    std::map<ServiceName, KeyAssignment> m_assignments;
    std::map<GrantKey, Instant> m_sentAt;
    std::optional<Instant> m_storeAnswered;
    bool m_isPlanner = false;
};

inline void KeyRenewal::setPlanner(bool isPlanner)
{
    m_isPlanner = isPlanner;
}

} // namespace bulrush

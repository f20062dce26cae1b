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
 * Decides which grants a daemon sends, and when. Renewing the grants of an assignment is
 * idempotent, so any daemon may do it: each renews the servers of its own failure domain, and the
 * planner renews all servers.
 *
 * A daemon stops renewing when the store has not answered it for a while, as the assignment may
 * have changed meanwhile. A planner that cannot reach the last owner of a range waits until that
 * time and the hold have passed.
 *
 * A server may restart under the same name and address. The new run must not be granted ranges of
 * the earlier run under the fencing token of that run. A renewer therefore keeps a connection to
 * the server, which always leads to the same run. Over a new connection it grants only what no
 * other run can have held, until the record, which names the run, would have expired if the
 * connection led to another run. The start of another run is no evidence: it may be unable to write
 * its record. Where keys would be lost meanwhile, the planner raises their fencing tokens, which is
 * safe whichever run the connection leads to.
 *
 * Not thread safe. Instants never decrease and come from a clock that keeps running while the host
 * is suspended.
 */
class KeyRenewal
{
public:
    KeyRenewal(DomainName ownDomain, const KeyTimings &timings);

    /** Applies an assignment in force. */
    void setAssignment(const KeyAssignment &assignment);

    /** Records that the store confirmed, at \a givenAt or later, that assignments are unchanged. */
    void recordStoreAnswer(Instant givenAt);

    /** Records that the records of servers were as known here until \a confirmedAt. */
    void recordServerRecords(Instant confirmedAt);

    /** Sets whether this daemon is the planner, which renews the servers of all domains. */
    void setPlanner(bool isPlanner);

    /**
     * \returns whether to keep a connection to \a server, even before anything is granted to it.
     */
    bool shouldRenew(const KnownServer &server) const;

    /** \returns whether there is a connection to \a server. */
    bool isConnected(const ServerName &server) const;

    /**
     * Records a new connection to \a server, which may lead to another run than the one before,
     * even if that was closed without an error: the system closes the connections of a crashed
     * process.
     */
    void recordConnection(const ServerName &server, Instant now);

    /** Records that there is no connection to \a server any more, or that none could be made. */
    void recordConnectionLost(const ServerName &server);

    /** Records that \a server accepted a grant. */
    void recordGranted(const ServerName &server, Instant now);

    /** \returns the grants that are due; each counts as sent. */
    std::vector<SendGrant> due(const ServerDirectory &servers, Instant now);

    /** \returns whether \a owned of \a service may be granted to its owner at \a now. */
    bool mayGrant(const ServiceName &service, const OwnedRange &owned, Instant now) const;

    /**
     * \returns whether the planner has to raise the fencing token of \a owned, as the owner may
     * otherwise lose the range before it is known whether the connection leads to its run. False
     * unless this daemon is the planner.
     */
    bool needsHigherFence(const ServiceName &service, const OwnedRange &owned, Instant now) const;

    /** \returns whether grants may be sent at \a now. */
    bool mayRenew(Instant now) const;

    /**
     * All ranges are granted once more within this period before the right to renew expires, so
     * that servers hold their keys for a complete hold from then on. It spans several rounds of the
     * control loop.
     */
    static constexpr Duration finalRenewalPeriod = std::chrono::milliseconds{400};
    /**
     * The store answers at least every 1.2 s. After a longer gap it may have been unavailable, and
     * records that servers could not write meanwhile may still be missing.
     */
    static constexpr Duration maxStoreAnswerGap = std::chrono::milliseconds{1800};

private:
    using GrantKey = std::tuple<ServiceName, KeyPosition, KeyPosition, ServerName, std::uint64_t>;

    /** A connection to one run of a server. */
    struct Connection
    {
        Instant since;
        /**
         * Sequences of the assignments in force when the connection was made: no other run can have
         * been granted a later fencing token. Empty until the store has answered after that, as a
         * daemon other than the planner may have outdated assignments.
         */
        std::optional<std::map<ServiceName, std::uint64_t>> sequences;
        /** The connection is known to lead to the run that the record names. */
        bool isConfirmed = false;
    };

    bool isRenewalDue(Instant sentAt, Instant now) const;
    std::map<ServiceName, std::uint64_t> sequences() const;
    void confirmConnections();
    Instant confirmationDue(const Connection &connection) const;

    DomainName m_ownDomain;
    KeyTimings m_timings;
    std::map<ServiceName, KeyAssignment> m_assignments;
    std::map<GrantKey, Instant> m_sentAt;
    std::map<ServerName, Connection> m_connections;
    /** When each server last accepted a grant. */
    std::map<ServerName, Instant> m_grantedAt;
    std::optional<Instant> m_lastStoreAnswer;
    /** Until then the records of servers were as known here. */
    Instant m_recordsConfirmedAt;
    /** Since when the gaps between answers of the store have been at most maxStoreAnswerGap. */
    Instant m_continuousSince;
    bool m_isPlanner = false;
};

inline bool KeyRenewal::isConnected(const ServerName &server) const
{
    return m_connections.contains(server);
}

inline void KeyRenewal::setPlanner(bool isPlanner)
{
    m_isPlanner = isPlanner;
}

} // namespace bulrush

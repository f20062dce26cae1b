#pragma once

#include "process/leasemessages.h"
#include "process/routingleasetimings.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace bulrush {

/**
 * The leader's side of routing leases: answers lease requests, and computes for each piece and
 * server until when a daemon may still send work and until when work may still run.
 *
 * Not thread safe. Instants are those of the leader's clock and must not decrease between calls.
 */
class RoutingLeaseTable
{
public:
    /** \a epoch is the leader's epoch, which is part of every id that is created here. */
    RoutingLeaseTable(RoutingLeaseTimings terms, std::uint64_t epoch);

    /**
     * Answers a lease request and records its stop reports. The lease ends no later than
     * \a leadershipUntil.
     * \returns nothing if the leadership term is over, or if a later request of the same daemon was
     * received: overtaken or duplicated requests get no answer and their reports are ignored.
     */
    std::optional<LeaseReply> answer(const LeaseRequest &request, Fence assignmentVersion,
                                     Instant now, Instant leadershipUntil);

    /**
     * Allows \a holder to send work of a piece from its next reply on.
     * \pre No other right or unfinished stop overlaps the piece at another server.
     */
    void allow(const Incarnation &holder, SliceRight right);

    /**
     * Revokes the part of \a holder's rights at \a server that lies in \a piece.
     * \returns the ids of the created stops; none if it held no such right.
     */
    std::vector<StopId> stop(const Incarnation &holder, const ServiceKeyRange &piece,
                             const ServerName &server);

    /**
     * Restores the rights with \a fence that pending stops of \a holder within \a piece at
     * \a server have revoked. \pre The server has not been ordered to revoke them.
     * \returns false, without any change, unless those stops cover all of \a piece.
     */
    bool withdrawStops(const Incarnation &holder, const ServiceKeyRange &piece,
                       const ServerName &server, Fence fence);

    /** \returns the instant from which no daemon sends work of \a piece to \a server any more. */
    Instant sendingEndedFrom(const ServiceKeyRange &piece, const ServerName &server) const;

    /**
     * \returns the instant from which no work of \a piece runs at \a server, assuming that no
     * request runs longer than the run cap.
     */
    Instant workEndedFrom(const ServiceKeyRange &piece, const ServerName &server) const;

    /**
     * \returns whether every daemon that sent work of \a piece to \a server has reported that its
     * work has ended, or has been without a lease for long enough.
     */
    bool isIdle(const ServiceKeyRange &piece, const ServerName &server) const;

    /** \returns the instant until which \a holder may send work, or Instant{} if it is unknown. */
    Instant sendsUntil(const Incarnation &holder) const;

    /**
     * \returns a count that is incremented when a result of sendingEndedFrom(), workEndedFrom() or
     * isIdle() may have changed.
     */
    std::uint64_t changeCount() const;

    /** Removes finished stops, and daemons that have no rights and whose lease has ended. */
    void expire(Instant now);

    /** \returns the daemons that hold rights and have sent no lease request since \a instant. */
    std::vector<Incarnation> silentSince(Instant instant) const;

    /** \returns the rights of \a holder, sorted by piece. */
    std::span<const SliceRight> rights(const Incarnation &holder) const;

private:
    struct StopRecord
    {
        Incarnation holder;
        StopOrder order;
        Fence fence;
        /** Last instant at which the holder may send, if it never receives the stop. */
        Instant sendsUntil;
        std::optional<Instant> confirmedAt;
        /** Upper bound of the deadlines of its work in flight, once confirmed. */
        Instant deadlineUntil;
        bool idle = false;
    };

    struct Holder
    {
        LeaseRequestId highestRequest = 0;
        Instant lastPull;
        Instant sendsUntil;
        Fence rightsVersion;
        std::vector<SliceRight> rights;
        std::vector<StopId> stops;
    };

    void applyReport(const Incarnation &incarnation, const StopReport &report, Instant now);
    void addStop(const Incarnation &incarnation, Holder &holder, StopRecord record);
    /** \returns the pending stops that overlap \a piece at \a server. */
    std::vector<const StopRecord *> stopsOf(const ServiceKeyRange &piece,
                                            const ServerName &server) const;
    void dropStops(Holder &holder, const std::vector<StopId> &finished);
    RightsReplaced rightsOf(const Holder &holder) const;
    Instant sendingEndInstant(const StopRecord &record) const;
    Instant workEndInstant(const StopRecord &record) const;
    Fence nextId();

    RoutingLeaseTimings m_terms;
    Fence m_lastId;
    std::map<Incarnation, Holder> m_holders;
    std::map<StopId, StopRecord> m_stops;
    std::map<ServerName, std::vector<StopId>> m_stopsByServer;
    Instant m_nextExpiryAt;
    std::uint64_t m_changeCount = 0;
};

inline std::uint64_t RoutingLeaseTable::changeCount() const
{
    return m_changeCount;
}

} // namespace bulrush

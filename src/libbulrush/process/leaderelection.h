#pragma once

#include "process/leaderelectionaction.h"
#include "process/leaderelectionevent.h"
#include "process/leaderelectiontimings.h"
#include "process/leaderrowobserver.h"
#include "process/pendingrowwrite.h"
#include "process/promisesgiven.h"
#include "process/promisesreceived.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bulrush {

/**
 * Leader election of one failure domain, as seen by one daemon, which is holder, candidate or
 * observer.
 *
 * Holds the domain's leader lease in the platform's table, extends it by the candidates' promises
 * while the platform does not answer, and takes it over when the holder's term has certainly ended.
 * At most one process is leader of a domain at any time; see docs/design/ownership.md for the
 * argument.
 *
 * This is a state machine without I/O: the caller passes events with their instants and performs
 * the returned actions. The instants of one object must not decrease. Code that relies on being
 * leader has to call isLeaderAt() with the instant of its own operation, because the process may
 * freeze between two events. Not thread safe.
 */
class LeaderElection
{
public:
    /**
     * \a self is this daemon, \a domain the failure domain whose leader is elected: that of this
     * daemon or another one. A daemon of another domain takes part only when the row names it as a
     * candidate.
     */
    LeaderElection(LeaderCandidate self, DomainName domain, LeaderElectionTimings timings);

    /**
     * Handles an event that occurred at \a now. A leadership term that has expired in the meantime
     * is ended first.
     * \returns the actions to perform, in this order.
     */
    std::vector<LeaderElectionAction> handle(const LeaderElectionEvent &event, Instant now);

    /**
     * \returns the end of this process's leadership term on its own clock, or Instant::min() if it
     * is not the leader. No routing lease lasts longer than this.
     */
    Instant leadershipUntil() const;

    /**
     * \returns the latest end of a routing lease granted at \a now, on this process's clock, or
     * Instant::min() if none may be granted.
     */
    Instant routingLeaseUntil(Instant now) const;

    bool isLeaderAt(Instant now) const;

    /** \returns whether this process is the leader at \a now and may plan and grant. */
    bool mayGrantAt(Instant now) const;

    /** \returns the epoch of the latest observed row, or 0 if there is none. */
    std::uint64_t epoch() const;

    /** \returns the latest observed row, or nothing if none was observed. */
    const std::optional<VersionedLeaderRow> &row() const;

    /** \returns whether the latest observed row names this process as a candidate. */
    bool isCandidate() const;

    /** \returns whether a requested departure has no writes left to perform. */
    bool isDepartureComplete() const;

    /** \returns whether a write with an unknown result may still take effect. */
    bool hasUnsettledWrite() const;

private:
    void apply(const LeaderElectionTick &tick, Instant now);
    void apply(const LeaderRowRead &read, Instant now);
    void apply(const LeaderRowReadFailed &failure, Instant now);
    void apply(const LeaderRowWriteResult &answer, Instant now);
    void apply(const PromiseRequested &promiseRequest, Instant now);
    void apply(const PromiseRequestAnswered &answer, Instant now);
    void apply(const PromiseReleased &release, Instant now);
    void apply(const LeaderAnnounced &announcement, Instant now);
    void apply(const LivePeersChanged &change, Instant now);
    void apply(const DepartureRequested &request, Instant now);

    void handleWriteOutcome(const WriteCommitted &outcome, const LeaderRowWriteResult &answer,
                            Instant now);
    void handleWriteOutcome(const WriteConflicted &outcome, const LeaderRowWriteResult &answer,
                            Instant now);
    void handleWriteOutcome(const WriteRefused &outcome, const LeaderRowWriteResult &answer,
                            Instant now);
    void handleWriteOutcome(const WriteUnknown &outcome, const LeaderRowWriteResult &answer,
                            Instant now);
    void observe(const VersionedLeaderRow &row, Instant now);
    void adoptOwnWrite(const VersionedLeaderRow &row, Instant sentAt, Instant now);
    void endLeadershipIfOver(Instant now);
    void endLeadership(LeadershipEndReason reason);
    void startLeadershipIfDue(Instant now);
    void announce();
    void resignCandidacy();
    void actAsHolder(Instant now);
    void actAsNonHolder(Instant now);
    void retryWriteIfDue(Instant now);
    void requestPromisesIfDue(Instant now);
    void releasePromisesAfterOutage(Instant now);
    void renewIfDue(Instant now);
    void handOverIfDue(Instant now);
    void readIfDue(Instant now);
    void campaignIfDue(Instant now);

    bool holdsRow() const;
    bool isNamedHolder() const;
    bool isOfDomain() const;
    bool canHandOver(Instant now) const;
    bool canReplaceCandidates(Instant now) const;
    Instant promisedUntil() const;
    Duration maxRoutingLease() const;
    Instant leasesEndBy(Instant now) const;
    std::vector<LeaderCandidate> possibleCandidates() const;
    std::vector<LeaderCandidate> candidatesToName(Instant now) const;
    std::optional<Instant> mayCampaignFrom() const;
    PromiseVerdict verdictFor(const PromiseRequested &promiseRequest) const;
    Duration promiseLengthToRequest(Instant now) const;
    LeaderRow rowOfNewEpoch(std::uint64_t epoch) const;
    LeaderRow renewedRow(Instant now) const;
    LeaderRow releasedRow(Instant now) const;
    void sendWrite(PendingRowWrite::Purpose purpose, RowVersion expectedVersion, LeaderRow row,
                   Instant now);
    void sendAttempt(Instant now);

    LeaderCandidate m_self;
    DomainName m_domain;
    LeaderElectionTimings m_timings;
    LeaderRowObserver m_rowObserver;
    PromisesGiven m_givenPromises;
    PromisesReceived m_receivedPromises;
    /** The write of this process that may still take effect, if any. */
    std::optional<PendingRowWrite> m_write;
    std::vector<LeaderCandidate> m_peers;
    std::vector<LeaderElectionAction> m_actions;

    /** Send time of the latest write that is known to be committed. */
    Instant m_committedSentAt{};
    Instant m_platformLeaseUntil = Instant::min();
    /** The latest value that leadershipUntil() ever had; routing leases may last until then. */
    Instant m_latestTermEnd = Instant::min();
    Instant m_mayGrantFrom{};
    /** Start of granting in the epoch for which this process campaigns. */
    Instant m_campaignMayGrantFrom{};
    /** Epoch that this process has given up and never holds again. */
    std::uint64_t m_handedOverEpoch = 0;
    std::uint64_t m_announcedEpoch = 0;
    bool m_isLeader = false;
    bool m_isReading = false;
    bool m_isPlatformReachable = false;
    /** Whether the current event is a completed read of the row. */
    bool m_isRowFresh = false;
    bool m_isDeparting = false;
    /** When a candidate last reported that the platform answers it. */
    std::optional<Instant> m_platformReachableAt;
    std::optional<Instant> m_readAt;
    std::optional<Instant> m_renewedAt;
    std::optional<Instant> m_promisesRequestedAt;
    std::uint64_t m_nextWriteNumber = 1;
    WriteAttemptId m_nextAttempt = 1;
    PromiseRoundId m_nextPromiseRound = 1;
};

} // namespace bulrush

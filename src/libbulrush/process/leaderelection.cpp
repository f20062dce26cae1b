#include "process/leaderelection.h"

#include "process/candidatechoice.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bulrush {

namespace {

bool isDue(const std::optional<Instant> &last, Duration interval, Instant now)
{
    return !last || now >= *last + interval;
}

/** \returns whether the holder itself released the row, so promises made to it no longer apply. */
bool isReleasedByHolder(const LeaderRow &row)
{
    return row.isReleased && row.writer == row.holder;
}

/** \returns the shortest lease on which a holder may rely for \a span: inverse of shortened(). */
Duration leaseLengthThatLasts(Duration span, std::int64_t driftPpm)
{
    return stretched(stretched(span, driftPpm), driftPpm);
}

} // namespace

LeaderElection::LeaderElection(LeaderCandidate self, DomainName domain,
                               LeaderElectionTimings timings)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_timings(timings)
    , m_rowObserver(timings.driftPpm)
    , m_givenPromises(timings.driftPpm)
    , m_receivedPromises(timings.driftPpm)
{ }

std::vector<LeaderElectionAction> LeaderElection::handle(const LeaderElectionEvent &event,
                                                         Instant now)
{
    m_actions.clear();
    m_isRowFresh = false;
    endLeadershipIfOver(now);
    std::visit([&](const auto &kind) { apply(kind, now); }, event);
    endLeadershipIfOver(now);
    startLeadershipIfDue(now);
    if (holdsRow())
        actAsHolder(now);
    else
        actAsNonHolder(now);
    endLeadershipIfOver(now);
    m_latestTermEnd = std::max(m_latestTermEnd, leadershipUntil());
    return std::exchange(m_actions, {});
}

Instant LeaderElection::leadershipUntil() const
{
    if (!holdsRow())
        return Instant::min();
    return std::max(m_platformLeaseUntil, promisedUntil());
}

Instant LeaderElection::routingLeaseUntil(Instant now) const
{
    if (!isLeaderAt(now))
        return Instant::min();
    return std::min(leadershipUntil(), now + maxRoutingLease());
}

bool LeaderElection::isLeaderAt(Instant now) const
{
    return m_isLeader && now < leadershipUntil();
}

bool LeaderElection::mayGrantAt(Instant now) const
{
    return isLeaderAt(now) && now >= m_mayGrantFrom;
}

std::uint64_t LeaderElection::epoch() const
{
    return m_rowObserver.hasRow() ? m_rowObserver.row()->row.epoch : 0;
}

const std::optional<VersionedLeaderRow> &LeaderElection::row() const
{
    return m_rowObserver.row();
}

bool LeaderElection::isCandidate() const
{
    return m_rowObserver.hasRow() && namesCandidate(m_rowObserver.row()->row, m_self.incarnation);
}

bool LeaderElection::isDepartureComplete() const
{
    return m_isDeparting && !m_write && !isNamedHolder();
}

bool LeaderElection::hasUnsettledWrite() const
{
    return m_write.has_value();
}

void LeaderElection::apply(const LeaderElectionTick &, Instant)
{ }

void LeaderElection::apply(const LeaderRowRead &read, Instant now)
{
    m_isReading = false;
    m_isRowFresh = true;
    m_isPlatformReachable = true;
    observe(read.row, now);
}

void LeaderElection::apply(const LeaderRowReadFailed &, Instant)
{
    m_isReading = false;
    m_isPlatformReachable = false;
}

void LeaderElection::apply(const LeaderRowWriteResult &answer, Instant now)
{
    std::visit([&](const auto &outcome) { handleWriteOutcome(outcome, answer, now); },
               answer.outcome);
}

void LeaderElection::apply(const PromiseRequested &promiseRequest, Instant now)
{
    const PromiseVerdict verdict = verdictFor(promiseRequest);
    if (verdict == PromiseVerdict::Promised)
        m_givenPromises.promise(promiseRequest.epoch, promiseRequest.askId, promiseRequest.length,
                                now);
    if (verdict == PromiseVerdict::Resigned)
        m_givenPromises.resign(promiseRequest.epoch);
    m_actions.emplace_back(AnswerPromiseRequest{promiseRequest.from, promiseRequest.epoch,
                                                promiseRequest.askId, verdict,
                                                m_isPlatformReachable});
}

void LeaderElection::apply(const PromiseRequestAnswered &answer, Instant now)
{
    if (!holdsRow() || answer.epoch != epoch())
        return;
    if (answer.isPlatformReachable)
        m_platformReachableAt = now;
    if (answer.verdict == PromiseVerdict::Promised)
        m_receivedPromises.recordPromise(answer.from, answer.askId);
    if (answer.verdict == PromiseVerdict::Resigned)
        m_receivedPromises.recordResignation(answer.from);
}

void LeaderElection::apply(const PromiseReleased &release, Instant now)
{
    m_givenPromises.release(release.epoch, release.askId, release.length, now);
}

void LeaderElection::apply(const LeaderAnnounced &announcement, Instant)
{
    if (announcement.epoch >= epoch())
        m_readAt.reset();
}

void LeaderElection::apply(const LivePeersChanged &change, Instant)
{
    m_peers = change.peers;
}

void LeaderElection::apply(const DepartureRequested &, Instant)
{
    m_isDeparting = true;
    resignCandidacy();
}

void LeaderElection::handleWriteOutcome(const WriteCommitted &outcome,
                                        const LeaderRowWriteResult &answer, Instant now)
{
    // A platform that deduplicates writes may answer a retry with the result of an earlier attempt.
    if (m_write && m_write->isAwaiting(answer.attempt))
        adoptOwnWrite({outcome.version, m_write->row()}, m_write->firstSentAt(), now);
}

void LeaderElection::handleWriteOutcome(const WriteConflicted &outcome,
                                        const LeaderRowWriteResult &answer, Instant now)
{
    // The conflicting write may be an earlier attempt of this same write. Therefore the row decides
    // the outcome, not the conflict.
    if (m_write)
        m_write->refuseAttempt(answer.attempt);
    observe(outcome.row, now);
}

void LeaderElection::handleWriteOutcome(const WriteRefused &, const LeaderRowWriteResult &answer,
                                        Instant)
{
    if (!m_write || !m_write->isAwaiting(answer.attempt))
        return;
    m_write->refuseAttempt(answer.attempt);
    if (m_write->isRefused())
        m_write.reset();
}

void LeaderElection::handleWriteOutcome(const WriteUnknown &, const LeaderRowWriteResult &answer,
                                        Instant)
{
    if (m_write)
        m_write->loseAttempt(answer.attempt);
}

void LeaderElection::observe(const VersionedLeaderRow &row, Instant now)
{
    if (m_write && m_write->isCreatorOf(row)) {
        // Any attempt may have created this version. Only the first attempt's send time is certain
        // not to be later than that of the successful one.
        adoptOwnWrite(row, m_write->firstSentAt(), now);
        return;
    }
    if (m_write && m_write->isSettledBy(row))
        m_write.reset();
    m_rowObserver.observe(row, now);
}

void LeaderElection::adoptOwnWrite(const VersionedLeaderRow &row, Instant sentAt, Instant now)
{
    const PendingRowWrite::Purpose purpose = m_write->purpose();
    const bool candidatesChanged =
        m_rowObserver.hasRow() && m_rowObserver.row()->row.candidates != row.row.candidates;
    m_write.reset();
    m_rowObserver.observe(row, now);
    m_committedSentAt = sentAt;
    m_platformLeaseUntil = sentAt + shortened(row.row.leaseLength, m_timings.driftPpm);
    if (m_isLeader && candidatesChanged)
        announce();
    if (purpose == PendingRowWrite::Purpose::Renew || purpose == PendingRowWrite::Purpose::HandOver)
        return;
    m_receivedPromises.reset();
    m_promisesRequestedAt.reset();
    m_mayGrantFrom = m_campaignMayGrantFrom;
}

void LeaderElection::endLeadershipIfOver(Instant now)
{
    if (!m_isLeader)
        return;
    if (!holdsRow())
        endLeadership(LeadershipEndReason::Replaced);
    else if (now >= leadershipUntil())
        endLeadership(LeadershipEndReason::Lapsed);
}

void LeaderElection::endLeadership(LeadershipEndReason reason)
{
    m_isLeader = false;
    m_actions.emplace_back(LeadershipEnded{m_announcedEpoch, reason});
}

void LeaderElection::startLeadershipIfDue(Instant now)
{
    if (m_isLeader || now >= leadershipUntil())
        return;
    m_isLeader = true;
    m_announcedEpoch = epoch();
    m_actions.emplace_back(LeadershipStarted{epoch(), m_mayGrantFrom});
    announce();
}

void LeaderElection::announce()
{
    m_actions.emplace_back(AnnounceLeader{m_self.incarnation, m_self.address, epoch()});
}

void LeaderElection::resignCandidacy()
{
    if (m_write || isNamedHolder() || !isCandidate())
        return;
    m_givenPromises.resign(epoch());
    m_actions.emplace_back(AnswerPromiseRequest{m_rowObserver.row()->row.holder, epoch(), 0,
                                                PromiseVerdict::Resigned, m_isPlatformReachable});
}

void LeaderElection::actAsHolder(Instant now)
{
    retryWriteIfDue(now);
    handOverIfDue(now);
    if (!holdsRow())
        return;
    renewIfDue(now);
    requestPromisesIfDue(now);
    releasePromisesAfterOutage(now);
}

void LeaderElection::actAsNonHolder(Instant now)
{
    retryWriteIfDue(now);
    handOverIfDue(now);
    readIfDue(now);
    campaignIfDue(now);
}

void LeaderElection::retryWriteIfDue(Instant now)
{
    if (!m_write || m_write->isAwaitingAnswer())
        return;
    if (now >= m_write->lastSentAt() + m_timings.retryInterval)
        sendAttempt(now);
}

void LeaderElection::requestPromisesIfDue(Instant now)
{
    if (now < m_committedSentAt + m_timings.platformSilenceTimeout)
        return;
    if (!isDue(m_promisesRequestedAt, m_timings.promiseRequestInterval, now))
        return;
    m_promisesRequestedAt = now;
    const Duration length = promiseLengthToRequest(now);
    const PromiseRoundId id = m_nextPromiseRound++;
    m_receivedPromises.startRound(id, length, now);
    for (const LeaderCandidate &candidate : possibleCandidates())
        m_actions.emplace_back(RequestPromise{candidate, epoch(), length, id});
}

void LeaderElection::releasePromisesAfterOutage(Instant now)
{
    // After an outage, candidates bound by long promises could not take over from a lost leader.
    const bool isPlatformBack = now < m_platformLeaseUntil && m_promisesRequestedAt
        && now >= *m_promisesRequestedAt + m_timings.leaseLength;
    if (!isPlatformBack || !m_receivedPromises.hasRounds())
        return;
    m_receivedPromises.dropPromises();
    const Duration left = leaseLengthThatLasts(leasesEndBy(now) - now, m_timings.driftPpm);
    for (const LeaderCandidate &candidate : possibleCandidates())
        m_actions.emplace_back(ReleasePromise{candidate, epoch(), m_nextPromiseRound - 1, left});
}

void LeaderElection::renewIfDue(Instant now)
{
    if (m_write || !isDue(m_renewedAt, m_timings.renewInterval, now))
        return;
    m_renewedAt = now;
    sendWrite(PendingRowWrite::Purpose::Renew, m_rowObserver.row()->version, renewedRow(now), now);
}

void LeaderElection::handOverIfDue(Instant now)
{
    if (!m_isDeparting || m_write || !isNamedHolder() || !canHandOver(now))
        return;
    if (m_isLeader)
        endLeadership(LeadershipEndReason::HandedOver);
    m_handedOverEpoch = epoch();
    sendWrite(PendingRowWrite::Purpose::HandOver, m_rowObserver.row()->version, releasedRow(now),
              now);
}

void LeaderElection::readIfDue(Instant now)
{
    const Duration interval = isCandidate() ? m_timings.readInterval : m_timings.watchInterval;
    const std::optional<Instant> from = mayCampaignFrom();
    const bool mayCampaign = from && now >= *from && m_readAt && *m_readAt < *from;
    if (m_isReading || !(mayCampaign || isDue(m_readAt, interval, now)))
        return;
    m_readAt = now;
    m_isReading = true;
    m_actions.emplace_back(ReadLeaderRow{});
}

void LeaderElection::campaignIfDue(Instant now)
{
    // If the platform is down, a takeover stays unsettled and prevents this process from giving
    // promises, which leaves the domain without a leader. Campaign only right after a successful
    // read.
    if (m_write || m_isDeparting || !m_isRowFresh)
        return;
    const std::optional<Instant> from = mayCampaignFrom();
    if (!from || now < *from)
        return;
    if (!m_rowObserver.hasRow()) {
        m_campaignMayGrantFrom = now;
        sendWrite(PendingRowWrite::Purpose::Create, 0, rowOfNewEpoch(1), now);
        return;
    }
    const VersionedLeaderRow &seen = *m_rowObserver.row();
    m_campaignMayGrantFrom = std::max(*from, m_rowObserver.leaseEndedFrom())
        + stretched(seen.row.workPastLease, m_timings.driftPpm);
    sendWrite(PendingRowWrite::Purpose::TakeOver, seen.version, rowOfNewEpoch(epochAfter(seen)),
              now);
}

bool LeaderElection::isNamedHolder() const
{
    return m_rowObserver.hasRow() && m_rowObserver.row()->row.holder == m_self.incarnation
        && !m_rowObserver.row()->row.isReleased && !isRecreated(*m_rowObserver.row());
}

bool LeaderElection::holdsRow() const
{
    return isNamedHolder() && epoch() != m_handedOverEpoch;
}

bool LeaderElection::isOfDomain() const
{
    return m_self.domain == m_domain;
}

bool LeaderElection::canHandOver(Instant now) const
{
    if (m_handedOverEpoch == epoch())
        return true;
    // The successor may lead while leases of this leader still run. If the successor is lost during
    // that time, the next leader waits for no more than the successor's own lease.
    const Instant latest = now + shortened(m_timings.leaseLength, m_timings.driftPpm);
    return now < m_platformLeaseUntil && m_mayGrantFrom <= latest;
}

bool LeaderElection::canReplaceCandidates(Instant now) const
{
    // A new candidate has given no promise, so naming it ends the extension by promises. It waits
    // for the lease of the write that names it, which is no shorter than any routing lease.
    return now < m_platformLeaseUntil;
}

Duration LeaderElection::maxRoutingLease() const
{
    return std::min(m_timings.maxRoutingLease,
                    shortened(m_timings.leaseLength, m_timings.driftPpm));
}

Instant LeaderElection::leasesEndBy(Instant now) const
{
    return std::min(m_latestTermEnd, now + maxRoutingLease());
}

Instant LeaderElection::promisedUntil() const
{
    const LeaderRow &row = m_rowObserver.row()->row;
    const Duration allowance = std::max(row.leaseLength, row.outageAllowance);
    return std::min(m_receivedPromises.coveredUntil(possibleCandidates()),
                    m_committedSentAt + shortened(allowance, m_timings.driftPpm));
}

std::vector<LeaderCandidate> LeaderElection::possibleCandidates() const
{
    std::vector<LeaderCandidate> candidates = m_rowObserver.row()->row.candidates;
    if (!m_write)
        return candidates;
    for (const LeaderCandidate &candidate : m_write->row().candidates) {
        if (!namesCandidate(m_rowObserver.row()->row, candidate.incarnation))
            candidates.push_back(candidate);
    }
    return candidates;
}

std::vector<LeaderCandidate> LeaderElection::candidatesToName(Instant now) const
{
    const std::vector<LeaderCandidate> &current = m_rowObserver.row()->row.candidates;
    if (m_peers.empty() || !canReplaceCandidates(now))
        return current;
    return chooseCandidates(m_self.incarnation, m_domain, current, m_peers);
}

std::optional<Instant> LeaderElection::mayCampaignFrom() const
{
    if (!m_rowObserver.row())
        return std::nullopt;
    if (!m_rowObserver.hasRow())
        return isOfDomain() ? std::optional(m_rowObserver.seenAt()) : std::nullopt;
    const LeaderRow &row = m_rowObserver.row()->row;
    if (m_givenPromises.hasResigned(row.epoch) || !(isOfDomain() || isCandidate()))
        return std::nullopt;
    if (isReleasedByHolder(row))
        return row.successor == m_self.incarnation ? m_rowObserver.seenAt()
                                                   : m_rowObserver.leaseEndedFrom();
    const bool mayBreakLease = isCandidate() && !isRecreated(*m_rowObserver.row());
    const Instant ended =
        mayBreakLease ? m_rowObserver.leaseEndedFrom() : m_rowObserver.termEndedFrom();
    const Duration delay = isOfDomain() ? Duration::zero() : m_timings.otherDomainDelay;
    return std::max(ended, m_givenPromises.campaignAllowedFrom(row.epoch)) + delay;
}

PromiseVerdict LeaderElection::verdictFor(const PromiseRequested &promiseRequest) const
{
    // An unsettled takeover may still take effect in spite of a promise given now.
    if (m_write || isNamedHolder())
        return PromiseVerdict::Refused;
    if (m_rowObserver.hasRow()) {
        const LeaderRow &row = m_rowObserver.row()->row;
        const bool isOther = row.isReleased || row.holder != promiseRequest.from;
        if (row.epoch > promiseRequest.epoch || (row.epoch == promiseRequest.epoch && isOther))
            return PromiseVerdict::Refused;
    }
    return m_isDeparting ? PromiseVerdict::Resigned : PromiseVerdict::Promised;
}

Duration LeaderElection::promiseLengthToRequest(Instant now) const
{
    // Long promises have no cost while no candidate reaches the platform, since none could take
    // over. As soon as one does, they delay a takeover.
    if (!isDue(m_platformReachableAt, 2 * m_timings.promiseRequestInterval, now))
        return m_timings.leaseLength;
    const Duration longest = std::max(m_timings.leaseLength, m_timings.promiseLength);
    return std::clamp(now - m_committedSentAt, m_timings.leaseLength, longest);
}

LeaderRow LeaderElection::rowOfNewEpoch(std::uint64_t epoch) const
{
    LeaderRow row;
    row.holder = m_self.incarnation;
    row.holderAddress = m_self.address;
    row.epoch = epoch;
    row.leaseLength = m_timings.leaseLength;
    row.promiseLength = m_timings.promiseLength;
    row.outageAllowance = m_timings.outageAllowance;
    row.workPastLease = m_timings.workPastLease;
    const auto known = m_rowObserver.hasRow() ? m_rowObserver.row()->row.candidates
                                              : std::vector<LeaderCandidate>();
    row.candidates = chooseCandidates(m_self.incarnation, m_domain, known, m_peers);
    return row;
}

LeaderRow LeaderElection::renewedRow(Instant now) const
{
    LeaderRow row = m_rowObserver.row()->row;
    ++row.renewal;
    row.candidates = candidatesToName(now);
    return row;
}

LeaderRow LeaderElection::releasedRow(Instant now) const
{
    LeaderRow row = m_rowObserver.row()->row;
    ++row.renewal;
    row.isReleased = true;
    const Duration left = std::max(leasesEndBy(now), m_mayGrantFrom) - now;
    row.leaseLength = std::max(Duration::zero(), leaseLengthThatLasts(left, m_timings.driftPpm));
    const auto own = std::ranges::find(row.candidates, m_domain, &LeaderCandidate::domain);
    if (own != row.candidates.end())
        row.successor = own->incarnation;
    else if (!row.candidates.empty())
        row.successor = row.candidates.front().incarnation;
    return row;
}

void LeaderElection::sendWrite(PendingRowWrite::Purpose purpose, RowVersion expectedVersion,
                               LeaderRow row, Instant now)
{
    row.writer = m_self.incarnation;
    row.writeId =
        LeaderWriteId(m_self.incarnation.value() + '/' + std::to_string(m_nextWriteNumber++));
    m_write.emplace(purpose, expectedVersion, std::move(row));
    sendAttempt(now);
}

void LeaderElection::sendAttempt(Instant now)
{
    const WriteAttemptId attempt = m_nextAttempt++;
    m_write->addAttempt(attempt, now);
    m_actions.emplace_back(WriteLeaderRow{attempt, m_write->expectedVersion(), m_write->row()});
}

} // namespace bulrush

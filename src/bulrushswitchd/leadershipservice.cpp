#include "leadershipservice.h"

#include "connection/peerclient.h"
#include "controlcontext.h"
#include "domainleader.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "process/platformclient.h"
#include "process/stewardcodec.h"

#include <utility>

namespace bulrush {

namespace {

const char *const leaderTable = "steward";

LeaderCandidate candidateOf(const MemberRecord &member)
{
    return {member.incarnation, member.domain, member.address};
}

/** \returns the decoded row, or nothing if it is malformed. */
std::optional<VersionedLeaderRow> versionedRow(const io::TableRow &row)
{
    if (row.value.isNull())
        return VersionedLeaderRow{row.version, {}};

    auto decoded = io::decodeLeaderRow(row.value);
    if (!decoded)
        return std::nullopt;
    return VersionedLeaderRow{row.version, *std::move(decoded)};
}

WriteOutcome outcomeOf(const io::Committed &committed)
{
    return WriteCommitted{committed.versions.at(0)};
}

WriteOutcome outcomeOf(const io::Conflict &conflict)
{
    const auto row = conflict.rows.empty() ? std::nullopt : versionedRow(conflict.rows.front());
    if (!row)
        return WriteUnknown{};
    return WriteConflicted{*row};
}

WriteOutcome outcomeOf(const io::Refused & /*refused*/)
{
    return WriteRefused{};
}

WriteOutcome outcomeOf(const io::Unknown & /*unknown*/)
{
    return WriteUnknown{};
}

} // namespace

LeaderElectionTimings leadershipTimings(const LeaseTimings &leases)
{
    LeaderElectionTimings timings;
    timings.leaseLength = leases.stewardLease;
    timings.renewInterval = leases.renewEvery;
    timings.retryInterval = leases.renewEvery;
    timings.readInterval = leases.renewEvery;
    timings.platformSilenceTimeout = leases.stewardLease / 2;
    timings.promiseRequestInterval = leases.renewEvery;
    timings.promiseLength = leases.promise;
    timings.maxRoutingLease = leases.routingLease;
    timings.workPastLease = leaseTerms(leases).runCap;
    timings.driftPpm = leases.driftPpm;
    return timings;
}

LeadershipService::LeadershipService(ControlContext &context, DomainName domain,
                                     LeadershipCallbacks callbacks)
    : m_context(context)
    , m_domain(std::move(domain))
    , m_callbacks(std::move(callbacks))
    , m_leadership(candidateOf(context.self), m_domain, leadershipTimings(context.settings.leases))
{ }

void LeadershipService::tick(Instant now)
{
    for (const LeaderElectionAction &action : m_leadership.handle(LeaderElectionTick{}, now))
        perform(action);
}

Json::Value LeadershipService::answerPromiseRequest(const Json::Value &promiseRequest)
{
    const auto decoded = io::decodePromiseRequest(promiseRequest);
    if (!decoded || promiseRequest["to"].asString() != m_context.self.incarnation.value())
        return {};

    m_lastAnswer.reset();
    handleEvent(*decoded);
    if (!m_lastAnswer)
        return {};

    m_context.counters.add(Counter::PromisesGiven);
    return io::encodePromiseAnswer({m_context.self.incarnation, m_lastAnswer->epoch,
                                    m_lastAnswer->askId, m_lastAnswer->verdict});
}

void LeadershipService::handleEvent(const LeaderElectionEvent &event)
{
    for (const LeaderElectionAction &action : m_leadership.handle(event, io::hostNow()))
        perform(action);
}

bool LeadershipService::holdsByPromisesOnly(Instant now) const
{
    const Duration platformTimeout = m_context.settings.leases.stewardLease;
    return m_leadership.isLeaderAt(now)
        && (!m_platformAnsweredAt || now > *m_platformAnsweredAt + platformTimeout);
}

void LeadershipService::perform(const LeaderElectionAction &action)
{
    std::visit([this](const auto &kind) { performAction(kind); }, action);
}

void LeadershipService::performAction(const ReadLeaderRow & /*action*/)
{
    m_context.platform.read({{leaderTable, m_domain.value()}}, [this](const io::RowsResult &read) {
        const auto row =
            read.error || read.rows.empty() ? std::nullopt : versionedRow(read.rows.front());
        if (row)
            handleEvent(LeaderRowRead{*row});
        else
            handleEvent(LeaderRowReadFailed{});
    });
}

void LeadershipService::performAction(const WriteLeaderRow &action)
{
    const io::RowId id{leaderTable, m_domain.value()};
    io::Transaction transaction;
    transaction.id = io::TransactionId{action.row.writeId.value()};
    transaction.writer = m_context.self.incarnation;
    transaction.conditions = {{id, action.expectedVersion}};
    transaction.writes = {{id, io::encodeLeaderRow(action.row)}};
    const WriteAttemptId attempt = action.attempt;
    m_context.platform.transact(transaction, [this, attempt](const io::TransactOutcome &outcome) {
        const bool hasAnswered = std::holds_alternative<io::Committed>(outcome)
            || std::holds_alternative<io::Conflict>(outcome);
        if (hasAnswered)
            m_platformAnsweredAt = io::hostNow();
        handleEvent(LeaderRowWriteResult{
            attempt, std::visit([](const auto &kind) { return outcomeOf(kind); }, outcome)});
    });
}

void LeadershipService::performAction(const RequestPromise &action)
{
    m_context.counters.add(Counter::PromisesAsked);
    m_context.peers.call(action.to.address, "steward.promise",
                         io::encodePromiseRequest(m_domain, m_context.self.incarnation, action),
                         peerCallTimeout, [this](const io::RpcReply &reply) {
                             const auto answer =
                                 reply.error ? std::nullopt : io::decodePromiseAnswer(reply.result);
                             if (answer)
                                 handleEvent(*answer);
                         });
}

void LeadershipService::performAction(const AnswerPromiseRequest &action)
{
    m_lastAnswer = action;
}

void LeadershipService::performAction(const ReleasePromise &action)
{
    m_context.peers.call(action.to.address, "steward.release",
                         io::encodePromiseRelease(m_domain, action), peerCallTimeout,
                         [](const io::RpcReply &) {});
}

void LeadershipService::performAction(const AnnounceLeader &action)
{
    m_callbacks.onLeaderChanged(action);
}

void LeadershipService::performAction(const LeadershipStarted &action)
{
    m_context.counters.add(Counter::StewardshipsBegun);
    io::logEvent(LogLevel::Info, "stewardship-began",
                 {{"domain", m_domain.value()}, {"epoch", std::to_string(action.epoch)}});
    m_callbacks.onBegan(action);
}

void LeadershipService::performAction(const LeadershipEnded &action)
{
    m_context.counters.add(Counter::StewardshipsEnded);
    io::logEvent(LogLevel::Warning, "stewardship-ended",
                 {{"domain", m_domain.value()}, {"epoch", std::to_string(action.epoch)}});
    m_callbacks.onEnded(action);
}

} // namespace bulrush

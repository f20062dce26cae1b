#include "claimservice.h"

#include "controlcontext.h"
#include "process/counters.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/looptimers.h"
#include "process/platformclient.h"

#include <array>
#include <string_view>
#include <utility>

namespace bulrush {

namespace {

const char *const claimTable = "claim";

constexpr std::array<std::string_view, 4> stateNames{"claimed", "done", "notRun", "unknown"};

Json::Value encodeRow(const ClaimRow &row)
{
    Json::Value json{Json::objectValue};
    json["state"] = std::string{stateNames.at(static_cast<std::size_t>(row.state))};
    json["holder"] = row.holder.value();
    json["attempt"] = row.attempt.value();
    json["storedAnswer"] = row.storedAnswer;
    return json;
}

ClaimState parseClaimState(const std::string &name)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (stateNames.at(i) == name)
            return static_cast<ClaimState>(i);
    }
    // The request of a claim in an unrecognised state may have run.
    return ClaimState::Unknown;
}

VersionedClaim decodeRow(const io::TableRow &row)
{
    if (row.value.isNull())
        return {row.version, std::nullopt};

    io::JsonReader reader{row.value};
    ClaimRow claim;
    claim.state = parseClaimState(reader.text("state"));
    claim.holder = Incarnation{reader.text("holder")};
    claim.attempt = AttemptId{reader.text("attempt")};
    claim.storedAnswer = reader.text("storedAnswer");
    return {row.version, std::move(claim)};
}

} // namespace

ClaimService::ClaimService(ControlContext &context, HolderLookup lookup)
    : m_context(context)
    , m_lookup(std::move(lookup))
{ }

void ClaimService::start(ClaimTicket ticket, std::string key, ClaimRequest request, Reply reply)
{
    const auto entry = m_openClaims.emplace(
        ticket, OpenClaim{std::move(key), Claim{std::move(request)}, std::move(reply)});
    perform(ticket, entry.first->second.claim.start());
}

void ClaimService::handleEvent(ClaimTicket ticket, const ClaimEvent &event)
{
    const auto found = m_openClaims.find(ticket);
    if (found != m_openClaims.end())
        perform(ticket, found->second.claim.handle(event, io::hostNow()));
}

void ClaimService::tick(Instant now)
{
    const auto due = m_batcher.nextDue();
    if (due && *due <= now)
        performBatch(m_batcher.advance(now));
}

void ClaimService::perform(ClaimTicket ticket, const ClaimActions &actions)
{
    for (const ClaimAction &action : actions)
        std::visit([&](const auto &kind) { performAction(ticket, kind); }, action);
}

void ClaimService::performAction(ClaimTicket ticket, const WriteClaim &action)
{
    const auto found = m_openClaims.find(ticket);
    if (found == m_openClaims.end())
        return;
    performBatch(m_batcher.add({ticket, found->second.key, action}, io::hostNow()));
}

void ClaimService::performAction(ClaimTicket ticket, const ReadClaim & /*action*/)
{
    const auto found = m_openClaims.find(ticket);
    if (found == m_openClaims.end())
        return;
    m_context.counters.add(Counter::PlatformReads);
    m_context.platform.read(
        {{claimTable, found->second.key}}, [this, ticket](const io::RowsResult &result) {
            if (result.error || result.rows.empty())
                handleEvent(ticket, ClaimReadFailed{});
            else
                handleEvent(ticket, ClaimRowRead{decodeRow(result.rows.front())});
        });
}

void ClaimService::performAction(ClaimTicket ticket, const DispatchClaimedRequest &action)
{
    m_context.counters.add(Counter::ClaimsMade);
    answer(ticket, action);
}

void ClaimService::performAction(ClaimTicket ticket, const AnswerCaller &action)
{
    answer(ticket, action);
}

void ClaimService::performAction(ClaimTicket ticket, const AnswerStored &action)
{
    m_context.counters.add(Counter::ClaimsRepeated);
    answer(ticket, action);
}

void ClaimService::performAction(ClaimTicket ticket, const AnswerForHeldClaim &action)
{
    m_context.counters.add(Counter::ClaimsRepeated);
    answer(ticket,
           AnswerCaller{outcomeOfHeldClaim(m_lookup(action.holder), std::chrono::seconds{1})});
}

void ClaimService::performAction(ClaimTicket ticket, const ScheduleClaimRecheck &action)
{
    m_context.timers.after(action.delay,
                           [this, ticket](Instant) { handleEvent(ticket, ClaimRecheckDue{}); });
}

void ClaimService::performAction(ClaimTicket ticket, const DiscardClaim & /*action*/)
{
    m_openClaims.erase(ticket);
}

void ClaimService::answer(ClaimTicket ticket, const ClaimVerdict &verdict)
{
    const auto found = m_openClaims.find(ticket);
    if (found == m_openClaims.end())
        return;
    if (const Reply reply = std::exchange(found->second.reply, nullptr))
        reply(verdict);
}

void ClaimService::performBatch(const ClaimBatchActions &actions)
{
    for (const ClaimBatchAction &action : actions) {
        if (const auto *batch = std::get_if<SendClaimBatch>(&action))
            sendBatch(*batch);
        else if (const auto *ended = std::get_if<ClaimWriteResult>(&action))
            handleEvent(ended->id, ended->event);
    }
}

void ClaimService::sendBatch(const SendClaimBatch &batch)
{
    io::Transaction transaction;
    transaction.id = io::TransactionId{m_context.self.incarnation.value() + "/claims/"
                                       + std::to_string(++m_lastTransaction)};
    transaction.writer = m_context.self.incarnation;
    for (const KeyedClaimWrite &write : batch.writes) {
        const io::RowId id{claimTable, write.key};
        transaction.conditions.push_back({id, write.write.expectedVersion});
        transaction.writes.push_back({id, encodeRow(write.write.row)});
    }
    m_context.counters.add(Counter::PlatformWrites);
    m_context.platform.transact(transaction, [this, id = batch.id](const auto &outcome) {
        const Instant now = io::hostNow();
        if (const auto *committed = std::get_if<io::Committed>(&outcome)) {
            performBatch(m_batcher.committed(id, committed->versions, now));
        } else if (const auto *conflict = std::get_if<io::Conflict>(&outcome)) {
            std::vector<ClaimConflict> conflicts;
            for (const io::TableRow &row : conflict->rows)
                conflicts.push_back({row.id.key, decodeRow(row)});
            performBatch(m_batcher.conflicted(id, conflicts, now));
        } else if (std::holds_alternative<io::Refused>(outcome)) {
            performBatch(m_batcher.notSent(id, now));
        } else {
            m_context.counters.add(Counter::PlatformUnknowns);
            performBatch(m_batcher.lost(id, now));
        }
    });
}

} // namespace bulrush

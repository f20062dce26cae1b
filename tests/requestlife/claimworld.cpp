#include "claimworld.h"

#include <algorithm>
#include <utility>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

std::string nameOfState(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Done:
        return "done";
    case ClaimState::NotRun:
        return "not-run";
    case ClaimState::Unknown:
        return "unknown";
    }
    return "?";
}

std::string textOf(const VersionedClaim &row)
{
    const std::string version = "version " + std::to_string(row.version);
    if (!row.row)
        return version + ", no row";
    return version + ", " + nameOfState(row.row->state) + " by " + row.row->attempt.value();
}

std::string textOf(const CallerResponse &response)
{
    const auto *refusal = std::get_if<RefusalResponse>(&response);
    if (refusal == nullptr)
        return "the answer";
    return std::to_string(refusal->status) + " ran=" + std::string{refusal->ran} + " "
        + std::string{refusal->reason};
}

} // namespace

/** Does what a claim asks for, and writes it down. */
class ClaimWorld::ActionRunner
{
public:
    ActionRunner(ClaimWorld &world, const std::string &daemon)
        : m_world(world)
        , m_daemon(daemon)
        , m_asker(world.m_askers.at(daemon))
    { }

    void operator()(const WriteClaim &write) const
    {
        m_asker.writes.push_back(write);
        note("writes " + nameOfState(write.row.state) + " upon version "
             + std::to_string(write.expectedVersion));
    }

    void operator()(const ReadClaim &) const
    {
        m_asker.isReading = true;
        note("reads the row");
    }

    void operator()(const DispatchClaimedRequest &) const
    {
        m_asker.isDispatched = true;
        ++m_world.m_runs;
        note("dispatches; run " + std::to_string(m_world.m_runs) + " at the server");
    }

    void operator()(const AnswerCaller &answer) const
    {
        setAnswer(textOf(callerResponse(answer.outcome, false)));
    }

    void operator()(const AnswerStored &answer) const
    {
        setAnswer("stored " + answer.storedAnswer);
    }

    void operator()(const AnswerForHeldClaim &) const
    {
        setAnswer(textOf(callerResponse(outcomeOfHeldClaim(HolderState::Alive, 1s), false)));
    }

    void operator()(const ScheduleClaimRecheck &later) const
    {
        m_asker.isWaiting = true;
        const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(later.delay);
        note("settles later, in " + std::to_string(delay.count()) + " ms");
    }

    void operator()(const DiscardClaim &) const
    {
        note("forgets the claim");
    }

private:
    void setAnswer(const std::string &answer) const
    {
        m_asker.answer = answer;
        note("answers its caller: " + answer);
    }

    void note(const std::string &line) const
    {
        m_world.note("    " + m_daemon + " " + line);
    }

    ClaimWorld &m_world;
    const std::string &m_daemon;
    Asker &m_asker;
};

ClaimWorld::ClaimWorld(GoldenSession *session)
    : m_session(session)
{ }

void ClaimWorld::ask(const std::string &daemon, bool isRepeat)
{
    ++m_askCount;
    const AttemptId attempt{daemon + "/" + std::to_string(m_askCount)};
    ClaimRequest request{Incarnation{daemon}, attempt, m_now + 2s, 1s, isRepeat};
    m_askers.insert_or_assign(daemon, Asker{Claim{std::move(request)}, {}, {}, {}, {}, {}});
    note(daemon + (isRepeat ? " is asked again" : " is asked"));
    perform(daemon, m_askers.at(daemon).claim.start());
}

void ClaimWorld::platform(const std::string &daemon, Fate fate)
{
    Asker &asker = m_askers.at(daemon);
    const WriteClaim write = asker.writes.front();
    asker.writes.erase(asker.writes.begin());
    if (fate == Fate::Answered) {
        send(daemon, apply(write));
        return;
    }
    if (fate == Fate::NotSent) {
        note("the platform refuses the connection of " + daemon);
        send(daemon, ClaimWriteNotSent{});
        return;
    }
    if (fate == Fate::AnswerLost)
        apply(write);
    else
        m_late.push_back(write);
    note("the answer to the write of " + daemon + " is lost");
    send(daemon, ClaimWriteLost{});
}

void ClaimWorld::readAnswered(const std::string &daemon)
{
    m_askers.at(daemon).isReading = false;
    note(daemon + " has read " + textOf(m_row));
    send(daemon, ClaimRowRead{m_row});
}

void ClaimWorld::readFailed(const std::string &daemon)
{
    m_askers.at(daemon).isReading = false;
    note("the read of " + daemon + " fails");
    send(daemon, ClaimReadFailed{});
}

void ClaimWorld::deliverLate()
{
    for (const WriteClaim &write : std::exchange(m_late, {}))
        apply(write);
}

void ClaimWorld::workEnded(const std::string &daemon, const Outcome &outcome)
{
    Asker &asker = m_askers.at(daemon);
    asker.isDispatched = false;
    asker.answer = textOf(callerResponse(outcome, false));
    // A server that says so did not run it.
    if (std::holds_alternative<NotRun>(outcome))
        --m_runs;
    note("the work of " + daemon + " ends: " + asker.answer);
    send(daemon, ClaimedRequestFinished{outcome, "answer of " + daemon});
}

void ClaimWorld::send(const std::string &daemon, const ClaimEvent &event)
{
    if (std::holds_alternative<ClaimRecheckDue>(event))
        m_askers.at(daemon).isWaiting = false;
    const ClaimEvent seen = mutate ? mutate(event) : event;
    perform(daemon, m_askers.at(daemon).claim.handle(seen, m_now));
}

void ClaimWorld::kill(const std::string &daemon)
{
    note(daemon + " is killed");
    ++m_kills;
    Asker &asker = m_askers.at(daemon);
    m_late.insert(m_late.end(), asker.writes.begin(), asker.writes.end());
    m_askers.erase(daemon);
}

void ClaimWorld::advance(Duration span)
{
    m_now += span;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span);
    note(std::to_string(ms.count()) + " ms pass");
}

bool ClaimWorld::isWriting(const std::string &daemon) const
{
    return !m_askers.at(daemon).writes.empty();
}

bool ClaimWorld::isReading(const std::string &daemon) const
{
    return m_askers.at(daemon).isReading;
}

bool ClaimWorld::isWaitingToSettle(const std::string &daemon) const
{
    return m_askers.at(daemon).isWaiting;
}

bool ClaimWorld::isDispatched(const std::string &daemon) const
{
    return m_askers.at(daemon).isDispatched;
}

bool ClaimWorld::isOver(const std::string &daemon) const
{
    return m_askers.at(daemon).claim.isOver();
}

std::string ClaimWorld::answerAt(const std::string &daemon) const
{
    return m_askers.at(daemon).answer;
}

int ClaimWorld::runs() const
{
    return m_runs;
}

ClaimState ClaimWorld::rowState() const
{
    return m_row.row.value().state;
}

bool ClaimWorld::isStuck() const
{
    const bool areAllDone = std::ranges::all_of(
        m_askers, [](const auto &entry) { return entry.second.claim.isOver(); });
    const bool isHeld = m_row.row && m_row.row->state == ClaimState::Claimed;
    return areAllDone && isHeld && m_kills == 0;
}

void ClaimWorld::perform(const std::string &daemon, const ClaimActions &actions)
{
    const ActionRunner runner{*this, daemon};
    for (const ClaimAction &action : actions)
        std::visit(runner, action);
}

ClaimEvent ClaimWorld::apply(const WriteClaim &write)
{
    const std::string what = nameOfState(write.row.state) + " by " + write.row.attempt.value();
    if (write.expectedVersion != m_row.version) {
        note("the platform refuses " + what + ": " + textOf(m_row));
        return ClaimWriteConflicted{m_row};
    }
    m_row = {m_row.version + 1, write.row};
    note("the platform commits " + what + ": version " + std::to_string(m_row.version));
    return ClaimWriteCommitted{m_row.version};
}

void ClaimWorld::note(const std::string &line)
{
    if (m_session != nullptr)
        m_session->note(line);
}

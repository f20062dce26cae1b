#include "claimsimulation.h"

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

/** Performs and logs the actions of a claim. */
class ClaimSimulation::ActionRunner
{
public:
    ActionRunner(ClaimSimulation &simulation, const std::string &daemon)
        : m_simulation(simulation)
        , m_daemon(daemon)
        , m_claimingDaemon(simulation.m_claimingDaemons.at(daemon))
    { }

    void operator()(const WriteClaim &write) const
    {
        m_claimingDaemon.writes.push_back(write);
        note("writes " + nameOfState(write.row.state) + " upon version "
             + std::to_string(write.expectedVersion));
    }

    void operator()(const ReadClaim &) const
    {
        m_claimingDaemon.isReading = true;
        note("reads the row");
    }

    void operator()(const DispatchClaimedRequest &) const
    {
        m_claimingDaemon.isDispatched = true;
        ++m_simulation.m_runs;
        note("dispatches; run " + std::to_string(m_simulation.m_runs) + " at the server");
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
        m_claimingDaemon.isWaiting = true;
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
        m_claimingDaemon.answer = answer;
        note("answers its caller: " + answer);
    }

    void note(const std::string &line) const
    {
        m_simulation.note("    " + m_daemon + " " + line);
    }

    ClaimSimulation &m_simulation;
    const std::string &m_daemon;
    ClaimingDaemon &m_claimingDaemon;
};

ClaimSimulation::ClaimSimulation(GoldenSession *session)
    : m_session(session)
{ }

void ClaimSimulation::startRequest(const std::string &daemon, bool isRepeat)
{
    ++m_requestCount;
    const AttemptId attempt{daemon + "/" + std::to_string(m_requestCount)};
    ClaimRequest request{Incarnation{daemon}, attempt, m_now + 2s, 1s, isRepeat};
    m_claimingDaemons.insert_or_assign(
        daemon, ClaimingDaemon{Claim{std::move(request)}, {}, {}, {}, {}, {}});
    note(daemon + (isRepeat ? " is asked again" : " is asked"));
    perform(daemon, m_claimingDaemons.at(daemon).claim.start());
}

void ClaimSimulation::completeWrite(const std::string &daemon, WriteResult writeResult)
{
    ClaimingDaemon &claimingDaemon = m_claimingDaemons.at(daemon);
    const WriteClaim write = claimingDaemon.writes.front();
    claimingDaemon.writes.erase(claimingDaemon.writes.begin());
    if (writeResult == WriteResult::Answered) {
        send(daemon, apply(write));
        return;
    }
    if (writeResult == WriteResult::NotSent) {
        note("the platform refuses the connection of " + daemon);
        send(daemon, ClaimWriteNotSent{});
        return;
    }
    if (writeResult == WriteResult::AnswerLost)
        apply(write);
    else
        m_delayedWrites.push_back(write);
    note("the answer to the write of " + daemon + " is lost");
    send(daemon, ClaimWriteLost{});
}

void ClaimSimulation::completeRead(const std::string &daemon)
{
    m_claimingDaemons.at(daemon).isReading = false;
    note(daemon + " has read " + textOf(m_row));
    send(daemon, ClaimRowRead{m_row});
}

void ClaimSimulation::failRead(const std::string &daemon)
{
    m_claimingDaemons.at(daemon).isReading = false;
    note("the read of " + daemon + " fails");
    send(daemon, ClaimReadFailed{});
}

void ClaimSimulation::processDelayedWrites()
{
    for (const WriteClaim &write : std::exchange(m_delayedWrites, {}))
        apply(write);
}

void ClaimSimulation::completeWork(const std::string &daemon, const Outcome &outcome)
{
    ClaimingDaemon &claimingDaemon = m_claimingDaemons.at(daemon);
    claimingDaemon.isDispatched = false;
    claimingDaemon.answer = textOf(callerResponse(outcome, false));
    // The server stated that it did not run the request.
    if (std::holds_alternative<NotRun>(outcome))
        --m_runs;
    note("the work of " + daemon + " ends: " + claimingDaemon.answer);
    send(daemon, ClaimedRequestFinished{outcome, "answer of " + daemon});
}

void ClaimSimulation::send(const std::string &daemon, const ClaimEvent &event)
{
    if (std::holds_alternative<ClaimRecheckDue>(event))
        m_claimingDaemons.at(daemon).isWaiting = false;
    const ClaimEvent seen = mutate ? mutate(event) : event;
    perform(daemon, m_claimingDaemons.at(daemon).claim.handle(seen, m_now));
}

void ClaimSimulation::kill(const std::string &daemon)
{
    note(daemon + " is killed");
    ++m_kills;
    ClaimingDaemon &claimingDaemon = m_claimingDaemons.at(daemon);
    m_delayedWrites.insert(m_delayedWrites.end(), claimingDaemon.writes.begin(),
                           claimingDaemon.writes.end());
    m_claimingDaemons.erase(daemon);
}

void ClaimSimulation::advance(Duration span)
{
    m_now += span;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span);
    note(std::to_string(ms.count()) + " ms pass");
}

bool ClaimSimulation::isWriting(const std::string &daemon) const
{
    return !m_claimingDaemons.at(daemon).writes.empty();
}

bool ClaimSimulation::isReading(const std::string &daemon) const
{
    return m_claimingDaemons.at(daemon).isReading;
}

bool ClaimSimulation::isWaitingToRetry(const std::string &daemon) const
{
    return m_claimingDaemons.at(daemon).isWaiting;
}

bool ClaimSimulation::isDispatched(const std::string &daemon) const
{
    return m_claimingDaemons.at(daemon).isDispatched;
}

bool ClaimSimulation::isOver(const std::string &daemon) const
{
    return m_claimingDaemons.at(daemon).claim.isOver();
}

std::string ClaimSimulation::answerAt(const std::string &daemon) const
{
    return m_claimingDaemons.at(daemon).answer;
}

int ClaimSimulation::runs() const
{
    return m_runs;
}

ClaimState ClaimSimulation::rowState() const
{
    return m_row.row.value().state;
}

bool ClaimSimulation::isStuck() const
{
    const bool areAllDone = std::ranges::all_of(
        m_claimingDaemons, [](const auto &entry) { return entry.second.claim.isOver(); });
    const bool isHeld = m_row.row && m_row.row->state == ClaimState::Claimed;
    return areAllDone && isHeld && m_kills == 0;
}

void ClaimSimulation::perform(const std::string &daemon, const ClaimActions &actions)
{
    const ActionRunner runner{*this, daemon};
    for (const ClaimAction &action : actions)
        std::visit(runner, action);
}

ClaimEvent ClaimSimulation::apply(const WriteClaim &write)
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

void ClaimSimulation::note(const std::string &line)
{
    if (m_session != nullptr)
        m_session->note(line);
}

#include "leaderelectionsimulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace bulrush::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration peersInterval = 1s;
constexpr Duration platformTimeout = 400ms;
/** Promise requests of a daemon within this interval of the previous one are not logged. */
constexpr Duration minLogInterval = 2s;

std::string textOf(LeadershipEndReason reason)
{
    switch (reason) {
    case LeadershipEndReason::Lapsed:
        return "lapsed";
    case LeadershipEndReason::Replaced:
        return "replaced";
    case LeadershipEndReason::HandedOver:
        return "handed over";
    }
    return {};
}

std::string textOf(PromiseVerdict verdict)
{
    switch (verdict) {
    case PromiseVerdict::Promised:
        return "promises";
    case PromiseVerdict::Refused:
        return "refuses to promise";
    case PromiseVerdict::Resigned:
        return "resigns";
    }
    return {};
}

} // namespace

LeaderElectionSimulation::LeaderElectionSimulation(LeaderElectionTimings timings)
    : m_timings(timings)
{ }

void LeaderElectionSimulation::start(const std::string &name, DriftingClock clock)
{
    note(name + " starts");
    const DomainName domain(name.substr(0, 1));
    Daemon daemon;
    daemon.self = {Incarnation(name), domain, name + ":1"};
    daemon.clock = clock;
    daemon.election = std::make_unique<LeaderElection>(daemon.self, DomainName("a"), m_timings);
    m_daemons[name] = std::move(daemon);
    sendPeers(name);
    tick(name);
}

void LeaderElectionSimulation::kill(const std::string &name)
{
    note(name + " dies");
    m_daemons.erase(name);
}

void LeaderElectionSimulation::freeze(const std::string &name, Duration length)
{
    note(name + " freezes");
    m_daemons.at(name).frozenUntil = m_now + length;
    at(m_now + length, [this, name] {
        if (!isAlive(name) || m_daemons.at(name).frozenUntil > m_now)
            return;
        note(name + " thaws");
        for (const LeaderElectionEvent &event : std::exchange(m_daemons.at(name).inbox, {}))
            deliver(name, event);
    });
}

void LeaderElectionSimulation::depart(const std::string &name)
{
    note(name + " is told to depart");
    m_daemons.at(name).isDeparting = true;
    deliver(name, DepartureRequested{});
}

void LeaderElectionSimulation::setPlatformUp(bool isUp)
{
    note(isUp ? "platform up" : "platform down");
    m_isPlatformUp = isUp;
}

void LeaderElectionSimulation::setPlatformCut(const std::string &name, bool isCut)
{
    note(name + (isCut ? " loses the platform" : " reaches the platform again"));
    if (isCut)
        m_platformCuts.insert(name);
    else
        m_platformCuts.erase(name);
}

void LeaderElectionSimulation::setCut(const std::string &one, const std::string &other, bool isCut)
{
    note(one + " and " + other + (isCut ? " are cut off from each other" : " reach each other"));
    if (isCut)
        m_cuts.insert({one, other});
    else
        m_cuts.erase({one, other});
}

void LeaderElectionSimulation::releaseByOperator()
{
    m_row.row = releasedByOperator(m_row.row, Incarnation("operator"), LeaderWriteId("operator"));
    m_row.version = ++m_latestVersion;
    noteRow("an operator releases");
}

void LeaderElectionSimulation::deleteRow()
{
    note("the row is deleted");
    m_row = {};
    ++m_latestVersion;
}

void LeaderElectionSimulation::runUntil(TrueTime time)
{
    while (!m_scheduledCalls.empty() && m_scheduledCalls.begin()->first <= time) {
        auto next = m_scheduledCalls.extract(m_scheduledCalls.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = time;
}

void LeaderElectionSimulation::at(TrueTime time, std::function<void()> callback)
{
    m_scheduledCalls.emplace(time, std::move(callback));
}

std::string LeaderElectionSimulation::steward() const
{
    for (const auto &[name, daemon] : m_daemons) {
        if (daemon.election->isLeaderAt(daemon.clock.at(m_now)))
            return name;
    }
    return {};
}

void LeaderElectionSimulation::note(const std::string &line)
{
    char time[32];
    const double seconds = std::chrono::duration<double>(m_now).count();
    std::snprintf(time, sizeof time, "%10.3f  ", seconds);
    m_transcript += time + line + '\n';
}

void LeaderElectionSimulation::tick(const std::string &name)
{
    if (!isAlive(name))
        return;
    if (m_daemons.at(name).frozenUntil <= m_now)
        handle(m_daemons.at(name), LeaderElectionTick{});
    at(m_now + tickInterval, [this, name] { tick(name); });
}

void LeaderElectionSimulation::sendPeers(const std::string &name)
{
    if (!isAlive(name))
        return;
    LivePeersChanged change;
    for (const auto &[other, daemon] : m_daemons) {
        if (daemon.frozenUntil <= m_now && !daemon.isDeparting && !m_cuts.contains({name, other}))
            change.peers.push_back(daemon.self);
    }
    deliver(name, change);
    at(m_now + peersInterval, [this, name] { sendPeers(name); });
}

void LeaderElectionSimulation::deliver(const std::string &name, const LeaderElectionEvent &event)
{
    if (!isAlive(name))
        return;
    Daemon &daemon = m_daemons.at(name);
    if (daemon.frozenUntil > m_now)
        daemon.inbox.push_back(event);
    else
        handle(daemon, event);
}

void LeaderElectionSimulation::handle(Daemon &daemon, const LeaderElectionEvent &event)
{
    const std::string name = daemon.self.incarnation.value();
    const auto actions = daemon.election->handle(event, daemon.clock.at(m_now));
    m_checker.check(name, *daemon.election, actions, daemon.clock, m_now, m_timings);
    for (const LeaderElectionAction &action : actions)
        std::visit([&](const auto &kind) { perform(name, kind); }, action);
}

void LeaderElectionSimulation::send(const std::string &from, const std::string &to,
                                    LeaderElectionEvent event)
{
    ++m_counts.messages;
    if (m_cuts.contains({from, to}))
        return;
    const Duration delay = m_delaySource ? m_delaySource() : 1ms;
    at(m_now + delay, [this, to, event = std::move(event)] { deliver(to, event); });
}

bool LeaderElectionSimulation::reachesPlatform(const std::string &name) const
{
    return m_isPlatformUp && !m_platformCuts.contains(name);
}

PlatformCallBehavior LeaderElectionSimulation::nextBehavior(const std::string &name)
{
    PlatformCallBehavior behavior = m_behaviorSource ? m_behaviorSource() : PlatformCallBehavior();
    behavior.isLost = behavior.isLost || !reachesPlatform(name);
    return behavior;
}

void LeaderElectionSimulation::perform(const std::string &from, const ReadLeaderRow &)
{
    ++m_counts.reads;
    const PlatformCallBehavior behavior = nextBehavior(from);
    auto isAnswered = std::make_shared<bool>(false);
    if (!behavior.isLost && !behavior.isRefused && !behavior.isAnswerLost)
        at(m_now + behavior.toPlatform, [=, this] {
            at(m_now + behavior.back,
               [=, this, row = m_row] { answerOnce(from, LeaderRowRead{row}, isAnswered); });
        });
    at(m_now + platformTimeout, [=, this] { answerOnce(from, LeaderRowReadFailed{}, isAnswered); });
}

void LeaderElectionSimulation::perform(const std::string &from, const WriteLeaderRow &write)
{
    ++m_counts.writes;
    PlatformCallBehavior behavior = nextBehavior(from);
    if (const auto set = m_nextWriteBehaviors.find(from); set != m_nextWriteBehaviors.end()) {
        behavior = set->second;
        m_nextWriteBehaviors.erase(set);
    }
    auto isAnswered = std::make_shared<bool>(false);
    if (behavior.isRefused) {
        const LeaderRowWriteResult refusal{write.attempt, WriteRefused{}};
        at(m_now, [=, this] { answerOnce(from, refusal, isAnswered); });
        return;
    }
    if (!behavior.isLost)
        at(m_now + behavior.toPlatform,
           [=, this] { applyWrite(from, write, behavior, isAnswered); });
    const LeaderRowWriteResult unknown{write.attempt, WriteUnknown{}};
    at(m_now + platformTimeout, [=, this] { answerOnce(from, unknown, isAnswered); });
}

void LeaderElectionSimulation::applyWrite(const std::string &from, const WriteLeaderRow &write,
                                          const PlatformCallBehavior &behavior,
                                          const std::shared_ptr<bool> &isAnswered)
{
    WriteOutcome outcome = WriteConflicted{m_row};
    if (m_row.version == write.expectedVersion) {
        const bool isLoggedChange = m_row.row.epoch != write.row.epoch || write.row.isReleased
            || m_row.row.candidates != write.row.candidates;
        m_row = {++m_latestVersion, write.row};
        outcome = WriteCommitted{m_row.version};
        if (isLoggedChange || behavior.isAnswerLost || *isAnswered)
            noteRow(from + " writes");
    } else if (m_deduplicatesWrites && m_row.row.writeId == write.row.writeId)
        outcome = WriteCommitted{m_row.version};
    if (behavior.isAnswerLost)
        return;
    const LeaderRowWriteResult answer{write.attempt, outcome};
    at(m_now + behavior.back, [=, this] { answerOnce(from, answer, isAnswered); });
}

void LeaderElectionSimulation::answerOnce(const std::string &to, const LeaderElectionEvent &event,
                                          const std::shared_ptr<bool> &isAnswered)
{
    if (!std::exchange(*isAnswered, true))
        deliver(to, event);
}

void LeaderElectionSimulation::perform(const std::string &from,
                                       const RequestPromise &promiseRequest)
{
    Daemon &daemon = m_daemons.at(from);
    if (m_now > daemon.lastPromiseRequestAt + minLogInterval)
        note(from + " asks for promises");
    daemon.lastPromiseRequestAt = m_now;
    send(from, promiseRequest.to.incarnation.value(),
         PromiseRequested{Incarnation(from), promiseRequest.epoch, promiseRequest.length,
                          promiseRequest.askId});
}

void LeaderElectionSimulation::perform(const std::string &from, const AnswerPromiseRequest &answer)
{
    Daemon &daemon = m_daemons.at(from);
    const auto [last, isFirst] = daemon.lastVerdicts.try_emplace(answer.to.value());
    if (std::exchange(last->second, answer.verdict) != answer.verdict)
        note(from + ' ' + textOf(answer.verdict) + " (epoch " + std::to_string(answer.epoch) + ')');
    send(from, answer.to.value(),
         PromiseRequestAnswered{Incarnation(from), answer.epoch, answer.askId, answer.verdict,
                                answer.isPlatformReachable});
}

void LeaderElectionSimulation::perform(const std::string &from, const ReleasePromise &release)
{
    Daemon &daemon = m_daemons.at(from);
    if (std::exchange(daemon.lastReleasedRound, release.askId) != release.askId)
        note(from + " releases the promises");
    send(from, release.to.incarnation.value(),
         PromiseReleased{release.epoch, release.askId, release.length});
}

void LeaderElectionSimulation::perform(const std::string &from, const AnnounceLeader &announcement)
{
    for (const auto &[name, daemon] : m_daemons) {
        if (name != from)
            send(from, name, LeaderAnnounced{announcement.epoch});
    }
}

void LeaderElectionSimulation::perform(const std::string &from, const LeadershipStarted &began)
{
    const DriftingClock &clock = m_daemons.at(from).clock;
    const Duration wait = began.mayGrantFrom - clock.at(m_now);
    const auto inMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    note(from + " is steward of epoch " + std::to_string(began.epoch)
         + (wait > 0ns ? ", may grant in " + std::to_string(inMs) + " ms" : ", may grant at once"));
}

void LeaderElectionSimulation::perform(const std::string &from, const LeadershipEnded &ended)
{
    note(from + " is no longer steward of epoch " + std::to_string(ended.epoch) + ": "
         + textOf(ended.reason));
}

void LeaderElectionSimulation::noteRow(const std::string &how)
{
    std::string candidates;
    for (const LeaderCandidate &candidate : m_row.row.candidates)
        candidates += ' ' + candidate.incarnation.value();
    note(how + " row " + std::to_string(m_row.version) + ": "
         + (m_row.row.isReleased ? "released, epoch " : "epoch ") + std::to_string(m_row.row.epoch)
         + ", candidates" + (candidates.empty() ? " none" : candidates));
}

} // namespace bulrush::test

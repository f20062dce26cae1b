#include "stewardworld.h"

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

StewardWorld::StewardWorld(StewardTimings timings)
    : m_timings(timings)
{ }

void StewardWorld::start(const std::string &name, DriftingClock clock)
{
    note(name + " starts");
    const DomainName domain(name.substr(0, 1));
    Daemon daemon;
    daemon.self = {Incarnation(name), domain, name + ":1"};
    daemon.clock = clock;
    daemon.seat = std::make_unique<StewardSeat>(daemon.self, DomainName("a"), m_timings);
    m_daemons[name] = std::move(daemon);
    sendPeers(name);
    tick(name);
}

void StewardWorld::kill(const std::string &name)
{
    note(name + " dies");
    m_daemons.erase(name);
}

void StewardWorld::freeze(const std::string &name, Duration length)
{
    note(name + " freezes");
    m_daemons.at(name).frozenUntil = m_now + length;
    at(m_now + length, [this, name] {
        if (!isAlive(name) || m_daemons.at(name).frozenUntil > m_now)
            return;
        note(name + " thaws");
        for (const StewardEvent &event : std::exchange(m_daemons.at(name).inbox, {}))
            deliver(name, event);
    });
}

void StewardWorld::depart(const std::string &name)
{
    note(name + " is told to depart");
    m_daemons.at(name).isDeparting = true;
    deliver(name, DepartureRequested{});
}

void StewardWorld::setPlatformUp(bool isUp)
{
    note(isUp ? "platform up" : "platform down");
    m_isPlatformUp = isUp;
}

void StewardWorld::setPlatformCut(const std::string &name, bool isCut)
{
    note(name + (isCut ? " loses the platform" : " reaches the platform again"));
    if (isCut)
        m_platformCuts.insert(name);
    else
        m_platformCuts.erase(name);
}

void StewardWorld::setCut(const std::string &one, const std::string &other, bool isCut)
{
    note(one + " and " + other + (isCut ? " are cut off from each other" : " reach each other"));
    if (isCut)
        m_cuts.insert({one, other});
    else
        m_cuts.erase({one, other});
}

void StewardWorld::releaseByOperator()
{
    m_row.row = releasedByOperator(m_row.row, Incarnation("operator"), StewardWriteId("operator"));
    m_row.version = ++m_latestVersion;
    noteRow("an operator releases");
}

void StewardWorld::deleteRow()
{
    note("the row is deleted");
    m_row = {};
    ++m_latestVersion;
}

void StewardWorld::runUntil(TrueTime time)
{
    while (!m_scheduledCalls.empty() && m_scheduledCalls.begin()->first <= time) {
        auto next = m_scheduledCalls.extract(m_scheduledCalls.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = time;
}

void StewardWorld::at(TrueTime time, std::function<void()> callback)
{
    m_scheduledCalls.emplace(time, std::move(callback));
}

std::string StewardWorld::steward() const
{
    for (const auto &[name, daemon] : m_daemons) {
        if (daemon.seat->isStewardAt(daemon.clock.at(m_now)))
            return name;
    }
    return {};
}

void StewardWorld::note(const std::string &line)
{
    char time[32];
    const double seconds = std::chrono::duration<double>(m_now).count();
    std::snprintf(time, sizeof time, "%10.3f  ", seconds);
    m_transcript += time + line + '\n';
}

void StewardWorld::tick(const std::string &name)
{
    if (!isAlive(name))
        return;
    if (m_daemons.at(name).frozenUntil <= m_now)
        handle(m_daemons.at(name), StewardTick{});
    at(m_now + tickInterval, [this, name] { tick(name); });
}

void StewardWorld::sendPeers(const std::string &name)
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

void StewardWorld::deliver(const std::string &name, const StewardEvent &event)
{
    if (!isAlive(name))
        return;
    Daemon &daemon = m_daemons.at(name);
    if (daemon.frozenUntil > m_now)
        daemon.inbox.push_back(event);
    else
        handle(daemon, event);
}

void StewardWorld::handle(Daemon &daemon, const StewardEvent &event)
{
    const std::string name = daemon.self.incarnation.value();
    const auto actions = daemon.seat->handle(event, daemon.clock.at(m_now));
    m_checker.check(name, *daemon.seat, actions, daemon.clock, m_now, m_timings);
    for (const StewardAction &action : actions)
        std::visit([&](const auto &kind) { perform(name, kind); }, action);
}

void StewardWorld::send(const std::string &from, const std::string &to, StewardEvent event)
{
    ++m_counts.messages;
    if (m_cuts.contains({from, to}))
        return;
    const Duration delay = m_delaySource ? m_delaySource() : 1ms;
    at(m_now + delay, [this, to, event = std::move(event)] { deliver(to, event); });
}

bool StewardWorld::reachesPlatform(const std::string &name) const
{
    return m_isPlatformUp && !m_platformCuts.contains(name);
}

PlatformCallBehavior StewardWorld::nextBehavior(const std::string &name)
{
    PlatformCallBehavior behavior = m_behaviorSource ? m_behaviorSource() : PlatformCallBehavior();
    behavior.isLost = behavior.isLost || !reachesPlatform(name);
    return behavior;
}

void StewardWorld::perform(const std::string &from, const ReadStewardRow &)
{
    ++m_counts.reads;
    const PlatformCallBehavior behavior = nextBehavior(from);
    auto isAnswered = std::make_shared<bool>(false);
    if (!behavior.isLost && !behavior.isRefused && !behavior.isAnswerLost)
        at(m_now + behavior.toPlatform, [=, this] {
            at(m_now + behavior.back,
               [=, this, row = m_row] { answerOnce(from, StewardRowRead{row}, isAnswered); });
        });
    at(m_now + platformTimeout, [=, this] { answerOnce(from, StewardReadFailed{}, isAnswered); });
}

void StewardWorld::perform(const std::string &from, const WriteStewardRow &write)
{
    ++m_counts.writes;
    PlatformCallBehavior behavior = nextBehavior(from);
    if (const auto set = m_nextWriteBehaviors.find(from); set != m_nextWriteBehaviors.end()) {
        behavior = set->second;
        m_nextWriteBehaviors.erase(set);
    }
    auto isAnswered = std::make_shared<bool>(false);
    if (behavior.isRefused) {
        const StewardWriteAnswered refusal{write.attempt, WriteRefused{}};
        at(m_now, [=, this] { answerOnce(from, refusal, isAnswered); });
        return;
    }
    if (!behavior.isLost)
        at(m_now + behavior.toPlatform,
           [=, this] { applyWrite(from, write, behavior, isAnswered); });
    const StewardWriteAnswered unknown{write.attempt, WriteUnknown{}};
    at(m_now + platformTimeout, [=, this] { answerOnce(from, unknown, isAnswered); });
}

void StewardWorld::applyWrite(const std::string &from, const WriteStewardRow &write,
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
    const StewardWriteAnswered answer{write.attempt, outcome};
    at(m_now + behavior.back, [=, this] { answerOnce(from, answer, isAnswered); });
}

void StewardWorld::answerOnce(const std::string &to, const StewardEvent &event,
                              const std::shared_ptr<bool> &isAnswered)
{
    if (!std::exchange(*isAnswered, true))
        deliver(to, event);
}

void StewardWorld::perform(const std::string &from, const AskPromise &promiseRequest)
{
    Daemon &daemon = m_daemons.at(from);
    if (m_now > daemon.lastPromiseRequestAt + minLogInterval)
        note(from + " asks for promises");
    daemon.lastPromiseRequestAt = m_now;
    send(from, promiseRequest.to.incarnation.value(),
         PromiseAsked{Incarnation(from), promiseRequest.epoch, promiseRequest.length,
                      promiseRequest.askId});
}

void StewardWorld::perform(const std::string &from, const AnswerPromise &answer)
{
    Daemon &daemon = m_daemons.at(from);
    const auto [last, isFirst] = daemon.lastVerdicts.try_emplace(answer.to.value());
    if (std::exchange(last->second, answer.verdict) != answer.verdict)
        note(from + ' ' + textOf(answer.verdict) + " (epoch " + std::to_string(answer.epoch) + ')');
    send(from, answer.to.value(),
         PromiseAnswered{Incarnation(from), answer.epoch, answer.askId, answer.verdict,
                         answer.isPlatformReachable});
}

void StewardWorld::perform(const std::string &from, const ReleasePromise &release)
{
    Daemon &daemon = m_daemons.at(from);
    if (std::exchange(daemon.lastReleasedRound, release.askId) != release.askId)
        note(from + " releases the promises");
    send(from, release.to.incarnation.value(),
         PromiseReleased{release.epoch, release.askId, release.length});
}

void StewardWorld::perform(const std::string &from, const AnnounceSteward &announcement)
{
    for (const auto &[name, daemon] : m_daemons) {
        if (name != from)
            send(from, name, StewardAnnounced{announcement.epoch});
    }
}

void StewardWorld::perform(const std::string &from, const StewardshipBegan &began)
{
    const DriftingClock &clock = m_daemons.at(from).clock;
    const Duration wait = began.mayGrantFrom - clock.at(m_now);
    const auto inMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    note(from + " is steward of epoch " + std::to_string(began.epoch)
         + (wait > 0ns ? ", may grant in " + std::to_string(inMs) + " ms" : ", may grant at once"));
}

void StewardWorld::perform(const std::string &from, const StewardshipEnded &ended)
{
    note(from + " is no longer steward of epoch " + std::to_string(ended.epoch) + ": "
         + textOf(ended.reason));
}

void StewardWorld::noteRow(const std::string &how)
{
    std::string candidates;
    for (const StewardCandidate &candidate : m_row.row.candidates)
        candidates += ' ' + candidate.incarnation.value();
    note(how + " row " + std::to_string(m_row.version) + ": "
         + (m_row.row.isReleased ? "released, epoch " : "epoch ") + std::to_string(m_row.row.epoch)
         + ", candidates" + (candidates.empty() ? " none" : candidates));
}

} // namespace bulrush::test

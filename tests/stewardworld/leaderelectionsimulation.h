#pragma once

#include "driftingclock.h"
#include "leadershipchecker.h"
#include "process/leaderelection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrush::test {

/** Delays and faults of one read or write between a daemon and the platform. */
struct PlatformCallBehavior
{
    Duration toPlatform = std::chrono::milliseconds(5);
    Duration back = std::chrono::milliseconds(5);
    /** The call never reaches the platform. */
    bool isLost = false;
    /** The call is processed, but its answer is lost. */
    bool isAnswerLost = false;
    /** The connection is refused, so a write certainly has no effect. */
    bool isRefused = false;
};

/** Numbers of calls and messages that the daemons have sent, including lost ones. */
struct SimulationCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t messages = 0;
};

/**
 * Simulation of the leader election of one failure domain with several daemons on a virtual clock.
 * Each daemon has its own drifting clock. The platform can be down, slow or lose answers, and
 * connections between daemons can be cut.
 */
class LeaderElectionSimulation
{
public:
    explicit LeaderElectionSimulation(LeaderElectionTimings timings);

    /** Starts a daemon. Its name is its incarnation, and the first letter is its domain. */
    void start(const std::string &name, DriftingClock clock = {});
    void kill(const std::string &name);
    void freeze(const std::string &name, Duration length);
    void depart(const std::string &name);
    void setPlatformUp(bool isUp);
    /** Makes the platform answer a repeated write that it has already applied as committed. */
    void setPlatformDeduplicatesWrites()
    {
        m_deduplicatesWrites = true;
    }
    /** Cuts or restores a daemon's connection to the platform. */
    void setPlatformCut(const std::string &name, bool isCut);
    /** Cuts or restores the connection between two daemons. */
    void setCut(const std::string &one, const std::string &other, bool isCut);
    /** Sets the source of the delays of messages between daemons. */
    void setMessageDelays(std::function<Duration()> source)
    {
        m_delaySource = std::move(source);
    }
    /** Sets the delays and faults of the next write of \a name. */
    void setNextWriteBehavior(const std::string &name, PlatformCallBehavior behavior)
    {
        m_nextWriteBehaviors[name] = behavior;
    }
    /** Sets the source of delays and faults for reads and for writes without their own setting. */
    void setBehaviorSource(std::function<PlatformCallBehavior()> source)
    {
        m_behaviorSource = std::move(source);
    }
    /** Releases the row as an operator who guarantees that its holder has stopped. */
    void releaseByOperator();
    void deleteRow();

    void runUntil(TrueTime time);
    void run(Duration length)
    {
        runUntil(m_now + length);
    }
    /** Schedules \a callback for \a time. */
    void at(TrueTime time, std::function<void()> callback);

    TrueTime now() const
    {
        return m_now;
    }
    bool isAlive(const std::string &name) const
    {
        return m_daemons.contains(name);
    }
    /** \returns the current leader, or an empty name if there is none. */
    std::string steward() const;
    const VersionedLeaderRow &row() const
    {
        return m_row;
    }
    const SimulationCounts &counts() const
    {
        return m_counts;
    }
    const LeadershipChecker &checker() const
    {
        return m_checker;
    }
    const LeaderElection &election(const std::string &name) const
    {
        return *m_daemons.at(name).election;
    }
    /** \returns a log of the events, one line each. */
    const std::string &transcript() const
    {
        return m_transcript;
    }
    void note(const std::string &line);

private:
    struct Daemon
    {
        LeaderCandidate self;
        DriftingClock clock;
        std::unique_ptr<LeaderElection> election;
        TrueTime frozenUntil{};
        std::vector<LeaderElectionEvent> inbox;
        std::map<std::string, PromiseVerdict> lastVerdicts;
        bool isDeparting = false;
        PromiseRoundId lastReleasedRound = 0;
        TrueTime lastPromiseRequestAt = -std::chrono::hours(1);
    };

    void tick(const std::string &name);
    void sendPeers(const std::string &name);
    void deliver(const std::string &name, const LeaderElectionEvent &event);
    void handle(Daemon &daemon, const LeaderElectionEvent &event);
    void send(const std::string &from, const std::string &to, LeaderElectionEvent event);
    bool reachesPlatform(const std::string &name) const;
    PlatformCallBehavior nextBehavior(const std::string &name);
    void answerOnce(const std::string &to, const LeaderElectionEvent &event,
                    const std::shared_ptr<bool> &isAnswered);

    void perform(const std::string &from, const ReadLeaderRow &read);
    void perform(const std::string &from, const WriteLeaderRow &write);
    void perform(const std::string &from, const RequestPromise &promiseRequest);
    void perform(const std::string &from, const AnswerPromiseRequest &answer);
    void perform(const std::string &from, const ReleasePromise &release);
    void perform(const std::string &from, const AnnounceLeader &announcement);
    void perform(const std::string &from, const LeadershipStarted &began);
    void perform(const std::string &from, const LeadershipEnded &ended);
    void applyWrite(const std::string &from, const WriteLeaderRow &write,
                    const PlatformCallBehavior &behavior, const std::shared_ptr<bool> &isAnswered);
    void noteRow(const std::string &how);

    LeaderElectionTimings m_timings;
    TrueTime m_now{};
    std::multimap<TrueTime, std::function<void()>> m_scheduledCalls;
    std::map<std::string, Daemon> m_daemons;
    VersionedLeaderRow m_row;
    RowVersion m_latestVersion = 0;
    bool m_isPlatformUp = true;
    bool m_deduplicatesWrites = false;
    std::set<std::string> m_platformCuts;
    std::set<std::set<std::string>> m_cuts;
    std::map<std::string, PlatformCallBehavior> m_nextWriteBehaviors;
    std::function<PlatformCallBehavior()> m_behaviorSource;
    std::function<Duration()> m_delaySource;
    SimulationCounts m_counts;
    LeadershipChecker m_checker;
    std::string m_transcript;
};

} // namespace bulrush::test

#pragma once

#include "driftingclock.h"
#include "process/stewardseat.h"
#include "tenurechecker.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrush::test {

/** What becomes of one read or write on its way to the platform and back. */
struct Fate
{
    Duration toPlatform = std::chrono::milliseconds(5);
    Duration back = std::chrono::milliseconds(5);
    /** Never reaches the platform. */
    bool isLost = false;
    /** Takes effect or not, but nobody is told. */
    bool isAnswerLost = false;
    /** The connection was refused, so that a write surely has no effect. */
    bool isRefused = false;
};

/** What the daemons have sent, tried or not. */
struct WorldCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t messages = 0;
};

/**
 * A handful of steward seats about the row of one failure domain, on a virtual clock: each with a
 * clock of its own, a platform row that can be down, slow or lose answers, and a net with cuts.
 */
class StewardWorld
{
public:
    explicit StewardWorld(StewardTimings timings);

    /** Starts a run of a daemon; its name is its incarnation, its first letter its domain. */
    void start(const std::string &name, DriftingClock clock = {});
    void kill(const std::string &name);
    void freeze(const std::string &name, Duration length);
    void depart(const std::string &name);
    void setPlatformUp(bool isUp);
    /** Lets the platform answer a write that it has applied before as committed. */
    void setPlatformRemembersWrites()
    {
        m_remembersWrites = true;
    }
    /** Cuts a daemon's way to the platform, or heals it. */
    void setPlatformCut(const std::string &name, bool isCut);
    /** Cuts two daemons' ways to each other, or heals them. */
    void setCut(const std::string &one, const std::string &other, bool isCut);
    /** Decides the delay of each message between daemons. */
    void setMessageDelays(std::function<Duration()> source)
    {
        m_delaySource = std::move(source);
    }
    /** Decides the fate of the next write of \a name. */
    void setNextWriteFate(const std::string &name, Fate fate)
    {
        m_fates[name] = fate;
    }
    /** Decides the fate of each read, and of each write that has none of its own. */
    void setFates(std::function<Fate()> source)
    {
        m_fateSource = std::move(source);
    }
    /** An operator releases the row, vouching that its holder is gone. */
    void releaseByOperator();
    void deleteRow();

    void runUntil(TrueTime time);
    void run(Duration length)
    {
        runUntil(m_now + length);
    }
    /** Calls \a deed at \a time. */
    void at(TrueTime time, std::function<void()> deed);

    TrueTime now() const
    {
        return m_now;
    }
    bool isAlive(const std::string &name) const
    {
        return m_daemons.contains(name);
    }
    /** The daemon in office now; empty if there is none. */
    std::string steward() const;
    const VersionedStewardRow &row() const
    {
        return m_row;
    }
    const WorldCounts &counts() const
    {
        return m_counts;
    }
    const TenureChecker &checker() const
    {
        return m_checker;
    }
    const StewardSeat &seat(const std::string &name) const
    {
        return *m_daemons.at(name).seat;
    }
    /** What happened, a line each. */
    const std::string &transcript() const
    {
        return m_transcript;
    }
    void note(const std::string &line);

private:
    struct Daemon
    {
        StewardCandidate self;
        DriftingClock clock;
        std::unique_ptr<StewardSeat> seat;
        TrueTime frozenUntil{};
        std::vector<StewardEvent> inbox;
        std::map<std::string, PromiseVerdict> lastVerdicts;
        bool isDeparting = false;
        PromiseRoundId releasedAsk = 0;
        TrueTime requestedAt = -std::chrono::hours(1);
    };

    void tick(const std::string &name);
    void tellPeers(const std::string &name);
    void deliver(const std::string &name, const StewardEvent &event);
    void handle(Daemon &daemon, const StewardEvent &event);
    void send(const std::string &from, const std::string &to, StewardEvent event);
    bool reachesPlatform(const std::string &name) const;
    Fate nextFate(const std::string &name);
    void answerOnce(const std::string &to, const StewardEvent &event,
                    const std::shared_ptr<bool> &isAnswered);

    void perform(const std::string &from, const ReadStewardRow &read);
    void perform(const std::string &from, const WriteStewardRow &write);
    void perform(const std::string &from, const AskPromise &question);
    void perform(const std::string &from, const AnswerPromise &answer);
    void perform(const std::string &from, const ReleasePromise &release);
    void perform(const std::string &from, const AnnounceSteward &announcement);
    void perform(const std::string &from, const StewardshipBegan &began);
    void perform(const std::string &from, const StewardshipEnded &ended);
    void applyWrite(const std::string &from, const WriteStewardRow &write, const Fate &fate,
                    const std::shared_ptr<bool> &isAnswered);
    void noteRow(const std::string &how);

    StewardTimings m_timings;
    TrueTime m_now{};
    std::multimap<TrueTime, std::function<void()>> m_agenda;
    std::map<std::string, Daemon> m_daemons;
    VersionedStewardRow m_row;
    RowVersion m_latestVersion = 0;
    bool m_isPlatformUp = true;
    bool m_remembersWrites = false;
    std::set<std::string> m_platformCuts;
    std::set<std::set<std::string>> m_cuts;
    std::map<std::string, Fate> m_fates;
    std::function<Fate()> m_fateSource;
    std::function<Duration()> m_delaySource;
    WorldCounts m_counts;
    TenureChecker m_checker;
    std::string m_transcript;
};

} // namespace bulrush::test

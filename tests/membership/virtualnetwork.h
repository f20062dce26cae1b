#pragma once

#include "process/membership.h"
#include "process/timerservice.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bulrush::test {

/** Where a daemon of a session runs. */
struct Place
{
    std::string host;
    std::string domain;
    std::string region;
};

/** What a daemon sent and took in. */
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/**
 * The platform of a session: contracts that are accepted by compare-and-set.
 */
struct FakePlatform
{
    std::map<std::string, VersionedItem> contracts;
    bool isUp = true;
    std::uint64_t reads = 0;

    /** \returns whether the change was accepted: \a readVersion is the version held. */
    bool put(const std::string &name, std::uint64_t readVersion, std::string body);
    std::vector<VersionedItem> listing() const;
};

/**
 * Many daemons' memberships on one virtual clock, with a network that delays, loses and cuts, and
 * processes that pause and end.
 */
class VirtualNetwork
{
public:
    using Sizer = std::function<std::size_t(const PeerMessage &)>;

    explicit VirtualNetwork(std::uint64_t seed);
    VirtualNetwork(const VirtualNetwork &) = delete;
    VirtualNetwork &operator=(const VirtualNetwork &) = delete;

    /** Starts a daemon; \a seeds are hosts. A host that runs one gets a new one in its place. */
    void start(const Place &place, std::vector<std::string> seeds, std::uint64_t generation,
               bool isTraced = true);
    /** Ends a process without a word. */
    void kill(const std::string &host);
    void pause(const std::string &host);
    void thaw(const std::string &host);
    /** Cuts \a domain off from all others, and from the platform if \a fromPlatform. */
    void cut(const std::string &domain, bool fromPlatform);
    void heal(const std::string &domain);
    /** Cuts one host off from the platform alone. */
    void cutFromPlatform(const std::string &host);
    /** Cuts regions from each other. */
    void setRegionsApart(bool areApart);
    void setLoss(double share);
    void setSizer(Sizer sizer);

    /** Delivers a message that an old run of a daemon left in the network. */
    void deliver(const std::string &to, const PeerMessage &message);
    /** Gives \a host an answer of the platform that was read at \a requestedAt. */
    void answerListing(const std::string &host, Instant requestedAt,
                       std::vector<VersionedItem> items);

    void runFor(Duration span);
    Instant now() const;
    void note(const std::string &line);
    /** Runs what a test calls on a daemon itself. */
    void act(const std::string &host, const std::function<MembershipActions(Membership &)> &call);

    Membership &membership(const std::string &host);
    VersionStore &versions(const std::string &host);
    bool isRunning(const std::string &host) const;
    std::vector<std::string> hosts() const;
    std::uint64_t versionAt(const std::string &host, const std::string &contract) const;
    /** \returns how many running daemons hold \a version of \a contract or later. */
    std::size_t holdersOf(const std::string &contract, std::uint64_t version) const;
    Traffic sent(const std::string &host) const;
    const std::string &trace() const;

    FakePlatform platform;
    MembershipSettings settings;

private:
    struct Daemon
    {
        Place place;
        std::unique_ptr<VersionStore> versions;
        std::unique_ptr<Membership> membership;
        bool isPaused = false;
        bool isTraced = true;
        std::uint64_t run = 0;
        Instant nextTick = Instant::max();
        std::deque<std::function<void()>> inbox;
        Traffic sent;
    };

    void perform(Daemon &daemon, MembershipActions actions);
    void performOne(Daemon &daemon, const OutgoingMessage &outgoing);
    void performOne(Daemon &daemon, const ReadPlatform &);
    void performOne(Daemon &daemon, const ApplyItem &applied);
    void performOne(Daemon &daemon, const MemberChanged &changed);
    void performOne(Daemon &daemon, const Superseded &superseded);
    void schedule(Daemon &daemon);
    void whenRunning(const std::string &host, std::uint64_t run, std::function<void()> work);
    bool isReachable(const Daemon &from, const Daemon &to) const;
    Duration delay(const Daemon &from, const Daemon &to);

    TimerService m_timers;
    Instant m_now{};
    std::map<std::string, Daemon> m_daemons;
    std::set<std::string> m_cutDomains;
    std::set<std::string> m_withoutPlatform;
    bool m_areRegionsApart = false;
    double m_loss = 0;
    std::mt19937_64 m_random;
    std::uint64_t m_nextRun = 1;
    Sizer m_sizer;
    std::string m_trace;
};

} // namespace bulrush::test

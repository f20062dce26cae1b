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

/** Location of a daemon in the simulation. */
struct Location
{
    std::string host;
    std::string domain;
    std::string region;
};

/** Messages and bytes that a daemon sent. */
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/**
 * The simulated platform: stores contracts by compare-and-set.
 */
struct FakePlatform
{
    std::map<std::string, VersionedItem> contracts;
    bool isUp = true;
    std::uint64_t reads = 0;

    /** \returns whether the change was accepted, that is if \a readVersion is the stored version.
     */
    bool put(const std::string &name, std::uint64_t readVersion, std::string body);
    std::vector<VersionedItem> listing() const;
};

/**
 * Simulation of the membership of many daemons on one virtual clock, with network delays, message
 * loss and partitions, and with processes that pause or stop.
 */
class VirtualNetwork
{
public:
    using Sizer = std::function<std::size_t(const PeerMessage &)>;

    explicit VirtualNetwork(std::uint64_t seed);
    VirtualNetwork(const VirtualNetwork &) = delete;
    VirtualNetwork &operator=(const VirtualNetwork &) = delete;

    /** Starts a daemon; \a seeds are hosts. It replaces the daemon that runs on the host, if any.
     */
    void start(const Location &place, std::vector<std::string> seeds, std::uint64_t generation,
               bool isTraced = true);
    /** Stops a process without any message. */
    void kill(const std::string &host);
    void pause(const std::string &host);
    void resume(const std::string &host);
    /** Disconnects \a domain from all others, and from the platform if \a fromPlatform. */
    void cut(const std::string &domain, bool fromPlatform);
    void heal(const std::string &domain);
    /** Disconnects one host from the platform only. */
    void cutFromPlatform(const std::string &host);
    /** Disconnects the regions from each other. */
    void setRegionsApart(bool areApart);
    void setLoss(double share);
    void setSizer(Sizer sizer);

    /** Delivers a message, for example one sent by an earlier incarnation of a daemon. */
    void deliver(const std::string &to, const PeerMessage &message);
    /** Delivers to \a host an answer of the platform to a read requested at \a requestedAt. */
    void answerListing(const std::string &host, Instant requestedAt,
                       std::vector<VersionedItem> items);

    void runFor(Duration span);
    Instant now() const;
    void note(const std::string &line);
    /** Makes a call on a daemon and performs the actions that it returns. */
    void act(const std::string &host, const std::function<MembershipActions(Membership &)> &call);

    Membership &membership(const std::string &host);
    VersionStore &versions(const std::string &host);
    bool isRunning(const std::string &host) const;
    std::vector<std::string> hosts() const;
    std::uint64_t versionAt(const std::string &host, const std::string &contract) const;
    /** \returns the number of running daemons that hold \a version of \a contract or a later one.
     */
    std::size_t holdersOf(const std::string &contract, std::uint64_t version) const;
    Traffic sent(const std::string &host) const;
    const std::string &trace() const;

    FakePlatform platform;
    MembershipSettings settings;

private:
    struct Daemon
    {
        Location place;
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

#pragma once

#include "keyed/leasetable.h"
#include "process/keycoordinator.h"
#include "process/serverdirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bulrush::test {

/** A fault planted in the simulation on purpose; the search has to find each of them. */
enum class PlantedFault {
    None,
    ReleaseWithOldFence,   ///< ranges are released under the current fencing token of their owner
    MoveWithoutWaiting,    ///< a moving range is settled without waiting for its previous owner
    RenewalRightFromLater, ///< the right to renew counts from later than the store's answer
    NoCheckAfterFreeze,    ///< grants queued before a freeze are sent after it without a check
    ForgetsGrants,         ///< daemons answer that they have sent no grants lately
    DelayedBytesArrive,    ///< a grant delayed by a partition arrives after its call timed out
    FenceNotRaised,        ///< a new owner gets a grant under the old fencing token
    RenewsOtherRun,        ///< daemons do not detect that a server has restarted
    ForgetsAssignments,    ///< daemons remember no assignments that a restored store lacks
    TrustsCopy,            ///< assignments in the copy count as the last ones after a restore
};

/** Result of a simulation. */
struct SimulationResult
{
    /** Empty, or the first violation of an invariant. */
    std::string violation;
    /** Number of committed assignments; a search without any proves nothing. */
    int moves = 0;
    /**
     * Fraction of the cells that their assigned owner holds after the final period without faults.
     */
    double servedAtEnd = 0.0;
};

/**
 * Simulates daemons, backend servers and a store on a virtual clock, with random faults from a
 * seed. Daemons are killed, frozen, and partitioned from the store or from servers. The store is
 * unavailable, loses answers, executes writes late, and reports no changes for a second. Servers
 * crash, drain, lose their records while they run, and execute grants late. If \a restores is set,
 * the store also returns from a copy that is some seconds old. Each step checks that
 * no two servers hold the same key, and that the fencing token rises with each new holder.
 */
class KeySimulation
{
public:
    KeySimulation(std::uint64_t seed, PlantedFault planted, bool hasRestores = false);
    ~KeySimulation();

    KeySimulation(const KeySimulation &) = delete;
    KeySimulation &operator=(const KeySimulation &) = delete;

    /** Runs a minute with faults, and then without new ones until the last ones are over. */
    SimulationResult run();

    /**
     * Runs \a span without randomness, with only the faults from the steps given to at(). \returns
     * the trace of events for a golden file, one per line; the last line reports a violation.
     */
    std::string runScript(Duration span);

    /** Schedules \a step at \a since the start of a script. To be called before runScript(). */
    void at(Duration since, std::function<void()> step);

    /** \returns the index of the daemon that is the planner; for use by steps. */
    std::size_t planner() const;

    void killDaemon(std::size_t index);
    void startDaemon(std::size_t index);
    void freezeDaemon(std::size_t index, Duration span);
    void partitionFromStore(std::size_t index, Duration span);
    void partitionFromServers(std::size_t index, Duration span);
    void partitionFromPeers(std::size_t index, Duration span);
    void makeStoreUnavailable(Duration span);
    /** Makes the store unavailable for \a span; it returns with the rows of \a age before. */
    void restoreStore(Duration span, Duration age);
    void stallFeeds();
    /** Executes the next \a count commits after \a delay, and loses their answers. */
    void delayCommits(int count, Duration delay);
    /** Executes the next \a count grants late by \a delay, without an answer. */
    void delayGrants(int count, Duration delay);
    /** Stops the server; its record expires later, and another run registers after a delay. */
    void crashServer(std::size_t index);
    void drainServer(std::size_t index);
    /**
     * Evacuates the failure domain \a domain, or ends that, which leaves its servers cold if they
     * have a cold start.
     */
    void evacuateDomain(const DomainName &domain);
    void endEvacuation(const DomainName &domain);
    /** Sets how servers behave after their start; by default they bear any number of requests. */
    void setColdStart(const ColdStart &coldStart);
    /** Removes the record of the server, which keeps running. */
    void removeServerRecord(std::size_t index);
    /**
     * Stops the server and starts it after \a pause under the same name, and at the same address
     * unless \a isMoved. Its record changes \a lag later, or when the store is available again.
     */
    void restartServer(std::size_t index, Duration pause, Duration lag, bool isMoved = false);

private:
    struct Daemon;
    struct Server;

    using Step = std::function<void()>;

    void after(Duration delay, Step step);
    void runUntil(Instant end);
    Duration transit();
    bool happens(double probability);
    std::size_t randomBelow(std::size_t count);

    void tick(std::size_t index, std::uint64_t incarnation);
    void dispatch(std::size_t index, const KeyAction &action);
    void execute(std::size_t index, const WritePlannerRow &action);
    void execute(std::size_t index, const CommitKeyAssignment &action);
    void execute(std::size_t index, const SendGrant &action);
    void sendGrant(std::size_t index, std::uint64_t incarnation, const SendGrant &action);
    bool failOnOldConnection(std::size_t index, std::uint64_t incarnation, const Server &server,
                             const SendGrant &action);
    void execute(std::size_t index, const SendRelease &action);
    void execute(std::size_t index, const QueryRenewer &action);
    void execute(std::size_t index, const QueryAssignments &action);
    void execute(std::size_t index, const WriteDaemonRow &action);
    void execute(std::size_t index, const RemoveDaemonRows &action);
    void runAtDaemon(std::size_t index, std::uint64_t incarnation, Step step);
    bool canReachStore(const Daemon &daemon) const;
    bool canReach(const Daemon &daemon, const Server &server) const;

    std::uint64_t daemonRowVersion(const HostName &host) const;

    using CommitHandler = std::function<void(RowWriteResult, const StoreVersion &)>;
    void commit(std::size_t index, std::function<std::uint64_t()> apply, CommitHandler onResult);
    void followRows(std::size_t index, std::uint64_t incarnation, Instant sentAt);
    bool canReachPeer(const Daemon &from, const Daemon &to) const;

    void injectFault();
    void injectDaemonFault();
    void injectServerFault();
    void replaceServer(Server &server);
    void writeRecord(Server &server, std::uint64_t run);
    void closeConnections(const Server &server);
    void connectServers(std::size_t index);
    void recordConnectionLost(std::size_t index, const ServerName &name);
    void injectStoreFault();
    void keepCopies();
    std::size_t indexOf(const HostName &host) const;
    void injectViewFault();
    void check();
    void addToTrace(const std::string &what);
    void traceHolders();
    Server *serverOf(const ServerName &name);

    std::mt19937_64 m_random;
    PlantedFault m_planted;
    Instant m_now;
    std::multimap<Instant, Step> m_steps;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Server>> m_servers;
    ServerDirectory m_directory;
    /** The rows of the store and the numbers of their versions. */
    struct StoreRows
    {
        /** Number of the last change of any row. */
        std::uint64_t number = 0;
        std::uint64_t plannerNumber = 0;
        PlannerRow planner;
        std::uint64_t assignmentNumber = 0;
        KeyAssignment assignment;
        std::map<HostName, std::pair<DaemonRow, std::uint64_t>> daemons;
    };
    StoreRows m_store;
    /** 0: the store names no era. */
    std::uint64_t m_era = 0;
    bool m_hasRestores = false;
    /** Earlier rows of the store, and their time. */
    std::map<Instant, StoreRows> m_copies;
    Instant m_storeUnavailableUntil;
    /** Until then feeds deliver no changes. */
    Instant m_feedsStalledUntil;
    bool m_hasFaults = true;
    std::map<std::size_t, std::pair<ServerName, std::uint64_t>> m_lastHolder;
    SimulationResult m_result;
    /** A script runs without randomness and records a trace of events. */
    bool m_isScripted = false;
    Instant m_start;
    std::string m_trace;
    std::vector<ServerName> m_tracedHolders;
    int m_commitsToDelay = 0;
    Duration m_commitDelay{};
    int m_grantsToDelay = 0;
    Duration m_grantDelay{};
};

} // namespace bulrush::test

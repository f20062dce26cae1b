#pragma once

#include "observer.h"

#include "process/assignmentrecovery.h"
#include "process/handover.h"
#include "process/routingleaseholder.h"
#include "process/serverdeadline.h"
#include "process/servermanagertable.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

/** Bugs that a test injects, to check that the observer detects them. */
enum class PlantedFault {
    None,
    LeaseCountedFromReceipt,
    NoWaitForRunningWork,
    NoDriftMargin,
    IdleReportedEarly,
    UnknownTreatedAsCommitted,
};

enum class PlatformFault {
    None,
    Down,
    /** Writes take effect, but their answers are lost. */
    AnswerLost,
    /** Writes and their answers are lost. */
    WriteLost,
    /** Writes take effect long after they have timed out. */
    WriteLate,
};

struct SimulationSettings
{
    std::uint64_t seed = 1;
    bulrush::RoutingLeaseTimings terms;
    bulrush::HandoverLimits moves;
    int daemons = 3;
    int servers = 4;
    /** Number of slices, each with one key. */
    int keys = 8;
    /** Keys that callers request; all if empty. */
    std::vector<int> requestedKeys;
    bool checksFence = false;
    bulrush::Duration minDelay = std::chrono::microseconds{500};
    bulrush::Duration maxDelay = std::chrono::milliseconds{1};
    bulrush::Duration slowDelay = std::chrono::milliseconds{150};
    double slowShare = 0;
    /** Share of lease replies that are slow, in addition to slowShare. */
    double slowReplyShare = 0;
    double duplicateShare = 0;
    double lossShare = 0;
    /** Maximum rate error of clocks against true time, in either direction. */
    std::int64_t clockPpm = 0;
    /** Every clock runs at one of the two bounds. */
    bool hasExtremeClocks = false;
    bulrush::Duration requestPeriod = std::chrono::milliseconds{5};
    bulrush::Duration minRun = std::chrono::milliseconds{2};
    bulrush::Duration maxRun = std::chrono::milliseconds{20};
    bulrush::Duration serverSilenceTimeout = std::chrono::milliseconds{500};
    bulrush::Duration daemonSilenceTimeout = std::chrono::milliseconds{700};
    bulrush::Duration tenure = std::chrono::seconds{3};
    PlantedFault fault = PlantedFault::None;
};

/**
 * A simulation of a domain leader, daemons, backend servers and a platform on virtual time. Each
 * process has its own clock. The network delays, duplicates, reorders and loses messages.
 */
class OwnershipSimulation
{
public:
    explicit OwnershipSimulation(const SimulationSettings &settings);

    /** Calls \a step at true time \a time after the start. */
    void at(bulrush::Duration time, std::function<void()> step);
    void runUntil(bulrush::Duration time);

    void killServer(int server);
    void freezeServer(int server);
    void thawServer(int server);
    void killDaemon(int daemon);
    void freezeDaemon(int daemon);
    void thawDaemon(int daemon);
    /** Partitions a daemon and a server from all other processes, but not from each other. */
    void isolate(int daemon, int server, bool isIsolated);
    /** Schedules the departure of the daemon's host; it manages no servers from then on. */
    void scheduleDeparture(int daemon);
    void freezeLeader();
    void thawLeaders();
    void killLeader();
    /** Starts a new leader when the current term expires, unless that term is extended. */
    void startSuccessorAfterTerm();
    void moveSlice(int key, int server);
    void setPlatformFault(PlatformFault fault);
    /** Blocks the delivery of assignments to the daemon. Its lease pulls are still answered. */
    void setViewsBlocked(int daemon, bool isBlocked);
    void startUpload(int key, bulrush::Duration length);
    void note(const std::string &text);

    const OwnershipObserver &observer() const
    {
        return m_observer;
    }
    /** Number of grants covered neither by the published assignment nor by the rules of an outage.
     */
    int uncoveredGrants() const
    {
        return m_uncoveredGrants;
    }
    /** Number of requests that ran when their server was frozen. */
    int interruptedWork() const
    {
        return m_interruptedWork;
    }
    int completedUploads() const
    {
        return m_endedUploads;
    }
    int deadlineDrops() const
    {
        return m_deadlineDrops;
    }
    int fenceDrops() const
    {
        return m_fenceDrops;
    }
    int refusals(bulrush::DispatchRefusal reason) const;
    bulrush::Duration unavailable(int key, bulrush::Duration from, bulrush::Duration until) const;
    bulrush::Instant lastStartAt(int server) const;
    /** \returns whether at least one server and one daemon are alive. */
    bool hasLiveProcesses() const;
    bulrush::Fence publishedVersion() const
    {
        return m_publishedAssignment.version;
    }
    const bulrush::Handover *handover() const;
    /** The event log so far. */
    const std::string &session() const
    {
        return m_session;
    }

private:
    /** An immutable assignment, shared by all routers that hold it. */
    struct View
    {
        explicit View(bulrush::Assignment held)
            : assignment(std::move(held))
            , map(assignment)
        { }

        bulrush::Assignment assignment;
        bulrush::OwnershipMap map;
    };
    using ViewPointer = std::shared_ptr<const View>;
    struct Process
    {
        std::string name;
        bulrush::Duration offset{0};
        std::int64_t ppm = 0;
        bool isAlive = true;
        bool isFrozen = false;
        /** Exchanges messages only with other isolated processes. */
        bool isIsolated = false;
        std::vector<std::function<void()>> inbox;
    };
    struct Work
    {
        bulrush::KeyHash key = 0;
        bulrush::Fence fence;
        bulrush::Duration deadline{0};
        bulrush::Duration run{0};
        int daemon = 0;
        bulrush::FlightId flight = 0;
        bool isUpload = false;
    };
    struct RunningWork
    {
        Work work;
        bulrush::Instant start;
        bool isInterrupted = false;
    };
    struct Server
    {
        Process process;
        std::vector<bulrush::SliceOwner> grants;
        std::vector<bulrush::SliceOwner> revoked;
        std::map<std::uint64_t, RunningWork> running;
        bulrush::Instant lastStart;
    };
    struct Daemon
    {
        Daemon(Process itself, bulrush::RoutingLeaseHolder itsRight)
            : process(std::move(itself))
            , right(std::move(itsRight))
        { }

        Process process;
        bulrush::RoutingLeaseHolder right;
        ViewPointer view = std::make_shared<View>(bulrush::Assignment());
        std::map<bulrush::ServerName, bulrush::ServerClockReading> clocks;
        std::map<bulrush::ServerName, bulrush::Instant> lastPong;
        std::map<bulrush::LeaseRequestId, bulrush::Instant> sentAt;
        bulrush::Instant nextPull;
        bulrush::Instant nextPing;
        std::size_t leader = 0;
        bool isViewBlocked = false;
        bool isLeaving = false;
    };
    struct Leader
    {
        Process process;
        std::uint64_t epoch = 1;
        std::unique_ptr<bulrush::RoutingLeaseTable> book;
        std::unique_ptr<bulrush::Handover> handover;
        std::unique_ptr<bulrush::AssignmentRecovery> recovery;
        bulrush::ServerManagerTable managedServers;
        bulrush::Instant termEnd;
        std::map<bulrush::Incarnation, bulrush::Instant> lastPull;
        std::set<bulrush::Incarnation> lostDaemons;
        std::map<bulrush::ServerName, bulrush::Incarnation> lostServers;
        /** Server of each slice by the leader's plan. */
        std::vector<int> plannedServers;
        ViewPointer view;
        bool isPlatformOut = false;
    };

    void after(bulrush::Duration delay, std::function<void()> step);
    void send(const Process &from, Process &to, const std::function<void()> &step);
    void deliver(Process &to, const std::function<void()> &step);
    void thaw(Process &process);
    bulrush::Instant local(const Process &process) const;
    bulrush::Duration delay()
    {
        return delay(m_settings.slowShare);
    }
    bulrush::Duration delay(double slowShare);
    double randomUnit();
    Process makeProcess(std::string name);
    Daemon *daemonOf(const bulrush::Incarnation &incarnation);
    Server &serverOf(const bulrush::ServerName &name);
    Leader &currentLeader();
    bulrush::KeyHash keyHash(int key) const;
    bulrush::SliceRange range(int key) const;

    void tickDaemon(Daemon &daemon);
    void pull(Daemon &daemon);
    void ping(Daemon &daemon);
    void receiveReply(Daemon &daemon, bulrush::LeaseReply reply);
    void receiveView(Daemon &daemon, const ViewPointer &view);
    void request(int key);
    void dispatch(Daemon &daemon, bulrush::DispatchQuery query, bulrush::Duration run,
                  bool isUpload);
    void receiveWork(Server &server, const Work &work);
    /** Records running requests as ended now. \returns how many there are. */
    int interruptRunningWork(Server &server);
    void completeWork(Server &server, std::uint64_t id);
    bool isFenceAccepted(const Server &server, const Work &work) const;
    void receiveOrder(Server &server, const bulrush::ServerOrder &order, std::size_t leader);
    void confirmOrder(const bulrush::ServerOrder &order, std::size_t leader,
                      const bulrush::HandoverEvent &event);

    void tickLeader(Leader &leader);
    void finishRecovery(Leader &leader);
    void startNewLeader();
    void answerPull(std::size_t index, const bulrush::LeaseRequest &request);
    void updateLostServers(Leader &leader, const bulrush::LeaseRequest &request);
    void plan(Leader &leader);
    void applyEvent(Leader &leader, const bulrush::HandoverEvent &event);
    void perform(std::size_t index, const bulrush::HandoverAction &action);
    void publishAssignment(Leader &leader, const bulrush::AssignmentInForce &inForce);
    void commit(std::size_t index, const bulrush::CommitAssignment &action);
    bulrush::CommitOutcome write(std::uint64_t epoch, const bulrush::CommitAssignment &action);

    SimulationSettings m_settings;
    std::mt19937_64 m_random;
    bulrush::Instant m_now;
    std::multimap<bulrush::Instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Leader>> m_leaders;
    bulrush::Assignment m_publishedAssignment;
    std::uint64_t m_publishedEpoch = 1;
    PlatformFault m_platformFault = PlatformFault::None;
    std::set<bulrush::Fence> m_coveredFences;
    std::vector<int> m_plannedServers;
    OwnershipObserver m_observer;
    std::map<bulrush::DispatchRefusal, int> m_refusals;
    std::uint64_t m_lastWork = 0;
    int m_nextEntry = 0;
    int m_uncoveredGrants = 0;
    int m_interruptedWork = 0;
    int m_endedUploads = 0;
    int m_deadlineDrops = 0;
    int m_fenceDrops = 0;
    std::string m_session;
};

#pragma once

#include "connection/serverclient.h"
#include "process/keycoordinator.h"
#include "statepublisher.h"
#include "tablefollower.h"
#include "version/renewalcodec.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/**
 * Executes the decisions of KeyCoordinator with writes to the store and calls to backend servers,
 * and reports their results to it.
 *
 * Used on the control thread.
 */
class KeyControl
{
public:
    /** For the call that releases keys: the server answers it when running work has finished. */
    static constexpr Duration releaseTimeout = std::chrono::milliseconds{2500};

    struct Dependencies
    {
        FollowerDependencies follow;
        io::ServerClient &servers;
        StatePublisher &state;
    };

    KeyControl(Dependencies deps, const DaemonIdentity &self, const KeyTimings &timings);

    KeyControl(const KeyControl &) = delete;
    KeyControl &operator=(const KeyControl &) = delete;

    using ChangeHandler = TableFollower::ChangeHandler;

    /** Sets the handler for changes of the table of assignments. \pre start() was not called */
    void setChangeHandler(ChangeHandler handler);

    /** Starts to follow the assignments. */
    void start();

    /** Gives up the planner's lease permanently, for a shutdown. */
    void resign();

    /** Sets whether this daemon reaches no server although other daemons do. */
    void setCutOff(bool isCutOff);

    /** \returns whether this daemon is the planner. */
    bool isPlanning() const;

    /** \returns the address for load reports to the planner, if another daemon is the planner. */
    std::optional<Endpoint> plannerAddress() const;

    /** \returns the addresses of the other daemons for messages between daemons. */
    std::vector<Endpoint> peers() const;

    /** \returns the hosts whose daemons have rows. */
    std::vector<HostName> hosts() const;

    /** \returns the daemons that have rows. */
    std::vector<Renewer> daemons() const;

    /** Applies the assignment in a planner's question, if any. \returns the answer to it. */
    RenewerAnswer answer(const io::RenewalQuery &question);

    /** \returns the assignments known here that are later than \a known, for a planner. */
    RememberedAssignments remembered(const AssignmentSequences &known) const;

    /** \returns the follower of \a table, or null if this object does not follow it. */
    const TableFollower *follower(std::string_view table) const;

    /** \returns whether the store has all known assignments; see KeyCoordinator. */
    bool areAssignmentsConfirmed() const;

    /** \returns whether the rows are loaded and come from the store or another daemon. */
    bool areRowsFollowed() const;

    /**
     * \returns whether the store has not failed to answer this daemon. A daemon that follows rows
     * through another one only learns this by calls of its own.
     */
    bool isStoreReached() const;

    /**
     * Adds loads reported by a daemon, if this one is the planner, and records the servers that
     * have stopped or leave.
     */
    void addLoads(std::span<const LoadSample> samples);

    /**
     * \returns the keys and owners with more requests than can be served, if this daemon is the
     * planner.
     */
    const std::vector<KeyShares> &keyShares();

    /** Executes the actions that are due. To be called every few tens of milliseconds. */
    void advance(Instant now);

private:
    void applyRows(const TableChange &change);
    void applyAssignment(const platform::StoreRow &row, Instant now);
    void applyDaemonRow(const platform::StoreRow &row, Instant now);
    void applyMissingRows(const TableChange &change, bool hasPlanner, Instant now);
    void execute(const WritePlannerRow &action);
    void execute(const CommitKeyAssignment &action);
    void execute(const SendGrant &action);
    void execute(const SendRelease &action);
    void execute(const QueryRenewer &action);
    void execute(const QueryAssignments &action);
    void execute(const WriteDaemonRow &action);
    void execute(const RemoveDaemonRows &action);
    void handleCommitResult(const KeyAssignment &next, const platform::CommitOutcome &outcome);
    void sendNextGrant(const Endpoint &address);
    void handleConnectionEvent(const std::string &run, io::ServerClient::ConnectionEvent event);
    void connectServers();
    void handleGrantResult(const SendGrant &grant, const io::HttpResult &result);
    void handleReleaseResult(const SendRelease &release, const io::HttpResult &result);
    void logPlannerChange();
    void logLimitChanges();

    Dependencies m_deps;
    HostName m_host;
    KeyCoordinator m_coordinator;
    TableFollower m_ownership;
    ChangeHandler m_changeHandler;
    /** Grants that wait for the previous grant to the same server to finish. */
    std::map<Endpoint, std::vector<SendGrant>> m_grants;
    Instant m_connectCheckedAt;
    bool m_wasPlanning = false;
};

inline bool KeyControl::areAssignmentsConfirmed() const
{
    return m_coordinator.areAssignmentsConfirmed();
}

inline bool KeyControl::isPlanning() const
{
    return m_coordinator.isPlanning();
}

} // namespace bulrush

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
 * Carries out what KeyCoordinator decides, by the store and by calls to backend servers, and tells
 * it what came of it.
 *
 * Used on the control thread.
 */
class KeyControl
{
public:
    /** For the call of a release, which waits for work that runs. */
    static constexpr Duration releaseTimeout = std::chrono::milliseconds{2500};

    struct Parts
    {
        FollowerDependencies follow;
        io::ServerClient &servers;
        StatePublisher &state;
    };

    KeyControl(Parts parts, const KeySelf &self);

    KeyControl(const KeyControl &) = delete;
    KeyControl &operator=(const KeyControl &) = delete;

    using RowsHandler = TableFollower::ChangeHandler;

    /** Sets who is told of all rows of the table that holds the assignments. \pre before start() */
    void setRowsHandler(RowsHandler handler);

    /** Starts to follow the assignments. */
    void start();

    /** Gives the planner's lease up for good, for a shutdown. */
    void resign();

    /** \returns whether this daemon plans. */
    bool isPlanning() const;

    /** \returns where the planner takes loads, if another daemon plans. */
    std::optional<Endpoint> plannerAddress() const;

    /** \returns where the other daemons take messages. */
    std::vector<Endpoint> peers() const;

    /** \returns the hosts whose daemons have rows. */
    std::vector<HostName> hosts() const;

    /** Takes in a planner's question, and the assignment in it. \returns the answer. */
    RenewerAnswer answerOn(const io::RenewalQuestion &question);

    /** \returns the follower of \a table, or null if it is none that is followed here. */
    const TableFollower *follower(std::string_view table) const;

    /** \returns whether the store is reached. */
    bool isStoreReached() const;

    /** Takes in what a daemon saw, if this one plans. */
    void addLoads(std::span<const LoadSample> samples);

    /** \returns the keys that are asked for too much, if this daemon plans. */
    const std::vector<KeyShares> &keyShares();

    /** Does what is due. To be called every some tens of milliseconds. */
    void advance(Instant now);

private:
    void takeRows(const TableChange &change);
    void takeAssignment(const platform::StoreRow &row, Instant now);
    void takeDaemon(const platform::StoreRow &row, Instant now);
    void noteMissing(const TableChange &change, bool hasPlanner, Instant now);
    void execute(const WritePlannerRow &action);
    void execute(const CommitKeyAssignment &action);
    void execute(const SendGrant &action);
    void execute(const SendRelease &action);
    void execute(const AskRenewer &action);
    void execute(const WriteDaemonRow &action);
    void execute(const RemoveDaemonRows &action);
    void committed(const KeyAssignment &next, const platform::CommitOutcome &outcome);
    void sendNextGrant(const Endpoint &address);
    void linkChanged(const std::string &run, io::ServerClient::Link link);
    void connectServers();
    void granted(const SendGrant &grant, const io::HttpResult &result);
    void released(const SendRelease &release, const io::HttpResult &result);
    void logPlanning();

    Parts m_deps;
    HostName m_host;
    KeyCoordinator m_coordinator;
    TableFollower m_rows;
    RowsHandler m_rowsTaken;
    /** Grants that wait for the one before them at the same server. */
    std::map<Endpoint, std::vector<SendGrant>> m_grants;
    Instant m_connectedAt;
    bool m_wasPlanning = false;
};

inline bool KeyControl::isPlanning() const
{
    return m_coordinator.isPlanning();
}

} // namespace bulrush

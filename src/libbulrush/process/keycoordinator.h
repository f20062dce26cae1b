#pragma once

#include "admission/limitedowners.h"
#include "admission/serviceadmission.h"
#include "process/erarecovery.h"
#include "process/grantlog.h"
#include "process/keyaction.h"
#include "process/keymoves.h"
#include "process/keyrenewal.h"
#include "process/keytimings.h"
#include "process/knownassignments.h"
#include "process/plannerlease.h"
#include "process/renewerregistry.h"
#include "process/retrybackoff.h"
#include "process/serverdirectory.h"
#include "version/keyplanner.h"
#include "version/serviceload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace bulrush {

/** Identity and properties of this daemon as other daemons see them. */
struct DaemonIdentity
{
    HostName host;
    /** Of this run of the daemon. */
    Incarnation incarnation;
    DomainName domain;
    /** Receives load samples from other daemons while this daemon is the planner. */
    Endpoint address;
    /** Added to the takeover timeout of the planner's lease; differs between daemons. */
    Duration takeoverDelay{};
    /** CPU capacity of the host, in cores. */
    double processors = 1.0;
    /** Receives relayed requests; port 0 if this daemon takes none. */
    Endpoint relayAddress = {};
};

/**
 * One daemon's part in assigning keys to backend servers. Takes the planner's lease if it is free,
 * plans and moves keys while it holds the lease, and renews grants.
 *
 * A move is safe because of the order of its steps:
 * 1. The assignment is committed, conditional on the planner's row, with the range marked as moving
 *    and with its new fencing token.
 * 2. The previous owner releases the range under that token, or can no longer hold it.
 * 3. The range is committed as settled.
 * 4. Only then is the range granted to its new owner.
 *
 * Takes events and the current instant, and returns actions. Not thread safe. Instants never
 * decrease and come from a clock that keeps running while the host is suspended.
 */
class KeyCoordinator
{
public:
    /** Interval between planning rounds. */
    static constexpr Duration planInterval = std::chrono::milliseconds{500};
    /**
     * Interval at which the shares of hot keys are computed. Each of many daemons requests them
     * every 0.6 s.
     */
    static constexpr Duration sharesInterval = std::chrono::milliseconds{400};
    /**
     * Keys are assigned for the first time once no server has registered for this long, so that
     * they do not have to move shortly afterwards.
     */
    static constexpr Duration registrationQuietPeriod = std::chrono::milliseconds{1200};
    /**
     * A newly registered server gets keys once the planner is connected to it, or after this
     * timeout. If the connection is made after the keys were committed, they cannot be granted over
     * it for RecordLifetime::maxAfterEnd(), because another run of the server may have held them.
     * Without this wait the keys of a restarted server were unavailable for 4.4 s to 4.8 s, with it
     * for less than 2.9 s.
     */
    static constexpr Duration connectTimeout = std::chrono::milliseconds{400};
    /** Capacity of a cold server without a cold rate, as a fraction of its capacity when warm. */
    static constexpr double coldCapacityFactor = 0.6;
    /**
     * A server with a cold rate gets keys this long after it has become warm, so that all daemons
     * know by then. Its keys move to other servers when it becomes cold again.
     */
    static constexpr Duration warmNoticePeriod = std::chrono::milliseconds{300};
    /**
     * Cold servers do get keys if more than this fraction of the ready servers are cold, as the
     * others could not serve all keys.
     */
    static constexpr double maxExcludedColdFraction = 0.75;
    /** The same for servers that asked for pauses. */
    static constexpr double maxExcludedBackoffFraction = 0.5;

    /**
     * A service is planned again this long after a commit of its assignment has failed. Rejected
     * calls to the store are billed, too.
     */
    static constexpr Duration commitRetryDelay = std::chrono::milliseconds{300};

    /**
     * Delay before the first retry of a failed write of the daemon's own row; it doubles with each
     * further failure. With a constant 0.5 s, 54 daemons that could not write their rows made 918
     * calls in 8.5 s.
     */
    static constexpr Duration registerRetryDelay = std::chrono::milliseconds{500};
    static constexpr Duration maxRegisterBackoff = std::chrono::seconds{8};
    /** The same for the removal of other daemons' rows. */
    static constexpr Duration removeRetryDelay = std::chrono::milliseconds{700};
    static constexpr Duration maxRemoveBackoff = std::chrono::seconds{6};
    /** Rows removed by one call; the store accepts 100 per call. */
    static constexpr std::size_t maxRowsPerRemoval = 90;

    /** \a start is the start of this run of the daemon. */
    KeyCoordinator(const DaemonIdentity &self, Instant start, const KeyTimings &timings = {});

    /** Applies the planner's row; version 0 and an empty row mean that there is none. */
    void applyPlannerRow(const StoreVersion &version, const PlannerRow &row, Instant now);

    /**
     * Applies the row of an assignment. \returns whether the assignment is later than the known
     * one: a row that the store restored from an older copy is not.
     */
    bool applyAssignment(const KeyAssignment &assignment, const StoreVersion &version, Instant now);

    /** Applies the row of a daemon; \a row is empty if the daemon no longer has one. */
    void applyDaemonRow(const HostName &host, const StoreVersion &version,
                        const std::optional<DaemonRow> &row, Instant now);

    /**
     * Records that all rows up to \a version of the store have been applied. If it is of a later
     * era than before, the complete table has been applied.
     */
    void markRowsApplied(const StoreVersion &version, Instant now);

    /** Records that the store confirmed, at \a givenAt or later, that the rows are unchanged. */
    void recordStoreAnswer(Instant givenAt);

    /** Records that the records of servers were as known here until \a confirmedAt. */
    void recordServerRecords(Instant confirmedAt);

    /** Handles the result of a WritePlannerRow. */
    void handlePlannerRowResult(RowWriteResult result, const StoreVersion &version, Instant now);

    /**
     * Handles the result of the CommitKeyAssignment of \a next. \returns whether it is in force.
     */
    bool handleCommitResult(const KeyAssignment &next, RowWriteResult result,
                            const StoreVersion &version, Instant now);

    /** Records that the previous owner has released a range. */
    void released(const SendRelease &release, std::string handover, Instant now);

    /** Records that \a grant is being sent. \pre isStillDue() of it */
    void recordGrantSent(const SendGrant &grant, Instant now);

    /** Records that the server of \a grant accepted it. */
    void recordGranted(const SendGrant &grant, Instant now);

    /** Records the end of the call of \a grant and whether its server may have received it. */
    void recordGrantResult(const SendGrant &grant, bool mayHaveArrived, Instant now);

    /**
     * \returns the servers of the services \a keyed to which a connection has to be kept: grants
     * are sent over connections that already exist.
     */
    std::vector<ServerName> serversToConnect(const ServerDirectory &servers,
                                             std::span<const ServiceName> keyed) const;

    /** Records a new connection to \a server. */
    void recordConnection(const ServerName &server, Instant now);

    /** Records that there is no connection to \a server any more, or that none could be made. */
    void recordConnectionLost(const ServerName &server);

    /** Handles the result of a WriteDaemonRow. */
    void handleDaemonRowResult(RowWriteResult result, const StoreVersion &version, Instant now);

    /** Handles the result of a RemoveDaemonRows. */
    void handleRemovalResult(RowWriteResult result, Instant now);

    /**
     * \returns the answer to a planner that requests the last grants to \a servers. The assignment
     * that came with the request must be applied first.
     */
    RenewerAnswer makeRenewerAnswer(const ServiceName &service, std::span<const ServerName> servers,
                                    Instant now) const;

    /** Records the answer of a daemon, which arrived at \a now. */
    void recordRenewerAnswer(const RenewerAnswer &answer, Instant now);

    /** Adds load samples of a daemon; ignored unless this daemon is the planner. */
    void addLoads(std::span<const LoadSample> samples, Instant now);

    /**
     * \returns the shares of keys whose load exceeds what their owner can serve, and the load of
     * owners near their capacity, by service. At most sharesInterval old; empty unless this daemon
     * is the planner.
     */
    const std::vector<KeyShares> &keyShares(const ServerDirectory &servers, Instant now);

    /**
     * \returns the owners of keys whose requests began or ended being limited since the last call.
     */
    LimitedOwners::Update takeLimitChanges();

    /**
     * Sets whether this daemon reaches no server although others do, so that it can neither move
     * nor renew keys and leaves planning to them.
     */
    void setCutOff(bool isCutOff);

    /** Permanently gives up the planner's lease and the right to renew, for a shutdown. */
    void resign();

    /**
     * \returns the actions that are due for the services \a keyed, given the known servers. Each
     * action counts as started; its result has to be reported.
     */
    std::vector<KeyAction> advance(const ServerDirectory &servers,
                                   std::span<const ServiceName> keyed, Instant now);

    /**
     * \returns whether \a grant may still be sent, given the known servers. To be called right
     * before sending: the grant may have been queued, and the process may have been frozen since.
     */
    bool isStillDue(const SendGrant &grant, const ServerDirectory &servers, Instant now) const;

    /** \returns whether this daemon is the planner. */
    bool isPlanning() const;

    /**
     * \returns the latest known assignment of \a service, or null; and the version of its row, the
     * lowest version if there is no row.
     */
    const KeyAssignment *assignment(const ServiceName &service) const;
    StoreVersion assignmentVersion(const ServiceName &service) const;

    /** \returns the assignments known here that are later than \a known, for a planner. */
    RememberedAssignments remembered(const AssignmentSequences &known, Instant now) const;

    /** Records the answer to a QueryAssignments, which arrived at \a now. */
    void recordRemembered(const RememberedAssignments &answer, Instant now);

    /**
     * \returns whether the store has all known assignments, so that its answers confirm them. Not
     * after a restore, until a planner has written them again.
     */
    bool areAssignmentsConfirmed() const;

    /** \returns the daemons that have rows. */
    const RenewerRegistry &renewers() const;

    const PlannerLease &lease() const;

private:
    void enterEra(std::uint64_t era);
    void followAssignment(const KeyAssignment &assignment, Instant now);
    bool mayLackAssignments(std::span<const ServiceName> keyed) const;
    void addAssignmentQueries(Instant now, std::vector<KeyAction> &actions);
    void addRecoveryActions(Instant now, std::vector<KeyAction> &actions);
    KeyAssignment recoveredAssignment(const KeyAssignment &latest, EraRecovery::Step step) const;
    CommitKeyAssignment commitOf(KeyAssignment next) const;
    void updatePlanning(Instant now);
    void addLimitChanges(LimitedOwners::Update update);
    bool mayCommit(const ServiceName &service, Instant now) const;
    bool isRegistered() const;
    std::optional<WriteDaemonRow> dueRegistration(Instant now);
    std::optional<RemoveDaemonRows> dueRemoval(Instant now);
    void addPlannerActions(const ServerDirectory &servers, std::span<const ServiceName> keyed,
                           Instant now, std::vector<KeyAction> &actions);
    std::optional<KeyAssignment> nextAssignment(const ServiceName &service,
                                                const ServerDirectory &servers, bool isRoundDue,
                                                Instant now);
    std::optional<KeyAssignment> raiseFences(const KeyAssignment &current,
                                             std::optional<KeyAssignment> next,
                                             const ServerDirectory &servers, Instant now) const;
    std::vector<KeyServer> readyServers(const ServiceName &service, const ServerDirectory &servers,
                                        Instant now);
    std::set<ServerName> serversBackingOff(const ServiceName &service, Instant now);

    DaemonIdentity m_self;
    PlannerLease m_lease;
    KeyRenewal m_renewal;
    KeyMoves m_moves;
    RenewerRegistry m_renewers;
    GrantLog m_grants;
    KnownAssignments m_assignments;
    /** Empty unless this daemon is the planner. */
    std::map<ServiceName, ServiceLoad> m_loads;
    /** Services with a commit whose result is not known yet. */
    std::set<ServiceName> m_committing;
    /** Services whose last commit failed, and when they may be planned again. */
    std::map<ServiceName, Instant> m_commitRetryAt;
    Instant m_plannedAt;
    std::vector<KeyShares> m_keyShares;
    Instant m_keySharesAt;
    LimitedOwners m_limitedOwners;
    LimitedOwners::Update m_limitChanges;
    /** Version of the store up to which all rows have been applied. */
    StoreVersion m_appliedVersion;
    /** Version of this daemon's own row; number 0 while no such row is known. */
    StoreVersion m_ownVersion;
    EraRecovery m_recovery;
    /** The planner when the store last had all assignments, and the version of its row. */
    Incarnation m_confirmedPlanner;
    StoreVersion m_confirmedPlannerVersion;
    /** When the first rows of the store's current era were applied. */
    Instant m_eraSince;
    Instant m_start;
    RetryBackoff m_registerBackoff;
    bool m_isRegistering = false;
    RetryBackoff m_removeBackoff;
    /** A RemoveDaemonRows is in flight. */
    bool m_isRemoving = false;
    bool m_hasRows = false;
    bool m_isLeaving = false;
    bool m_isPlanning = false;
};

inline bool KeyCoordinator::isPlanning() const
{
    return m_isPlanning;
}

inline const RenewerRegistry &KeyCoordinator::renewers() const
{
    return m_renewers;
}

inline const PlannerLease &KeyCoordinator::lease() const
{
    return m_lease;
}

} // namespace bulrush

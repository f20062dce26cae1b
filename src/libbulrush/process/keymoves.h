#pragma once

#include "process/clock.h"
#include "process/keyaction.h"
#include "process/renewerregistry.h"
#include "process/serverdirectory.h"
#include "version/keyassignment.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace bulrush {

/**
 * The planner's table of moving ranges, each of which waits for its previous owner. Requests their
 * release, and settles a range once its previous owner has released it, or can no longer hold it
 * according to the answers of all daemons about the grants that they sent.
 *
 * Not thread safe. Instants never decrease.
 */
class KeyMoves
{
public:
    /**
     * Ranges released within this period are settled by one commit, as every daemon reads each
     * commit.
     */
    static constexpr Duration settleBatchPeriod = std::chrono::milliseconds{60};
    /** Delay until an unanswered request to an owner or a daemon is repeated. */
    static constexpr Duration requestRetryDelay = std::chrono::milliseconds{700};
    /** Daemons are queried once an owner has not answered for this long. */
    static constexpr Duration ownerTimeout = std::chrono::milliseconds{250};

    /** Applies the assignment in force, committed as \a version, which arrived at \a now. */
    void setAssignment(const KeyAssignment &assignment, const StoreVersion &version, Instant now);

    /** Removes all entries; for when this daemon stops planning. */
    void clear();

    /** \returns the release requests that are due; each counts as sent. */
    std::vector<SendRelease> dueReleases(const ServerDirectory &servers, Instant now);

    /** \returns the queries to daemons about their grants that are due; each counts as sent. */
    std::vector<QueryRenewer> dueQueries(const ServerDirectory &servers,
                                         const RenewerRegistry &renewers, Instant now);

    /** Records that the previous owner of \a owned has released it. */
    void released(const ServiceName &service, const OwnedRange &owned, std::string handover,
                  Instant now);

    /**
     * The rows of daemons have been applied up to \a appliedVersion. Unless that reaches the commit
     * that took a range, a daemon whose row is older than the commit may still be unknown, and the
     * range settles only if it was released or its previous owner has stopped.
     * \returns the assignment in which all ranges of \a service that are free at \a now are settled
     * for their owners, or nothing if there is no such range. The sequence is incremented, the
     * fencing tokens stay.
     */
    std::optional<KeyAssignment> settled(const ServiceName &service, const ServerDirectory &servers,
                                         const RenewerRegistry &renewers,
                                         const StoreVersion &appliedVersion, Instant now) const;

private:
    struct Move
    {
        /** Version of the assignment that took the range from its previous owner. */
        StoreVersion version;
        /** The commit of that assignment was not later than this. */
        Instant committedAt;
        std::optional<Instant> releaseSentAt;
        std::optional<std::string> handover;
        std::optional<Instant> releasedAt;
    };
    /** Service, range, and sequence that started the move; a new owner changes none of these. */
    using MoveKey = std::tuple<ServiceName, KeyPosition, KeyPosition, std::uint64_t>;

    static MoveKey moveKey(const ServiceName &service, const OwnedRange &owned);
    const Move *containingMove(const ServiceName &service, const OwnedRange &owned) const;
    static std::optional<Instant> settledSince(const Move &move, const ServiceName &service,
                                               const OwnedRange &owned,
                                               const RenewerRegistry &renewers,
                                               const StoreVersion &appliedVersion, Instant now);

    std::map<ServiceName, KeyAssignment> m_assignments;
    std::map<MoveKey, Move> m_moves;
    /** When each daemon was last queried, by service. */
    std::map<std::pair<ServiceName, HostName>, Instant> m_queriedAt;
};

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush {

/** Identifies one intended write of a leader row; all retries of that write carry the same id. */
using LeaderWriteId = Identifier<struct LeaderWriteIdTag>;

/** Version of a row in the platform's table; 0 if the row does not exist. */
using RowVersion = std::uint64_t;

/**
 * One run of a daemon that may take over the leadership of a failure domain, and its address.
 */
struct LeaderCandidate
{
    Incarnation incarnation;
    DomainName domain;
    std::string address;

    bool operator==(const LeaderCandidate &) const = default;
};

/**
 * The leader row of a failure domain, as stored in the platform's table.
 *
 * The durations are those that the holder uses. A process that waits for the holder's term to end
 * uses these durations instead of its own settings, so the settings of daemons may differ.
 */
struct LeaderRow
{
    Incarnation holder;
    std::string holderAddress;
    /** Incremented at each change of holder. */
    std::uint64_t epoch = 0;
    /** Length of the holder's lease, counted from just before it sent the write of this version. */
    Duration leaseLength{};
    /** Longest promise that the holder requests from a candidate. */
    Duration promiseLength{};
    /** Maximum time by which promises may extend the lease beyond the last write of the row. */
    Duration outageAllowance{};
    /**
     * How long work may continue after the end of the routing lease under which it was sent. The
     * sender applies this duration shortened by the clock drift, a later leader applies it
     * stretched by the clock drift.
     */
    Duration workPastLease{};
    /** Number of writes by this holder. */
    std::uint64_t renewal = 0;
    std::vector<LeaderCandidate> candidates;
    /** The holder has given up the leadership; \a leaseLength is the rest of its leases. */
    bool isReleased = false;
    /** The candidate that may take over a released row immediately; empty if there is none. */
    Incarnation successor;
    Incarnation writer;
    LeaderWriteId writeId;

    bool operator==(const LeaderRow &) const = default;
};

/**
 * A leader row with its version in the table. Version 0 means that there is no row.
 */
struct VersionedLeaderRow
{
    RowVersion version = 0;
    LeaderRow row;

    bool operator==(const VersionedLeaderRow &) const = default;
};

/**
 * \returns whether \a row names \a incarnation as a candidate.
 */
bool namesCandidate(const LeaderRow &row, const Incarnation &incarnation);

/**
 * \returns whether the row was deleted and created again: its creation has a version above 1, so
 * there was an earlier leader whose epoch is unknown. Such a row has no holder.
 */
bool isRecreated(const VersionedLeaderRow &row);

/**
 * \returns an epoch above all epochs that this row can have had.
 */
std::uint64_t epochAfter(const VersionedLeaderRow &row);

/**
 * \returns \a row as released by an operator: any daemon of the domain may take it over after the
 * lease and promise lengths have passed. The operator guarantees that the holder has stopped. If
 * the holder still runs, and its candidates give promises without seeing this row, there are two
 * leaders.
 */
LeaderRow releasedByOperator(LeaderRow row, const Incarnation &writer,
                             const LeaderWriteId &writeId);

} // namespace bulrush

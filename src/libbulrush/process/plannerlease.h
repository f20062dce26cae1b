#pragma once

#include "process/clock.h"
#include "process/endpoint.h"
#include "process/storeversion.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace bulrush {

/** The row that names the planner, the one daemon that plans assignments. */
struct PlannerRow
{
    /** Empty after the holder has resigned. */
    Incarnation holder;
    /** Receives the load samples of other daemons. */
    Endpoint address;
    /** Incremented by each renewal, so that each changes the row. */
    std::uint64_t renewals = 0;
    /** The store's era that the writer knew. */
    std::uint64_t era = 0;
    /** The holder resumed the lease of an earlier run of its host, and has not renewed it since. */
    bool isResumed = false;

    bool operator==(const PlannerRow &) const = default;
};

/** A conditional write of the row. */
struct PlannerRowWrite
{
    /** The write is done only if the row's version has this number; 0: if there is no row. */
    std::uint64_t expectedVersion = 0;
    PlannerRow row;

    bool operator==(const PlannerRowWrite &) const = default;
};

/** Result of a conditional write of a row. */
enum class RowWriteResult {
    Done,
    Refused, ///< nothing was written
    Unknown, ///< the row may have been written, or may still be written later
};

/**
 * The lease on planning: a row that its holder renews. A daemon that sees the row unchanged for
 * long enough takes the lease over. The lease only prevents contention between planners. Safety
 * comes from the commits, which are conditional on the version of this row: a planner that has lost
 * the lease cannot commit.
 *
 * A daemon that starts again on the holder's host resumes the lease at once, as the earlier run has
 * ended. A run that ends before its first renewal does not pass the lease on in this way, so that a
 * planner that fails at once, again and again, is replaced by another daemon.
 *
 * A row that the store restored from an older copy names an earlier holder or an earlier renewal.
 * The last holder then claims the lease at once, so that others need not wait for the takeover
 * timeout.
 *
 * Not thread safe. Instants never decrease.
 */
class PlannerLease
{
public:
    /** Interval between renewals; each is a billed write that every daemon reads. */
    static constexpr Duration renewalInterval = std::chrono::milliseconds{1700};
    /** The holder may plan for this long after it sent the last renewal that was done. */
    static constexpr Duration leaseDuration = std::chrono::milliseconds{3600};
    /**
     * A lease whose row is unchanged for this long may be taken over. Longer than leaseDuration, to
     * allow for differing clock rates.
     */
    static constexpr Duration takeoverTimeout = std::chrono::milliseconds{3900};

    /** Delay until a failed write is retried. Rejected calls to the store are billed, too. */
    static constexpr Duration retryInterval = std::chrono::milliseconds{400};

    /** \a takeoverDelay is added to the takeover timeout and differs between daemons. */
    PlannerLease(Incarnation self, Endpoint address, Duration takeoverDelay);

    /** Applies the row as of \a version; 0 and an empty row mean that there is none. */
    void applyRow(const StoreVersion &version, const PlannerRow &row, Instant now);

    /** Records that \a run, an earlier one of this daemon's host, has ended. */
    void recordEarlierRun(Incarnation run);

    /** Handles the result of the write that advance() returned. */
    void handleWriteResult(RowWriteResult result, const StoreVersion &version, Instant now);

    /** \returns the write to send now, if any; none is due until the result of the last arrives. */
    std::optional<PlannerRowWrite> advance(Instant now);

    /** Gives up the lease permanently. */
    void resign();

    /**
     * Sets whether other daemons should plan in this one's place: it then gives the lease up, and
     * does not take it.
     */
    void setYielding(bool isYielding);

    /** \returns whether this daemon may plan at \a now. */
    bool isHeld(Instant now) const;

    /** \returns whether a write is in flight, so that the version of the row may change. */
    bool isWriting() const;

    /** \returns the row as of its last known version. */
    const PlannerRow &row() const;

    /** \returns the version of the row on which this daemon's commits are conditional. */
    const StoreVersion &version() const;

private:
    bool isGivingUp() const;
    bool isOutdatedCopy(const StoreVersion &version, const PlannerRow &row) const;
    bool mayResume() const;
    bool isDue(Instant now) const;

    Incarnation m_self;
    /** Empty if none is known. */
    Incarnation m_earlierRun;
    Endpoint m_address;
    Duration m_takeoverDelay;
    bool m_isRowKnown = false;
    StoreVersion m_version;
    PlannerRow m_row;
    /** This daemon held the lease when the store was restored, and has not written since. */
    bool m_isReclaiming = false;
    Instant m_changedAt;
    /** Send time of the last renewal that is known to be done. */
    std::optional<Instant> m_renewedAt;
    std::optional<PlannerRowWrite> m_pending;
    Instant m_sentAt;
    /** Earliest retry after a write that failed, or may have failed. */
    Instant m_retryAt;
    bool m_isResigning = false;
    bool m_isYielding = false;
};

inline void PlannerLease::recordEarlierRun(Incarnation run)
{
    m_earlierRun = std::move(run);
}

inline void PlannerLease::resign()
{
    m_isResigning = true;
}

inline void PlannerLease::setYielding(bool isYielding)
{
    m_isYielding = isYielding;
}

inline bool PlannerLease::isGivingUp() const
{
    return m_isResigning || m_isYielding;
}

inline bool PlannerLease::isWriting() const
{
    return m_pending.has_value();
}

inline const PlannerRow &PlannerLease::row() const
{
    return m_row;
}

inline const StoreVersion &PlannerLease::version() const
{
    return m_version;
}

/**
 * \returns the takeover delay of a daemon on a host with \a processors cores. \a hash is the hash
 * of the host's name. The delays make daemons try to take the lease one after the other, those on
 * weak hosts last. Thread safe.
 */
Duration plannerTakeoverDelay(std::uint64_t hash, double processors);

} // namespace bulrush

#pragma once

#include "process/leaderrow.h"

#include <optional>

namespace bulrush {

/**
 * The latest leader row observed by a process and the time of its first observation. Computes when
 * the holder's term has certainly ended.
 *
 * The holder counts its lease from before it sent the write; the observer counts from the return of
 * the read that first showed the version, which is later. Not thread safe.
 */
class LeaderRowObserver
{
public:
    explicit LeaderRowObserver(std::int64_t driftPpm);

    /**
     * Records the row returned by a read or a write at \a now. A version that is not newer than the
     * stored one is ignored.
     * \returns whether the version is new.
     */
    bool observe(const VersionedLeaderRow &row, Instant now);

    /**
     * \returns the latest observed row: version 0 if observed as absent, nothing if never
     * observed.
     */
    const std::optional<VersionedLeaderRow> &row() const;

    /** \returns whether the latest observation found an existing row. */
    bool hasRow() const;

    /** \returns when the version was first observed. \pre a row, or its absence, was observed. */
    Instant seenAt() const;

    /**
     * \returns the instant from which the lease in the row has ended on every clock. Promises may
     * extend the holder's term beyond it. \pre hasRow()
     */
    Instant leaseEndedFrom() const;

    /**
     * \returns the instant from which the holder's term has ended on every clock, regardless of any
     * promises of candidates. \pre hasRow()
     */
    Instant termEndedFrom() const;

private:
    std::int64_t m_driftPpm;
    std::optional<VersionedLeaderRow> m_row;
    Instant m_seenAt{};
};

inline const std::optional<VersionedLeaderRow> &LeaderRowObserver::row() const
{
    return m_row;
}

inline Instant LeaderRowObserver::seenAt() const
{
    return m_seenAt;
}

} // namespace bulrush

#pragma once

#include "version/identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush {

/** Position of a key in the key space by which a service is divided; preserves the key order. */
using KeyPosition = std::uint32_t;

/** Number of positions in the key space: 0 to keyPositionCount - 1. */
constexpr KeyPosition keyPositionCount = 65'536;

/** A range of the key space, including both ends. */
struct KeyRange
{
    KeyPosition first = 0;
    KeyPosition last = 0;

    bool operator==(const KeyRange &) const = default;

    KeyPosition size() const;
    bool contains(KeyPosition place) const;
};

/**
 * A range and the one server that may own it. While \a previous is set, that server may still hold
 * the range, and it must not be granted to the owner.
 */
struct OwnedRange
{
    KeyRange range;
    ServerName owner;
    /** Fencing token: higher than that of any other server that had the range before. */
    std::uint64_t fence = 0;
    /** Data from the last holder for the transfer of its warm state; empty if there is none. */
    std::string handover;
    /** Server that has to release the range first; empty if there is none. */
    ServerName previous;
    /**
     * Sequence of the assignment that took the range from \a previous. A daemon with this or a
     * later assignment no longer grants the range to that server. 0 if no server has to release it.
     */
    std::uint64_t moveSequence = 0;

    bool operator==(const OwnedRange &) const = default;

    bool isMoving() const;
};

/** The owners of all keys of a service. */
struct KeyAssignment
{
    ServiceName service;
    /** Incremented by each change; new owners get it as their fencing token. */
    std::uint64_t sequence = 0;
    /** Disjoint and sorted; cover the complete key space unless there was no server. */
    std::vector<OwnedRange> ranges;
    /**
     * The store's era in which it was committed. In a later era the store may lack assignments that
     * were committed after this one.
     */
    std::uint64_t era = 0;

    bool operator==(const KeyAssignment &) const = default;

    /** \returns the range that contains \a place, or null. Valid until the next change. */
    const OwnedRange *find(KeyPosition place) const;

    /** \returns whether any range is waiting for its previous owner. */
    bool hasMoves() const;
};

/**
 * \returns whether the ranges of \a assignment are sorted, disjoint and within the key space, with
 * owners, and with fencing tokens not above the sequence. Thread safe.
 */
bool isWellFormed(const KeyAssignment &assignment);

/** Merges adjacent ranges that are equal except for their keys. */
void mergeAdjacentRanges(KeyAssignment &assignment);

inline KeyPosition KeyRange::size() const
{
    return last - first + 1;
}

inline bool KeyRange::contains(KeyPosition place) const
{
    return place >= first && place <= last;
}

inline bool OwnedRange::isMoving() const
{
    return !previous.isEmpty();
}

} // namespace bulrush

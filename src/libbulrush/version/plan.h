#pragma once

#include "version/assignment.h"

#include <span>
#include <vector>

namespace bulrush {

/** Why a slice changes its owner. */
enum class MoveReason {
    /** The owner is lost or unknown. */
    OwnerLost,
    /** The owner is about to leave. */
    OwnerLeaving,
    /** The owner's load is above the target. */
    Overload,
    /** The new owner has too little load. */
    Underload,
    /** The slice is cold; with the new owner it can merge with its neighbour. */
    Consolidation,
};

/**
 * A slice and the parts that it is split into. The parts cover \a range in order, without gaps.
 */
struct SliceParts
{
    SliceRange range;
    std::vector<SliceRange> parts;

    bool operator==(const SliceParts &) const = default;
};

/**
 * Splits one slice into parts that keep its owner.
 */
struct SplitSlice
{
    ServiceName service;
    SliceParts parts;

    bool operator==(const SplitSlice &) const = default;
};

/**
 * Merges all slices inside \a range, which have one owner and no gaps between them.
 */
struct MergeSlices
{
    ServiceName service;
    SliceRange range;

    bool operator==(const MergeSlices &) const = default;
};

/**
 * Moves one slice to another server.
 */
struct MoveSlice
{
    ServiceName service;
    SliceRange range;
    ServerName from;
    ServerName to;
    MoveReason reason = MoveReason::Overload;

    bool operator==(const MoveSlice &) const = default;
};

/**
 * The changes to the slices of a service. Merges and splits refer to the current slices and never
 * affect the same one; moves refer to the slices after merges and splits, most urgent first, each
 * slice at most once.
 */
struct Plan
{
    std::vector<MergeSlices> merges;
    std::vector<SplitSlice> splits;
    std::vector<MoveSlice> moves;

    bool isEmpty() const;

    bool operator==(const Plan &) const = default;
};

/**
 * \returns \a slices after the complete \a plan. Parts of a split keep the fencing token, a merged
 * slice gets the highest one of its parts, and a moved slice keeps its old one until the caller
 * assigns a new one. Takes time linear in slices, and n log n in moves.
 *
 * \pre \a slices are those of one service, sorted by range, and \a plan was made for them.
 * Thread safe.
 */
std::vector<SliceOwner> appliedPlan(std::span<const SliceOwner> slices, const Plan &plan);

/**
 * \returns the slices of \a service in \a assignment.
 * Thread safe; the span is valid as long as the assignment is not changed.
 */
std::span<const SliceOwner> slicesOf(const Assignment &assignment, const ServiceName &service);

/**
 * \returns the share of the complete key space that \a range covers, from 0 to 1.
 */
double keySpaceShare(SliceRange range);

inline bool Plan::isEmpty() const
{
    return merges.empty() && splits.empty() && moves.empty();
}

} // namespace bulrush

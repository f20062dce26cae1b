#pragma once

#include "version/keyassignment.h"

#include <cstdint>
#include <span>
#include <vector>

namespace bulrush {

/** The fraction of the requests for a key that is admitted. */
struct KeyShare
{
    KeyPosition key = 0;
    /** From 0 to 1; over all priorities. */
    double share = 1.0;
    /** The fractions by priority, in the order of KeyShares::priorities; empty if all are equal. */
    std::vector<double> byPriority = {};

    bool operator==(const KeyShare &) const = default;
};

/** The fractions of the requests for those keys of a server that have no share of their own. */
struct OwnerShare
{
    ServerName owner;
    /** In the order of KeyShares::priorities; each from 0 to 1. */
    std::vector<double> byPriority;

    bool operator==(const OwnerShare &) const = default;
};

/** The demand for the keys of a server. */
struct OwnerLoad
{
    ServerName owner;
    /** As a fraction of the requests that the server can serve. */
    double load = 0.0;

    bool operator==(const OwnerLoad &) const = default;
};

/**
 * The shares of those keys of a service whose load exceeds what their owners can serve. The
 * members from \a priorities on are unknown to daemons of older versions, which use \a shares.
 */
struct KeyShares
{
    ServiceName service;
    std::vector<KeyShare> shares;
    /**
     * The priorities for which shares are stated, in ascending order. A priority between two of
     * them has the share of the more urgent one, and one beyond them the share of the nearest.
     */
    std::vector<std::uint32_t> priorities = {};
    std::vector<OwnerShare> owners = {};
    /** Owners near or above their capacity, those with the highest load first. */
    std::vector<OwnerLoad> loads = {};

    bool operator==(const KeyShares &) const = default;

    bool isEmpty() const;
};

/** \returns \a shares without what daemons of older versions do not know. Thread safe. */
std::vector<KeyShares> withoutDetails(std::span<const KeyShares> shares);

/** \returns whether any of \a shares has shares by priority. Thread safe. */
bool haveSharesByPriority(std::span<const KeyShares> shares);

inline bool KeyShares::isEmpty() const
{
    return shares.empty() && owners.empty() && loads.empty();
}

} // namespace bulrush

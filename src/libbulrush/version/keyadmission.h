#pragma once

#include "process/clock.h"
#include "version/keyassignment.h"
#include "version/keyloads.h"
#include "version/keyplanner.h"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace bulrush {

/** What part of the requests for a key its owner can serve. */
struct KeyShare
{
    KeyPlace key = 0;
    /** From 0 to 1. */
    double share = 1.0;

    bool operator==(const KeyShare &) const = default;
};

/** The shares of the keys of one service that are asked for more than their owners can serve. */
struct KeyShares
{
    ServiceName service;
    std::vector<KeyShare> shares;

    bool operator==(const KeyShares &) const = default;
};

/**
 * Finds the keys that are asked for more than their owners can serve. A key has one owner, so what
 * one server can't do is not served at all: of many daemons each sees too little to know, sends,
 * and together they fill the server's queue, where further requests wait to the end unanswered. The
 * planner sees all; it tells daemons what part to let in, and they refuse the rest at once.
 *
 * Has no state. Thread safe.
 */
class KeyAdmission
{
public:
    /** A key counts as hot from this rate on, in requests a second, */
    static constexpr double hotRate = 6.0;
    /** and from this part of what its owner can serve. */
    static constexpr double hotPart = 0.4;
    /**
     * This part of what an owner can serve is let in: more than all, as daemons hold what waits and
     * refuse by the time that callers have.
     */
    static constexpr double usedPart = 1.3;
    /** At least this share is let in, so that the end of a hot time shows. */
    static constexpr double leastShare = 0.02;

    /** \returns the keys of \a assignment of which a share is to be let in. */
    static KeyShares shares(const KeyAssignment &assignment, std::span<const KeyServer> servers,
                            const KeyTraffic &traffic);
};

/**
 * The shares that a daemon goes by: those that it was told last, until they are too old.
 *
 * Not thread safe.
 */
class KeyGate
{
public:
    /** Daemons are told every 0.6 s; after two tellings that were lost all is let in again. */
    static constexpr Duration memory = std::chrono::milliseconds{1500};

    /** Takes in what was told of each service that has any; others have none. */
    void set(std::span<const KeyShares> shares, Instant now);

    /**
     * \returns whether a request for \a key is to be let in. \a hash is to be spread evenly over
     * requests.
     */
    bool admits(const ServiceName &service, KeyPlace key, std::uint64_t hash, Instant now) const;

private:
    std::map<std::pair<ServiceName, KeyPlace>, double> m_shares;
    Instant m_toldAt;
};

} // namespace bulrush

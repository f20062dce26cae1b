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

/** The fraction of the requests for a key that is admitted. */
struct KeyShare
{
    KeyPosition key = 0;
    /** From 0 to 1. */
    double share = 1.0;

    bool operator==(const KeyShare &) const = default;
};

/** The shares of those keys of a service whose load exceeds what their owners can serve. */
struct KeyShares
{
    ServiceName service;
    std::vector<KeyShare> shares;

    bool operator==(const KeyShares &) const = default;
};

/**
 * Finds the keys whose load exceeds what their owners can serve. A key has one owner, so load
 * beyond the capacity of that server cannot be served at all. Each of many daemons sees too little
 * of the load to detect this. Together they fill the server's queue, in which further requests wait
 * until their deadline without an answer. The planner sees the complete load and sends daemons the
 * fraction to admit; they reject the rest at once.
 *
 * Stateless and thread safe.
 */
class KeyAdmission
{
public:
    /** A key is hot if it gets at least this rate, in requests per second, ... */
    static constexpr double hotRate = 6.0;
    /** ... and at least this fraction of its owner's capacity. */
    static constexpr double hotFraction = 0.4;
    /**
     * Admitted load as a fraction of the owner's capacity. It exceeds 1, as daemons queue the
     * surplus and reject requests according to the deadlines of their callers.
     */
    static constexpr double admittedFraction = 1.3;
    /** At least this share is admitted, so that a drop of the load is noticed. */
    static constexpr double minShare = 0.02;

    /** \returns the shares of the hot keys of \a assignment that must be limited. */
    static KeyShares shares(const KeyAssignment &assignment, std::span<const KeyServer> servers,
                            const KeyTraffic &traffic);
};

/**
 * Admits requests by the shares that a daemon received last, until these are too old.
 *
 * Not thread safe.
 */
class KeyGate
{
public:
    /**
     * Daemons receive shares every 0.6 s; after two lost updates all requests are admitted again.
     */
    static constexpr Duration validity = std::chrono::milliseconds{1500};

    /** Replaces all shares; services that are not in \a shares have none. */
    void set(std::span<const KeyShares> shares, Instant now);

    /**
     * \returns whether to admit a request for \a key. \a hash must be evenly distributed over
     * requests.
     */
    bool admits(const ServiceName &service, KeyPosition key, std::uint64_t hash, Instant now) const;

private:
    std::map<std::pair<ServiceName, KeyPosition>, double> m_shares;
    Instant m_receivedAt;
};

} // namespace bulrush

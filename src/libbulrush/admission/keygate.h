#pragma once

#include "admission/keyshares.h"
#include "process/clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

/** What KeyGate has to know of a request. */
struct KeyRequest
{
    ServiceName service;
    KeyPosition key = 0;
    /** The server that owns the key; empty if there is none. */
    ServerName owner;
    /** Of the request's route; 0 is the highest. */
    std::uint32_t priority = 0;
    /** Evenly distributed over requests, and the same for one request at all daemons. */
    std::uint64_t hash = 0;
};

enum class KeyDecision {
    Admitted,
    HotKey,    ///< more is requested of the key than its owner can serve
    BusyOwner, ///< more is requested of the owner's keys than it can serve
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

    /** \returns whether to admit \a request, or what has too much load. */
    KeyDecision decide(const KeyRequest &request, Instant now) const;

    /**
     * \returns whether to admit a request for \a key by the share over all priorities. \a hash must
     * be evenly distributed over requests.
     */
    bool admits(const ServiceName &service, KeyPosition key, std::uint64_t hash, Instant now) const;

    /** \returns the shares that have not expired, a line for each, for the operators' page. */
    std::string text(Instant now) const;

private:
    /** The shares of one service. */
    struct Shares
    {
        std::vector<std::uint32_t> priorities;
        std::map<KeyPosition, KeyShare> keys;
        std::map<ServerName, std::vector<double>> owners;
    };

    static double shareOf(const Shares &shares, const std::vector<double> &byPriority,
                          std::uint32_t priority);
    const Shares *findShares(const ServiceName &service, Instant now) const;

    std::map<ServiceName, Shares> m_shares;
    Instant m_receivedAt;
};

} // namespace bulrush

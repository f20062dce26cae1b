#pragma once

#include "version/keyassignment.h"
#include "version/keyloads.h"

#include <algorithm>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A server to which keys can be assigned. */
struct KeyServer
{
    ServerName id;
    /** Requests per second that it can serve while it names no limit. */
    double capacity = 1.0;
    /** Requests per second that it takes, if it names a limit. */
    std::optional<double> limit = std::nullopt;
    /** It named a limit until recently, for which it may have lost its keys. */
    bool isRecovered = false;

    /** \returns the requests per second that it can serve now. */
    double usableCapacity() const;
};

inline double KeyServer::usableCapacity() const
{
    return limit ? std::min(capacity, *limit) : capacity;
}

/**
 * Decides which server owns which keys of a service. Every key gets an owner that is ready, and no
 * server gets much more load than its share, which is proportional to its capacity. The share of a
 * server that names a limit is a part of its limit: enough requests to hear when the limit ends,
 * and few enough that none has to wait. Few keys move, and the number of ranges stays low, as each
 * costs a call at every renewal.
 *
 * Stateless and thread safe.
 */
class KeyPlanner
{
public:
    /** A server is overloaded if its load exceeds its share by this factor, ... */
    static constexpr double overloadFactor = 1.25;
    /** ... exceeds this fraction of its capacity, below which requests hardly queue, ... */
    static constexpr double busyFraction = 0.55;
    /** ... and exceeds its share by this many standard deviations of the counted load. */
    static constexpr double significantDeviations = 2.0;
    /** Limit of the balancing moves per round if there are few servers. */
    static constexpr std::size_t minMoveLimit = 6;
    /**
     * With more servers, the limit is one balancing move per this many servers. Each round is one
     * commit, and rounds are half a second apart, so that load which appears on 157 servers at once
     * is balanced within three seconds.
     */
    static constexpr std::size_t serversPerMove = 3;
    /**
     * A new server without keys is filled up to this fraction of its share at once, as it would be
     * useless while it waits for another server to become overloaded.
     */
    static constexpr double newServerFill = 0.6;
    /** Maximum share of a server that names a limit, as a fraction of the limit. */
    static constexpr double limitFill = 0.5;
    /**
     * Requests per second that a server which names a limit keeps if it can serve them, as only
     * answers tell when the limit ends.
     */
    static constexpr double minLimitedLoad = 0.25;
    /**
     * A server whose limit has ended is filled like a new one if it has less than this fraction of
     * its share, as the others may not be loaded enough to give keys back.
     */
    static constexpr double recoveredFill = 0.4;
    /** A key that alone overloads its owner moves to a server that is faster by this factor. */
    static constexpr double hotKeySpeedup = 1.25;
    /** A range is not divided into pieces smaller than this fraction of a share. */
    static constexpr double minPieceFraction = 1.0 / 16;
    /** Number of ranges of a server from which on they are not split further. */
    static constexpr std::size_t maxRangesPerServer = 6;
    /**
     * Load that is assumed to be spread evenly over all keys in addition to the counted load, in
     * requests per second, so that plans without traffic divide the keys evenly.
     */
    static constexpr double baselineLoad = 4.0;

    /**
     * \returns the assignment to replace \a current, or nothing if it can stay. Ranges whose owner
     * changes get the new sequence as their fencing token, and their last holder as previous owner.
     * While ranges are moving, only ranges without a ready owner are planned.
     * \pre \a servers are the ready ones
     */
    static std::optional<KeyAssignment> plan(const KeyAssignment &current,
                                             std::span<const KeyServer> servers,
                                             const KeyTraffic &traffic);
};

} // namespace bulrush

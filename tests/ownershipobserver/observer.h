#pragma once

#include "process/clock.h"
#include "version/fence.h"
#include "version/identifier.h"
#include "version/slice.h"

#include <map>
#include <vector>

/**
 * A request that a server accepted, in true time, which no simulated process can read.
 */
struct AcceptedWork
{
    bulrush::ServerName server;
    bulrush::KeyHash key = 0;
    bulrush::Fence fence;
    bulrush::Instant start;
    bulrush::Instant end;
};

/** Requests for one key that ran at two servers at the same time. */
struct WorkOverlap
{
    AcceptedWork first;
    AcceptedWork second;
};

/**
 * Records the requests that servers ran, independently of leases, fences and assignments.
 */
class OwnershipObserver
{
public:
    void record(const AcceptedWork &work);
    /** \returns the pairs of requests for one key that overlap at different servers. */
    std::vector<WorkOverlap> overlaps() const;
    std::size_t workCount() const;
    /** \returns the longest time without a start of a request for \a key in the given span. */
    bulrush::Duration longestGap(bulrush::KeyHash key, bulrush::Instant from,
                                 bulrush::Instant until) const;

private:
    std::map<bulrush::KeyHash, std::multimap<bulrush::Instant, AcceptedWork>> m_work;
};

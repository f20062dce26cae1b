#pragma once

#include "process/clock.h"
#include "version/identifier.h"
#include "version/slicemeter.h"

#include <map>
#include <span>

namespace bulrush {

/**
 * The latest load report of each daemon, as stored by the domain leader. A report expires if no
 * newer one replaces it within the lifetime.
 *
 * Not thread safe.
 */
class LoadReportTable
{
public:
    /** \pre \a lifetime is above 0. */
    explicit LoadReportTable(Duration lifetime);

    /** Replaces the previous reports of \a daemon by \a reports. */
    void note(const Incarnation &daemon, std::map<ServiceName, LoadReport> reports, Instant now);

    /** Removes reports that are older than the lifetime. */
    void expire(Instant now);

    /**
     * \returns the sum of all reports on \a service, on the ranges \a slices; empty if there is no
     * report, or if the sum is below \a minLoad requests per second.
     * \pre \a slices are sorted and do not overlap.
     */
    LoadReport merged(const ServiceName &service, std::span<const SliceRange> slices,
                      double minLoad) const;

private:
    struct Entry
    {
        std::map<ServiceName, LoadReport> reports;
        Instant recordedAt;
    };

    Duration m_lifetime;
    std::map<Incarnation, Entry> m_entries;
};

} // namespace bulrush

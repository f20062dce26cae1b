#pragma once

#include "process/clock.h"
#include "version/identifier.h"
#include "version/slicemeter.h"

#include <map>
#include <span>

namespace bulrush {

/**
 * The latest load report of each daemon, as a steward keeps them. A report that isn't followed by
 * another is dropped after a while.
 *
 * Not thread safe.
 */
class LoadReportTable
{
public:
    /** \pre \a lifetime is above 0. */
    explicit LoadReportTable(Duration lifetime);

    /** Puts \a reports in the place of what \a daemon reported before. */
    void note(const Incarnation &daemon, std::map<ServiceName, LoadReport> reports, Instant now);

    /** Drops the reports that are too old. */
    void expire(Instant now);

    /**
     * \returns the sum of all reports on \a service, on the ranges \a slices; empty if there is no
     * report, or fewer than \a leastLoad requests a second in all.
     * \pre \a slices are sorted and don't overlap.
     */
    LoadReport merged(const ServiceName &service, std::span<const SliceRange> slices,
                      double leastLoad) const;

private:
    struct Entry
    {
        std::map<ServiceName, LoadReport> reports;
        Instant notedAt;
    };

    Duration m_lifetime;
    std::map<Incarnation, Entry> m_entries;
};

} // namespace bulrush

#pragma once

#include "process/clock.h"
#include "version/heavyhitters.h"
#include "version/identifier.h"
#include "version/slicemeter.h"

#include <map>
#include <mutex>
#include <set>

namespace bulrush {

struct Assignment;

/**
 * Counts the requests with a key that this daemon sends to the servers that it manages, by slice
 * and by hot key. Used by all traffic threads. Thread safe.
 */
class LoadRecorder
{
public:
    /** Applies the slices of \a assignment, and removes services that it does not contain. */
    void setAssignment(const Assignment &assignment, Instant now);

    /** Counts a request for \a hash. Ignores services that are in no assignment. */
    void add(const DomainName &domain, const ServiceName &service, KeyHash hash, Instant now);

    /** \returns the load of each service of \a domain, within the codec's limits for reports. */
    std::map<ServiceName, LoadReport> reports(const DomainName &domain, Instant now);

private:
    struct Meters
    {
        SliceMeter slices;
        HeavyHitters keys;
    };

    std::mutex m_mutex;
    std::map<DomainName, std::map<ServiceName, Meters>> m_domains;
};

} // namespace bulrush

#include "loadrecorder.h"

#include "version/assignment.h"
#include "version/loadreportcodec.h"

#include <utility>
#include <vector>

namespace bulrush {

namespace {

constexpr Duration halfLife = std::chrono::seconds{5};

/** Number of counted keys; finds every key with a share of the load above 1 / keyCounters. */
constexpr std::size_t keyCounters = 1024;

std::map<ServiceName, std::vector<SliceRange>> rangesByService(const Assignment &assignment)
{
    std::map<ServiceName, std::vector<SliceRange>> ranges;
    for (const SliceOwner &slice : assignment.slices)
        ranges[slice.service].push_back(slice.range);
    return ranges;
}

} // namespace

void LoadRecorder::setAssignment(const Assignment &assignment, Instant now)
{
    const auto ranges = rangesByService(assignment);
    const std::scoped_lock lock{m_mutex};
    auto &services = m_domains[assignment.domain];
    std::erase_if(services, [&](const auto &entry) { return !ranges.contains(entry.first); });
    for (const auto &[service, slices] : ranges) {
        const auto found = services.find(service);
        if (found == services.end()) {
            services.emplace(service,
                             Meters{SliceMeter{slices, halfLife, now},
                                    HeavyHitters{keyCounters, halfLife, now}});
            continue;
        }
        Meters &meters = found->second;
        const auto hotKeys = keyLoads(meters.keys.report(now, io::maxReportedKeys));
        meters.slices.changeSlices(slices, hotKeys, now);
    }
}

void LoadRecorder::add(const DomainName &domain, const ServiceName &service, KeyHash hash,
                       Instant now)
{
    const std::scoped_lock lock{m_mutex};
    const auto services = m_domains.find(domain);
    if (services == m_domains.end())
        return;
    const auto meters = services->second.find(service);
    if (meters == services->second.end())
        return;
    meters->second.slices.add(hash, now);
    meters->second.keys.add(hash, now);
}

std::map<ServiceName, LoadReport> LoadRecorder::reports(const DomainName &domain, Instant now)
{
    std::map<ServiceName, LoadReport> reports;
    const std::scoped_lock lock{m_mutex};
    for (auto &[service, meters] : m_domains[domain]) {
        const auto hitters = meters.keys.report(now, io::maxReportedKeys);
        reports[service] = {boundedLoads(meters.slices.loads(now), io::maxReportedSlices),
                            keyLoads(hitters)};
    }
    return reports;
}

} // namespace bulrush

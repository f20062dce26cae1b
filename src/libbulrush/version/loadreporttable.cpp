#include "version/loadreporttable.h"

#include <utility>
#include <vector>

namespace bulrush {

LoadReportTable::LoadReportTable(Duration lifetime)
    : m_lifetime(lifetime)
{ }

void LoadReportTable::note(const Incarnation &daemon, std::map<ServiceName, LoadReport> reports,
                           Instant now)
{
    m_entries.insert_or_assign(daemon, Entry{std::move(reports), now});
}

void LoadReportTable::expire(Instant now)
{
    std::erase_if(m_entries,
                  [&](const auto &entry) { return now - entry.second.recordedAt >= m_lifetime; });
}

LoadReport LoadReportTable::merged(const ServiceName &service, std::span<const SliceRange> slices,
                                   double minLoad) const
{
    std::vector<LoadReport> reports;
    for (const auto &[daemon, entry] : m_entries) {
        const auto found = entry.reports.find(service);
        if (found != entry.reports.end())
            reports.push_back(found->second);
    }
    LoadReport sum = mergedLoads(slices, reports);
    double total = 0;
    for (const SliceLoad &slice : sum.slices)
        total += slice.load;
    return reports.empty() || total < minLoad ? LoadReport{} : sum;
}

} // namespace bulrush

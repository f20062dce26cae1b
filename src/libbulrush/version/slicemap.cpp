#include "version/slicemap.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace bulrush {

SliceMap::SliceMap(const Assignment &assignment)
    : m_version(assignment.version)
{
    const std::size_t count = assignment.slices.size();
    m_begins.reserve(count);
    m_ends.reserve(count);
    m_owners.reserve(count);
    m_fences.reserve(count);

    std::unordered_map<std::string_view, std::uint32_t> indexByName;
    for (const SliceOwner &slice : assignment.slices) {
        if (m_services.empty() || m_services.back().service != slice.service)
            m_services.push_back({slice.service, m_begins.size(), 0});
        ++m_services.back().count;

        const auto nextIndex = static_cast<std::uint32_t>(m_servers.size());
        const auto [entry, isNew] = indexByName.try_emplace(slice.server.value(), nextIndex);
        if (isNew)
            m_servers.push_back(slice.server);
        m_begins.push_back(slice.range.begin);
        m_ends.push_back(slice.range.end);
        m_owners.push_back(entry->second);
        m_fences.push_back(slice.fence);
    }
}

std::optional<SliceRoute> SliceMap::find(const ServiceName &service, KeyHash hash) const
{
    const auto slices = std::ranges::lower_bound(m_services, service, {}, &ServiceSlices::service);
    if (slices == m_services.end() || slices->service != service)
        return std::nullopt;

    const auto first = m_begins.begin() + static_cast<std::ptrdiff_t>(slices->first);
    const auto last = first + static_cast<std::ptrdiff_t>(slices->count);
    const auto after = std::upper_bound(first, last, hash);
    if (after == first)
        return std::nullopt;
    const auto index = static_cast<std::size_t>(after - 1 - m_begins.begin());
    if (m_ends[index] < hash)
        return std::nullopt;
    return SliceRoute{.range = {m_begins[index], m_ends[index]},
                      .server = &m_servers[m_owners[index]],
                      .fence = m_fences[index]};
}

std::size_t SliceMap::memoryBytes() const
{
    return m_begins.capacity() * sizeof(KeyHash) + m_ends.capacity() * sizeof(KeyHash)
        + m_owners.capacity() * sizeof(std::uint32_t) + m_fences.capacity() * sizeof(Fence);
}

} // namespace bulrush

#pragma once

#include "version/assignment.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bulrush {

/**
 * The owner of a key's slice. The name is valid as long as the map is.
 */
struct SliceRoute
{
    SliceRange range;
    const ServerName *server = nullptr;
    Fence fence;
};

/**
 * An assignment in a form for key look-ups by routers: sorted arrays that do not change once built.
 *
 * Any number of threads may read it concurrently.
 */
class SliceMap
{
public:
    /** Bytes per slice; names are stored once for each service and server. */
    static constexpr std::size_t bytesPerSlice =
        2 * sizeof(KeyHash) + sizeof(std::uint32_t) + sizeof(Fence);

    SliceMap() = default;

    /** \pre The slices of \a assignment are sorted by service and range, without overlap. */
    explicit SliceMap(const Assignment &assignment);

    /**
     * \returns the owner of \a hash, or nothing if the service is unknown or no slice contains it.
     * Takes time logarithmic in the slices of the service.
     */
    std::optional<SliceRoute> find(const ServiceName &service, KeyHash hash) const;

    const Fence &version() const;
    std::size_t sliceCount() const;
    /** \returns the size of the arrays in bytes, without names. */
    std::size_t memoryBytes() const;

private:
    struct ServiceSlices
    {
        ServiceName service;
        std::size_t first = 0;
        std::size_t count = 0;
    };

    Fence m_version;
    std::vector<ServiceSlices> m_services;
    std::vector<ServerName> m_servers;
    // Parallel arrays with one entry per slice.
    std::vector<KeyHash> m_begins;
    std::vector<KeyHash> m_ends;
    std::vector<std::uint32_t> m_owners;
    std::vector<Fence> m_fences;
};

inline const Fence &SliceMap::version() const
{
    return m_version;
}

inline std::size_t SliceMap::sliceCount() const
{
    return m_begins.size();
}

} // namespace bulrush

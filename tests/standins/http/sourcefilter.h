#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush::standins {

/** Which connections of this process a partition affects. */
enum class PartitionScope {
    AllConnections,
    NewConnections, ///< connections that are open already keep working
    ResetOpen,      ///< open connections are reset, and new ones hang
};

/**
 * Simulates a network partition between the callers at the IPv4 addresses \a sources and this
 * process's listener on \a port: packets from them are dropped before the system handles them, so
 * that their connections hang. Replaces any earlier partition; without sources, it ends.
 * Throws std::system_error if a filter can't be installed.
 */
void partitionFrom(const std::vector<std::string> &sources, std::uint16_t port,
                   PartitionScope scope);

} // namespace bulrush::standins

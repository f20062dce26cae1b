#include "process/routingstate.h"

#include <algorithm>

namespace bulrush {

const std::vector<KnownServer> &RoutingState::serversOf(const ServiceName &service) const
{
    static const std::vector<KnownServer> none;
    const auto found = servers.find(service);
    return found == servers.end() ? none : found->second;
}

const KnownServer *RoutingState::server(const ServiceName &service, const ServerName &id) const
{
    const std::vector<KnownServer> &all = serversOf(service);
    const auto found = std::ranges::find_if(
        all, [&id](const KnownServer &server) { return server.record.id == id; });
    return found == all.end() ? nullptr : &*found;
}

std::optional<std::size_t> RoutingState::slowStartRank(const ServerName &server) const
{
    const auto found = slowStartRanks.find(server);
    return found == slowStartRanks.end() ? std::nullopt : std::optional{found->second};
}

} // namespace bulrush

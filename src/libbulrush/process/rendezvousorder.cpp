#include "process/rendezvousorder.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace bulrush {

namespace {

/** Position of a daemon in the order for a server; lower comes first. */
using OrderKey = std::tuple<bool, std::uint64_t, HostName>;

OrderKey orderKey(const ServerName &server, const DomainName &domain, const DaemonLocation &daemon)
{
    const std::string &name = server.value();
    const std::string &host = daemon.host.value();
    const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
    return {daemon.domain != domain, XXH3_64bits_withSeed(host.data(), host.size(), seed),
            daemon.host};
}

} // namespace

RendezvousOrder::RendezvousOrder(ServerName server, DomainName domain)
    : m_server(std::move(server))
    , m_domain(std::move(domain))
{ }

std::optional<std::size_t> RendezvousOrder::rankOf(const HostName &self,
                                                   std::span<const DaemonLocation> daemons) const
{
    const auto own = std::ranges::find(daemons, self, &DaemonLocation::host);
    if (own == daemons.end())
        return std::nullopt;
    const OrderKey ownKey = orderKey(m_server, m_domain, *own);
    return static_cast<std::size_t>(
        std::ranges::count_if(daemons, [&](const DaemonLocation &daemon) {
            return orderKey(m_server, m_domain, daemon) < ownKey;
        }));
}

std::vector<HostName> RendezvousOrder::first(std::size_t count,
                                             std::span<const DaemonLocation> daemons) const
{
    std::vector<OrderKey> order;
    order.reserve(daemons.size());
    for (const DaemonLocation &daemon : daemons)
        order.push_back(orderKey(m_server, m_domain, daemon));
    const std::size_t size = std::min(count, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(size));
    std::vector<HostName> hosts;
    for (std::size_t i = 0; i < size; ++i)
        hosts.push_back(std::get<HostName>(order[i]));
    return hosts;
}

std::uint64_t digestOf(std::span<const DaemonLocation> daemons)
{
    std::uint64_t digest = 0;
    for (const DaemonLocation &daemon : daemons) {
        const std::string &host = daemon.host.value();
        digest += XXH3_64bits(host.data(), host.size());
    }
    return digest;
}

} // namespace bulrush

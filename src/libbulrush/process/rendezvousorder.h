#pragma once

#include "process/daemonlocation.h"
#include "version/identifier.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/**
 * An order of the daemons that differs between servers (rendezvous hashing), in which daemons of
 * the server's own failure domain come first. Daemons that disagree about which daemons exist agree
 * on most of it.
 *
 * Stateless and thread safe.
 */
class RendezvousOrder
{
public:
    /** The order for \a server, which is in \a domain. */
    RendezvousOrder(ServerName server, DomainName domain);

    /**
     * \returns the position of the daemon on \a self among \a daemons, from 0, or nothing if \a
     * daemons does not contain it.
     */
    std::optional<std::size_t> rankOf(const HostName &self,
                                      std::span<const DaemonLocation> daemons) const;

    /** \returns the hosts of the first \a count of \a daemons in this order. */
    std::vector<HostName> first(std::size_t count, std::span<const DaemonLocation> daemons) const;

private:
    ServerName m_server;
    DomainName m_domain;
};

/** \returns a digest of the hosts of \a daemons, whatever their order. Thread safe. */
std::uint64_t digestOf(std::span<const DaemonLocation> daemons);

} // namespace bulrush

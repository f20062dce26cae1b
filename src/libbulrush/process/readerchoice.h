#pragma once

#include "process/clock.h"
#include "process/renewerbook.h"
#include "version/identifier.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A daemon that others of its failure domain may follow rows through. */
struct RowsReader
{
    HostName host;
    Endpoint address;
    /** Of its row; the daemon that registered first has the lowest. */
    std::uint64_t version = 0;
};

/**
 * Through which daemon of its own failure domain a daemon follows the store's rows, so that one
 * reads for all of them: calls to the store are paid for, and grow with the daemons otherwise.
 *
 * All choose alike without asking each other: the one that registered first. One that fails is
 * passed over for a while; whoever finds no other reads the store itself. Not thread safe.
 */
class ReaderChoice
{
public:
    /** For how long a daemon that did not serve rows is passed over; twice as long each time. */
    static constexpr Duration suspicion = std::chrono::seconds{5};
    static constexpr Duration longestSuspicion = std::chrono::seconds{80};

    ReaderChoice(HostName self, DomainName domain);

    /** Takes in the daemons that have rows, this one among them once it has one. */
    void setDaemons(std::span<const Renewer> daemons);

    /** Notes that \a host did not serve rows. */
    void failed(const HostName &host, Instant now);

    /** Notes that \a host served rows. */
    void served(const HostName &host);

    /** \returns whom to follow, or nothing if this daemon is to read the store itself. */
    std::optional<RowsReader> reader(Instant now) const;

private:
    struct Failures
    {
        Instant last;
        /** Without a success in between. */
        int count = 0;
    };

    bool isSuspected(const HostName &host, Instant now) const;

    HostName m_self;
    DomainName m_domain;
    std::vector<RowsReader> m_candidates;
    std::map<HostName, Failures> m_failures;
};

} // namespace bulrush

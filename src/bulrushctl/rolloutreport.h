#pragma once

#include "daemonaccess.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

/** A host where the version of a contract is not confirmed to be in force, and the reason. */
struct MissingHost
{
    std::string host;
    std::string reason;

    bool operator==(const MissingHost &) const = default;
};

/** The number of hosts where a version of a contract is in force. */
struct RolloutReport
{
    std::size_t inForce = 0;
    std::size_t hosts = 0;
    /** Ordered by name. */
    std::vector<MissingHost> missing;
};

/**
 * \returns at which hosts \a version of the contract of \a organisation, or a later one, is in
 * force. This covers the hosts that answered, those that did not, and those that the answering ones
 * list as present peers. Thread safe.
 */
RolloutReport rolloutReport(const FleetStatus &fleet, const OrganisationName &organisation,
                            std::uint64_t version);

/** \returns "in force at N of M hosts" and one line for each missing host. */
std::string toText(const RolloutReport &report);

} // namespace bulrush::ctl

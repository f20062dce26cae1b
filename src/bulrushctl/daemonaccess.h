#pragma once

#include "daemonstatus.h"
#include "process/clock.h"
#include "process/endpoint.h"

#include <json/value.h>

#include <string>
#include <vector>

namespace bulrush::ctl {

/** The answer of one daemon, or the reason why there is none. */
struct DaemonAnswer
{
    Endpoint endpoint;
    std::error_code error;
    std::string cause;
    /** The body of the answer as received, and the JSON object parsed from it. */
    std::string text;
    Json::Value json;
};

/** A daemon that was queried and gave no valid answer. */
struct UnresponsiveDaemon
{
    Endpoint endpoint;
    std::string cause;
};

/** The status of all daemons that were queried. */
struct FleetStatus
{
    std::vector<DaemonStatus> daemons;
    std::vector<UnresponsiveDaemon> unresponsive;
};

/**
 * Queries the daemons at their ports for operators, all concurrently with a bounded number of
 * threads.
 *
 * Calls block until all daemons have answered or timed out. Not thread safe.
 */
class DaemonAccess
{
public:
    /** \a timeout applies to each call to one daemon. */
    DaemonAccess(std::vector<Endpoint> endpoints, Duration timeout);

    const std::vector<Endpoint> &endpoints() const;

    /** \returns the answer of each daemon to GET \a path, in the order of the endpoints. */
    std::vector<DaemonAnswer> queryAll(const std::string &path) const;

    /** Queries the status of all daemons. */
    FleetStatus status() const;

private:
    DaemonAnswer query(const Endpoint &endpoint, const std::string &path) const;

    std::vector<Endpoint> m_endpoints;
    Duration m_timeout;
};

inline const std::vector<Endpoint> &DaemonAccess::endpoints() const
{
    return m_endpoints;
}

} // namespace bulrush::ctl

#pragma once

#include "connection/httpclient.h"
#include "process/clock.h"

#include <string>
#include <system_error>
#include <vector>

namespace bulrush::io {

/** A host in the platform's list of hosts. */
struct ListedHost
{
    enum class Kind { Entry, Server };
    enum class State { Live, Leaving };

    std::string name;
    std::string domain;
    Kind kind = Kind::Entry;
    State state = State::Live;
    std::string address;

    bool operator==(const ListedHost &) const = default;
};

/**
 * The platform's list of hosts, which may be outdated. The list is valid only if \a error is clear.
 */
struct HostsResult
{
    std::error_code error;
    /** Age of the list as stated by the platform. */
    Duration age{};
    std::vector<ListedHost> hosts;
    /** Number of skipped entries, which are invalid or of an unknown kind or state. */
    std::size_t ignoredCount = 0;
};

/** \returns the list of hosts in an answer to `GET /hosts`. Thread safe. */
HostsResult decodeHosts(const HttpResult &result);

} // namespace bulrush::io

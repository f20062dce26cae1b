#pragma once

#include "request/requestfingerprint.h"
#include "version/identifier.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/** Reports that a server crashed while a request was in flight there, or right after its
 * abandonment. */
struct CrashReport
{
    RequestFingerprint request;
    /** The run of the server that crashed. */
    ServerName server;
    /** Runs that were known to have crashed under the request before it was sent to this server. */
    std::vector<ServerName> after = {};

    bool operator==(const CrashReport &) const = default;
};

/** Reports that a server answered a request under which other servers had crashed before. */
struct CrashRetraction
{
    RequestFingerprint request;
    /** Servers that had crashed, but not because of this request. */
    std::vector<ServerName> servers;

    bool operator==(const CrashRetraction &) const = default;
};

/** Reports and retractions that one daemon publishes to the others. */
struct CrashRow
{
    std::vector<CrashReport> reports;
    std::vector<CrashRetraction> retractions;

    bool operator==(const CrashRow &) const = default;
};

/**
 * Request to write this daemon's own row, on condition that the version of the stored row still has
 * the expected number. 0 means that no row may exist.
 */
struct CrashRowWrite
{
    std::uint64_t expectedVersion = 0;
    CrashRow row;
};

} // namespace bulrush

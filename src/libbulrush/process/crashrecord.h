#pragma once

#include "request/requestfingerprint.h"
#include "version/identifier.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/** A server ended while a request was under way there, or right after it was given up. */
struct CrashReport
{
    RequestFingerprint request;
    /** The run that ended. */
    ServerName server;
    /** Runs that were known to have ended under the request before it was sent to this one. */
    std::vector<ServerName> after = {};

    bool operator==(const CrashReport &) const = default;
};

/** A request was answered by a server, after others had ended under it. */
struct CrashRetraction
{
    RequestFingerprint request;
    /** Those that had ended: not for this request. */
    std::vector<ServerName> servers;

    bool operator==(const CrashRetraction &) const = default;
};

/** What one daemon has seen, as it tells the others. */
struct CrashRow
{
    std::vector<CrashReport> reports;
    std::vector<CrashRetraction> retractions;

    bool operator==(const CrashRow &) const = default;
};

/** Write this daemon's own row, if it still has the version; 0: if there is none. */
struct CrashRowWrite
{
    std::uint64_t expectedVersion = 0;
    CrashRow row;
};

} // namespace bulrush

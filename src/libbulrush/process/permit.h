#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>

namespace bulrush {

/** The part of a server's limit that a daemon issues. */
enum class IssuerRole {
    None,    ///< issues nothing
    Backup,  ///< queried if the primary does not answer
    Primary, ///< the first daemon in the server's order
};

/**
 * A daemon's query whether it may send one request to a server that names a limit, or its report
 * that the limit has ended.
 */
struct PermitQuery
{
    ServerName server;
    /** The server's failure domain. */
    DomainName domain;
    /** The last limit that the server named, in requests per second; nothing if it has ended. */
    std::optional<double> perSecond;
    /** Age of the answer in which the server stated this. */
    Duration statedAgo{};
    /** Maximum time for which the request can wait. */
    Duration maxWait{};
    /** The role of the queried daemon by the daemons that the querying one knows. */
    IssuerRole role = IssuerRole::Primary;
    /** Digest of the daemons that the querying one knows; nothing if it states none. */
    std::optional<std::uint64_t> view = std::nullopt;

    bool operator==(const PermitQuery &) const = default;
};

enum class PermitOutcome {
    Granted,    ///< the request may be sent after the wait
    Refused,    ///< the wait is longer than the request can wait
    LimitEnded, ///< the server has stated later that it has no limit
};

/** The answer to a PermitQuery. */
struct PermitAnswer
{
    PermitOutcome outcome = PermitOutcome::Refused;
    /** Time until the request may be sent, or could have been if it was refused. */
    Duration wait{};

    bool operator==(const PermitAnswer &) const = default;
};

} // namespace bulrush

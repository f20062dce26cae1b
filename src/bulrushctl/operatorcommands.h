#pragma once

#include "commitwithretries.h"
#include "console.h"
#include "exitcode.h"
#include "process/clock.h"
#include "version/identifier.h"

#include <optional>
#include <string>

namespace bulrush::ctl {

class DaemonAccess;

/** The author and identifiers of the writes of a command, and how they are retried. */
struct CommandContext
{
    std::string changedBy;
    std::string requestId;
    std::string writer;
    RetryPolicy policy;
};

/** Output format of the report on service-level burn. */
enum class BurnFormat { Table, Json, Csv, Html };

/** Options of the command that plans the departure of a host. */
struct LeaveOptions
{
    /** Whether the host may be missing from the platform's list. */
    bool isUnlistedAllowed = false;
    /** Maximum time to show progress until the host has left; nothing if not to wait. */
    std::optional<Duration> waitTimeout;
};

/**
 * The commands about hosts, domain leaders, assignments and the complete system. Each prints its
 * result and returns the exit code.
 *
 * Not thread safe.
 */
class OperatorCommands
{
public:
    OperatorCommands(PlatformTable &table, const DaemonAccess &daemons, Console &console,
                     CommandContext context);

    /** Prints the platform's list of hosts, which may be outdated, with the planned departures. */
    ExitCode listHosts();

    /** Plans the departure of \a host, and waits for it if \a options has a time limit for that. */
    ExitCode leave(const HostName &host, const LeaveOptions &options);

    /** Prints the slices and owners in the latest assignment of \a domain that a daemon reports. */
    ExitCode showAssignment(const DomainName &domain);

    ExitCode status();

    /** Prints the service-level burn of all operations, merged from the daemons that answer. */
    ExitCode reportBurn(BurnFormat format);

    /**
     * Releases the leadership of \a domain. \a isConfirmedGone states that the operator has
     * verified that the holder and its candidates have stopped for good; if it is false, nothing is
     * changed.
     */
    ExitCode releaseLeadership(const DomainName &domain, bool isConfirmedGone);

private:
    ExitCode fail(const std::error_code &error, const std::string &cause);
    ExitCode refuse(const std::string &reason);
    ExitCode report(const CommitResult &result, const std::string &done);
    ExitCode planDeparture(const HostName &host);
    ExitCode waitUntilDeparted(const HostName &host, Duration waitTimeout);
    bool isListed(const HostName &host, ExitCode &failure);

    PlatformTable &m_table;
    const DaemonAccess &m_daemons;
    Console &m_console;
    CommandContext m_context;
};

} // namespace bulrush::ctl

#pragma once

#include "console.h"
#include "contractstore.h"
#include "exitcode.h"
#include "process/clock.h"

#include <optional>
#include <string>

namespace bulrush::ctl {

class DaemonAccess;

/** Options of the commands that change a contract. */
struct ChangeOptions
{
    ChangeAuthor author;
    /** Whether to write without asking for confirmation. */
    bool isConfirmed = false;
    /** Maximum time to wait until the change is in force at all hosts; nothing if not to wait. */
    std::optional<Duration> waitTimeout;
};

/**
 * The commands "bulrushctl contract ...". Each prints its result and returns the exit code.
 *
 * Not thread safe.
 */
class ContractCommands
{
public:
    ContractCommands(ContractStore &store, const DaemonAccess &daemons, Console &console);

    /** Prints the text of the current contract, or of \a version if one is given. */
    ExitCode get(const OrganisationName &organisation, std::optional<std::uint64_t> version);

    /** Validates the file at \a path, shows the changes, asks for confirmation, and writes it. */
    ExitCode put(const std::string &path, const ChangeOptions &options);

    /** Validates the file at \a path and shows the changes that put() would make. */
    ExitCode diff(const std::string &path);

    ExitCode list();
    ExitCode history(const OrganisationName &organisation);

    /** Writes the text of an old version as a new version. */
    ExitCode rollback(const OrganisationName &organisation, std::uint64_t version,
                      const ChangeOptions &options);

private:
    /** Shows \a change, asks for confirmation, and writes it. */
    ExitCode confirmAndApply(const StoredContract &current, const ContractChange &change,
                             const ChangeOptions &options);
    ExitCode report(const ContractChange &change, const ChangeResult &result,
                    const ChangeOptions &options);
    ExitCode reportAccepted(const ContractChange &change, std::uint64_t version,
                            const ChangeOptions &options);
    ExitCode reportConflict(const ContractChange &change, const StoredContract &current);
    ExitCode waitUntilInForce(const OrganisationName &organisation, std::uint64_t version,
                              Duration waitTimeout);
    ExitCode fail(const std::error_code &error, const std::string &cause);
    ExitCode refuse(const std::string &reason);
    /**
     * \returns the only contract of \a result. If there is not exactly one, prints the error and
     * returns nothing.
     */
    std::optional<StoredContract> singleContract(const ContractsResult &result);
    std::optional<ContractChange> changeFromFile(const std::string &path);
    void printTable(const ContractsResult &result);

    ContractStore &m_store;
    const DaemonAccess &m_daemons;
    Console &m_console;
};

} // namespace bulrush::ctl

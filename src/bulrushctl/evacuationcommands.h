#pragma once

#include "console.h"
#include "exitcode.h"
#include "process/evacuationreport.h"
#include "version/identifier.h"

#include <vector>

namespace bulrush::ctl {

class DaemonAccess;

/**
 * The commands about evacuations of failure domains. The operators' platform tools begin and end
 * them; these commands only read. Each prints its result and returns the exit code.
 *
 * Not thread safe.
 */
class EvacuationCommands
{
public:
    /** \pre the arguments outlive this object */
    EvacuationCommands(const DaemonAccess &daemons, Console &console);

    /**
     * Prints each evacuated domain, since when, how many daemons know, and what is left there.
     * Fails with Unreachable if a daemon does not answer.
     */
    ExitCode show();

    /**
     * Prints what an evacuation of \a domain would mean for each service. Fails with Refused if a
     * service would have no servers or too few, or if no server is in \a domain.
     */
    ExitCode check(const DomainName &domain);

private:
    bool queryReports();

    const DaemonAccess &m_daemons;
    Console &m_console;
    std::vector<EvacuationReport> m_reports;
};

} // namespace bulrush::ctl

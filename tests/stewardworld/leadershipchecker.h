#pragma once

#include "driftingclock.h"
#include "process/leaderelection.h"

#include <map>
#include <string>
#include <vector>

namespace bulrush::test {

/** Maximum time between two events of a process that is not frozen. */
constexpr Duration tickInterval = std::chrono::milliseconds(50);

/**
 * Checks in true time that no two processes are leader at the same time, and that no process may
 * grant while work under the leases of another process may run.
 */
class LeadershipChecker
{
public:
    /** Checks \a election and the actions in \a actions, right after an event at \a now. */
    void check(const std::string &process, const LeaderElection &election,
               const std::vector<LeaderElectionAction> &actions, const DriftingClock &clock,
               TrueTime now, const LeaderElectionTimings &timings);

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    /**
     * \returns the longest period up to \a now during which no routing lease can have been in
     * force. The leases of a lost daemon count until their end.
     */
    Duration longestTimeWithoutLease(TrueTime now) const;

private:
    struct Term
    {
        /**
         * End of the term unless it is extended; unchanged while the process is frozen or stopped.
         *
         */
        TrueTime until{};
        /** End of work under the last lease that the process can have granted. */
        TrueTime workUntil{};
    };

    void checkAgainstOthers(const std::string &process, TrueTime now, TrueTime mayGrantFrom);

    std::map<std::string, Term> m_terms;
    std::vector<std::string> m_violations;
    TrueTime m_leasesUntil{};
    Duration m_longestTimeWithoutLease{};
};

} // namespace bulrush::test

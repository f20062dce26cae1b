#include "leadershipchecker.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace bulrush::test {

namespace {

std::string inMilliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count())
        + " ms";
}

} // namespace

void LeadershipChecker::check(const std::string &process, const LeaderElection &election,
                              const std::vector<LeaderElectionAction> &actions,
                              const DriftingClock &clock, TrueTime now,
                              const LeaderElectionTimings &timings)
{
    Term &term = m_terms[process];
    for (const LeaderElectionAction &action : actions) {
        if (std::holds_alternative<LeadershipEnded>(action))
            term.until = std::min(term.until, now);
        if (const auto *began = std::get_if<LeadershipStarted>(&action))
            checkAgainstOthers(process, now, std::max(now, clock.trueTimeOf(began->mayGrantFrom)));
    }
    if (!election.isLeaderAt(clock.at(now)))
        return;
    checkAgainstOthers(process, now, election.mayGrantAt(clock.at(now)) ? now : TrueTime::max());
    term.until = clock.trueTimeOf(election.leadershipUntil());
    // The latest lease that the process can grant before its next event.
    const Instant latest =
        std::min(clock.at(now + tickInterval), election.leadershipUntil() - Duration(1));
    const Instant leaseUntil = election.routingLeaseUntil(latest);
    const Duration work = shortened(timings.workPastLease, timings.driftPpm);
    term.workUntil = std::max(term.workUntil, clock.trueTimeOf(leaseUntil + work));
    if (!election.mayGrantAt(clock.at(now)))
        return;
    m_longestTimeWithoutLease = std::max(m_longestTimeWithoutLease, now - m_leasesUntil);
    m_leasesUntil = std::max(m_leasesUntil, clock.trueTimeOf(leaseUntil));
}

Duration LeadershipChecker::longestTimeWithoutLease(TrueTime now) const
{
    return std::max(m_longestTimeWithoutLease, now - m_leasesUntil);
}

void LeadershipChecker::checkAgainstOthers(const std::string &process, TrueTime now,
                                           TrueTime mayGrantFrom)
{
    for (const auto &[other, term] : m_terms) {
        if (other == process)
            continue;
        std::ostringstream text;
        if (term.until > now)
            text << process << " is leader at " << inMilliseconds(now) << ", " << other << " until "
                 << inMilliseconds(term.until);
        else if (term.workUntil > mayGrantFrom)
            text << process << " may grant from " << inMilliseconds(mayGrantFrom) << ", work of "
                 << other << " until " << inMilliseconds(term.workUntil);
        else
            continue;
        m_violations.push_back(text.str());
    }
}

} // namespace bulrush::test

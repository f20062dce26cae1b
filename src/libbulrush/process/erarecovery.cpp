#include "process/erarecovery.h"

#include <algorithm>

namespace bulrush {

EraRecovery::EraRecovery(const KeyTimings &timings)
    : m_timings(timings)
{ }

void EraRecovery::begin(Instant eraSince, Instant now)
{
    m_eraSince = eraSince;
    m_since = now;
    m_answers.clear();
    m_queriedAt.clear();
}

std::vector<Renewer> EraRecovery::dueQueries(const RenewerRegistry &renewers, Instant now)
{
    std::vector<Renewer> queries;
    for (const auto &[host, renewer] : renewers.renewers()) {
        const auto queried = m_queriedAt.find(host);
        const bool isPending =
            queried != m_queriedAt.end() && now - queried->second < queryRetryDelay;
        if (isPending || m_answers.contains(host))
            continue;
        m_queriedAt[host] = now;
        queries.push_back(renewer);
    }
    return queries;
}

void EraRecovery::recordAnswer(const RememberedAssignments &answer, Instant now)
{
    m_answers[answer.host] = {answer.incarnation, now - answer.uptime, answer.planner,
                              answer.plannerVersion};
}

bool EraRecovery::areAnswersIn(const RenewerRegistry &renewers, Instant now) const
{
    return now - m_since >= answerTimeout
        || std::ranges::all_of(renewers.renewers(), [this](const auto &entry) {
               return m_answers.contains(entry.first);
           });
}

EraRecovery::Step EraRecovery::step(const RenewerRegistry &renewers, Instant now) const
{
    if (!areAnswersIn(renewers, now))
        return Step::Wait;
    if (hasLastPlannerAnswered())
        return Step::Continue;
    return now >= lastUnknownGrant(renewers) + m_timings.maxHold() ? Step::RaiseFences : Step::Wait;
}

/** \returns the latest end of a grant by an assignment that no daemon which answered knows. */
Instant EraRecovery::lastUnknownGrant(const RenewerRegistry &renewers) const
{
    Instant last;
    for (const auto &[host, renewer] : renewers.renewers()) {
        const auto answer = m_answers.find(host);
        // An earlier run on the host may have sent grants until the current one started.
        last = std::max(last,
                        answer == m_answers.end() ? m_eraSince + m_timings.staleGrantPeriod()
                                                  : answer->second.startedAt);
    }
    return last;
}

/** \returns whether the daemon that planned last before the restore has answered. */
bool EraRecovery::hasLastPlannerAnswered() const
{
    const auto last = std::ranges::max_element(
        m_answers, {}, [](const auto &entry) { return entry.second.plannerVersion; });
    if (last == m_answers.end() || last->second.planner.isEmpty())
        return false;
    return std::ranges::any_of(m_answers, [&last](const auto &entry) {
        return entry.second.incarnation == last->second.planner;
    });
}

std::uint64_t firstSequenceOf(std::uint64_t era, const KeyAssignment &latest)
{
    const std::uint64_t eras = era > latest.era ? era - latest.era : 0;
    return latest.sequence + eras * sequencesPerEra + 1;
}

} // namespace bulrush

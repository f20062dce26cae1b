#pragma once

#include "process/leaderrow.h"

#include <span>
#include <vector>

namespace bulrush {

/** Maximum number of candidates in the failure domain of the row, not counting the leader. */
constexpr std::size_t maxOwnDomainCandidates = 2;
/** Maximum number of candidates in each other failure domain. */
constexpr std::size_t maxOtherDomainCandidates = 1;

/**
 * Chooses the candidates that the leader \a self of \a domain names: those of \a current that are
 * still alive, then the first of \a peers for the remaining places.
 *
 * Every candidate has to give promises during a platform outage. More candidates therefore make a
 * takeover after a loss easier, but the leadership easier to lose in an outage.
 *
 * \returns the candidates, sorted by incarnation, so that equal choices compare equal.
 */
std::vector<LeaderCandidate> chooseCandidates(const Incarnation &self, const DomainName &domain,
                                              std::span<const LeaderCandidate> current,
                                              std::span<const LeaderCandidate> peers);

} // namespace bulrush

#include "process/candidatechoice.h"

#include <algorithm>

namespace bulrush {

namespace {

bool containsIncarnation(std::span<const LeaderCandidate> candidates,
                         const Incarnation &incarnation)
{
    return std::ranges::find(candidates, incarnation, &LeaderCandidate::incarnation)
        != candidates.end();
}

void addWithinLimit(std::vector<LeaderCandidate> &chosen, const DomainName &domain,
                    const LeaderCandidate &peer)
{
    if (containsIncarnation(chosen, peer.incarnation))
        return;
    const auto limit = peer.domain == domain ? maxOwnDomainCandidates : maxOtherDomainCandidates;
    const auto count = std::ranges::count(chosen, peer.domain, &LeaderCandidate::domain);
    if (static_cast<std::size_t>(count) < limit)
        chosen.push_back(peer);
}

} // namespace

std::vector<LeaderCandidate> chooseCandidates(const Incarnation &self, const DomainName &domain,
                                              std::span<const LeaderCandidate> current,
                                              std::span<const LeaderCandidate> peers)
{
    std::vector<LeaderCandidate> chosen;
    for (const LeaderCandidate &peer : current) {
        if (peer.incarnation != self && containsIncarnation(peers, peer.incarnation))
            addWithinLimit(chosen, domain, peer);
    }
    for (const LeaderCandidate &peer : peers) {
        if (peer.incarnation != self)
            addWithinLimit(chosen, domain, peer);
    }
    std::ranges::sort(chosen, {}, &LeaderCandidate::incarnation);
    return chosen;
}

} // namespace bulrush

#include "process/candidatechoice.h"

#include <algorithm>

namespace bulrush {

namespace {

bool containsIncarnation(std::span<const StewardCandidate> candidates,
                         const Incarnation &incarnation)
{
    return std::ranges::find(candidates, incarnation, &StewardCandidate::incarnation)
        != candidates.end();
}

void addWithinLimit(std::vector<StewardCandidate> &chosen, const DomainName &domain,
                    const StewardCandidate &peer)
{
    if (containsIncarnation(chosen, peer.incarnation))
        return;
    const auto limit = peer.domain == domain ? maxOwnDomainCandidates : maxOtherDomainCandidates;
    const auto count = std::ranges::count(chosen, peer.domain, &StewardCandidate::domain);
    if (static_cast<std::size_t>(count) < limit)
        chosen.push_back(peer);
}

} // namespace

std::vector<StewardCandidate> chooseCandidates(const Incarnation &self, const DomainName &domain,
                                               std::span<const StewardCandidate> current,
                                               std::span<const StewardCandidate> peers)
{
    std::vector<StewardCandidate> chosen;
    for (const StewardCandidate &peer : current) {
        if (peer.incarnation != self && containsIncarnation(peers, peer.incarnation))
            addWithinLimit(chosen, domain, peer);
    }
    for (const StewardCandidate &peer : peers) {
        if (peer.incarnation != self)
            addWithinLimit(chosen, domain, peer);
    }
    std::ranges::sort(chosen, {}, &StewardCandidate::incarnation);
    return chosen;
}

} // namespace bulrush

#include "process/renewerregistry.h"

#include <algorithm>
#include <utility>

namespace bulrush {

RenewerRegistry::RenewerRegistry(const KeyTimings &timings)
    : m_timings(timings)
{ }

void RenewerRegistry::applyRow(const HostName &host, const DaemonRow &row,
                               const StoreVersion &version)
{
    m_renewers[host] = {host, row, version, std::nullopt, std::nullopt};
}

void RenewerRegistry::applyRowRemoval(const HostName &host, Instant now)
{
    const auto renewer = m_renewers.find(host);
    if (renewer != m_renewers.end() && !renewer->second.removedSince)
        renewer->second.removedSince = now;
}

void RenewerRegistry::recordCheck(Instant now)
{
    const Duration gap = now - std::exchange(m_checkedAt, now);
    if (gap < stallThreshold)
        return;
    for (auto &[host, renewer] : m_renewers) {
        if (renewer.unansweredSince)
            renewer.unansweredSince = std::min(now, *renewer.unansweredSince + gap);
    }
}

void RenewerRegistry::recordQuery(const HostName &host, Instant now)
{
    const auto renewer = m_renewers.find(host);
    if (renewer != m_renewers.end() && !renewer->second.unansweredSince)
        renewer->second.unansweredSince = now;
}

void RenewerRegistry::recordAnswer(const RenewerAnswer &answer, Instant now)
{
    Answer &stored = m_answers[{answer.host, answer.service}];
    if (const auto renewer = m_renewers.find(answer.host); renewer != m_renewers.end())
        renewer->second.unansweredSince.reset();
    stored.incarnation = answer.incarnation;
    stored.sequence = answer.sequence;
    stored.lastGrant.clear();
    for (const auto &[server, ago] : answer.lastGrantAgo)
        stored.lastGrant[server] = now - ago;
}

void RenewerRegistry::clearAnswers()
{
    m_answers.clear();
}

Instant RenewerRegistry::freeAt(const ServiceName &service, std::uint64_t sequence,
                                const ServerName &server, Instant committedAt) const
{
    Instant lastGrant = committedAt - m_timings.hold;
    for (const auto &[host, renewer] : m_renewers) {
        const Answer *answer = currentAnswer(renewer, service, sequence);
        const bool hasAnswered = answer && answer->lastGrant.contains(server);
        const Instant unchangedUntil =
            std::min(committedAt, renewer.removedSince.value_or(committedAt));
        lastGrant = std::max(lastGrant,
                             hasAnswered ? answer->lastGrant.at(server)
                                         : unchangedUntil + m_timings.staleGrantPeriod());
    }
    return lastGrant + m_timings.maxHold();
}

std::vector<Renewer> RenewerRegistry::lost(Instant now) const
{
    std::vector<Renewer> silent;
    std::size_t known = 0;
    for (const auto &[host, renewer] : m_renewers) {
        if (renewer.removedSince)
            continue;
        ++known;
        if (renewer.unansweredSince && now - *renewer.unansweredSince >= lostTimeout)
            silent.push_back(renewer);
    }
    const bool areManySilent =
        silent.size() >= massSilenceMinCount && silent.size() * massSilenceDivisor > known;
    if (areManySilent) {
        std::erase_if(silent, [now](const Renewer &renewer) {
            return now - *renewer.unansweredSince < massLostTimeout;
        });
    }
    return silent;
}

bool RenewerRegistry::isBehind(const HostName &host, const ServiceName &service,
                               std::uint64_t sequence) const
{
    const auto answer = m_answers.find({host, service});
    return answer != m_answers.end() && answer->second.sequence < sequence;
}

void RenewerRegistry::removeExpired(Instant now)
{
    const Duration maxEffect = m_timings.staleGrantPeriod() + m_timings.maxHold();
    std::erase_if(m_renewers, [&](const auto &entry) {
        return entry.second.removedSince && now - *entry.second.removedSince > maxEffect;
    });
}

/** \returns the last answer of this run of \a renewer if it is based on \a sequence or later. */
const RenewerRegistry::Answer *RenewerRegistry::currentAnswer(const Renewer &renewer,
                                                              const ServiceName &service,
                                                              std::uint64_t sequence) const
{
    const auto answer = m_answers.find({renewer.host, service});
    if (answer == m_answers.end() || answer->second.incarnation != renewer.row.incarnation
        || answer->second.sequence < sequence)
        return nullptr;
    return &answer->second;
}

} // namespace bulrush

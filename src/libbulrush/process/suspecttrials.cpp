#include "process/suspecttrials.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace bulrush {

namespace {

std::uint64_t weightOf(const HostName &host, const RequestFingerprint &request)
{
    const std::string name = host.value() + '/' + request.toString();
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

SuspectTrials::SuspectTrials(HostName self)
    : m_self(std::move(self))
{ }

bool SuspectTrials::setDaemons(std::vector<HostName> daemons)
{
    if (m_daemons == daemons)
        return false;
    m_daemons = std::move(daemons);
    return true;
}

std::set<RequestFingerprint> SuspectTrials::leftToOthers(const Quarantine::Suspects &suspects,
                                                         Instant now)
{
    std::erase_if(m_trials, [&](const auto &trial) { return !suspects.contains(trial.first); });
    std::set<RequestFingerprint> left;
    m_endAt = Instant::max();
    for (const auto &[request, suspect] : suspects) {
        Trial &trial = m_trials[request];
        if (suspect.servers.size() > trial.ended)
            trial.until = now + span;
        trial.ended = suspect.servers.size();
        if (now >= trial.until)
            continue;
        m_endAt = std::min(m_endAt, trial.until);
        if (!isOwn(request))
            left.insert(request);
    }
    return left;
}

bool SuspectTrials::isEndDue(Instant now) const
{
    return now >= m_endAt;
}

/** \returns whether this daemon is the one that tries \a request. */
bool SuspectTrials::isOwn(const RequestFingerprint &request) const
{
    const std::uint64_t own = weightOf(m_self, request);
    return std::ranges::none_of(m_daemons, [&](const HostName &host) {
        return host != m_self && weightOf(host, request) > own;
    });
}

} // namespace bulrush

#include "process/suspectprobes.h"

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

SuspectProbes::SuspectProbes(HostName self)
    : m_self(std::move(self))
{ }

bool SuspectProbes::setDaemons(std::vector<HostName> daemons)
{
    if (m_daemons == daemons)
        return false;
    m_daemons = std::move(daemons);
    return true;
}

std::set<RequestFingerprint> SuspectProbes::probedElsewhere(const Quarantine::Suspects &suspects,
                                                            Instant now)
{
    std::erase_if(m_probes, [&](const auto &probe) { return !suspects.contains(probe.first); });
    std::set<RequestFingerprint> elsewhere;
    m_nextExpiry = Instant::max();
    for (const auto &[request, suspect] : suspects) {
        Probe &probe = m_probes[request];
        if (suspect.servers.size() > probe.crashCount)
            probe.endsAt = now + probePeriod;
        probe.crashCount = suspect.servers.size();
        if (now >= probe.endsAt)
            continue;
        m_nextExpiry = std::min(m_nextExpiry, probe.endsAt);
        if (!isProbedHere(request))
            elsewhere.insert(request);
    }
    return elsewhere;
}

bool SuspectProbes::hasExpiredProbe(Instant now) const
{
    return now >= m_nextExpiry;
}

/** \returns whether this daemon is the one that probes \a request. */
bool SuspectProbes::isProbedHere(const RequestFingerprint &request) const
{
    const std::uint64_t own = weightOf(m_self, request);
    return std::ranges::none_of(m_daemons, [&](const HostName &host) {
        return host != m_self && weightOf(host, request) > own;
    });
}

} // namespace bulrush

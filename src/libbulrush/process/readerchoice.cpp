#include "process/readerchoice.h"

#include <algorithm>
#include <utility>

namespace bulrush {

ReaderChoice::ReaderChoice(HostName self, DomainName domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
{ }

void ReaderChoice::setDaemons(std::span<const Renewer> daemons)
{
    m_candidates.clear();
    for (const Renewer &daemon : daemons) {
        if (!daemon.goneSince && daemon.row.domain == m_domain)
            m_candidates.push_back({daemon.host, daemon.row.address, daemon.version});
    }
    std::ranges::sort(m_candidates, {}, &RowsReader::version);
}

void ReaderChoice::failed(const HostName &host, Instant now)
{
    Failures &failures = m_failures[host];
    failures.last = now;
    ++failures.count;
}

void ReaderChoice::served(const HostName &host)
{
    m_failures.erase(host);
}

std::optional<RowsReader> ReaderChoice::reader(Instant now) const
{
    // Without a row of its own it is not known to the others, and chooses for itself alone.
    if (std::ranges::find(m_candidates, m_self, &RowsReader::host) == m_candidates.end())
        return std::nullopt;
    const auto chosen = std::ranges::find_if(m_candidates, [&](const RowsReader &candidate) {
        return candidate.host == m_self || !isSuspected(candidate.host, now);
    });
    return chosen->host == m_self ? std::nullopt : std::optional{*chosen};
}

bool ReaderChoice::isSuspected(const HostName &host, Instant now) const
{
    const auto failures = m_failures.find(host);
    if (failures == m_failures.end())
        return false;
    constexpr int mostDoublings = 4;
    const int doublings = std::min(failures->second.count - 1, mostDoublings);
    const Duration span = std::min(suspicion * (1 << doublings), longestSuspicion);
    return now - failures->second.last < span;
}

} // namespace bulrush

#include "observer.h"

#include <algorithm>
#include <optional>

using bulrush::Duration;
using bulrush::Instant;
using bulrush::KeyHash;

void OwnershipObserver::record(const AcceptedWork &work)
{
    m_work[work.key].emplace(work.start, work);
}

std::vector<WorkOverlap> OwnershipObserver::overlaps() const
{
    std::vector<WorkOverlap> found;
    for (const auto &[key, byStart] : m_work) {
        // Of each server, only the request that ends last can overlap with later requests.
        std::map<bulrush::ServerName, AcceptedWork> lastEnds;
        for (const auto &[start, work] : byStart) {
            for (const auto &[server, earlier] : lastEnds) {
                if (server != work.server && earlier.end > work.start)
                    found.push_back({earlier, work});
            }
            const auto [place, isNew] = lastEnds.try_emplace(work.server, work);
            if (!isNew && place->second.end < work.end)
                place->second = work;
        }
    }
    return found;
}

std::size_t OwnershipObserver::workCount() const
{
    std::size_t count = 0;
    for (const auto &[key, byStart] : m_work)
        count += byStart.size();
    return count;
}

Duration OwnershipObserver::longestGap(KeyHash key, Instant from, Instant until) const
{
    const auto found = m_work.find(key);
    if (found == m_work.end())
        return until - from;

    Duration longest{0};
    Instant last = from;
    for (const auto &[start, work] : found->second) {
        if (start < from || start > until)
            continue;
        longest = std::max(longest, start - last);
        last = start;
    }
    return std::max(longest, until - last);
}

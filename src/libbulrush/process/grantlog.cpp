#include "process/grantlog.h"

#include <algorithm>

namespace bulrush {

GrantLog::GrantLog(Instant start, Duration maxCallDuration)
    : m_start(start)
    , m_maxCallDuration(maxCallDuration)
{ }

void GrantLog::recordSent(const ServerName &server, Instant now)
{
    m_entries[server].sentAt = now;
}

void GrantLog::recordResult(const ServerName &server, bool mayHaveArrived, Instant now)
{
    Entry &entry = m_entries[server];
    // The connection was reset in time even if this daemon was frozen and gets the result late.
    if (mayHaveArrived && entry.sentAt)
        entry.arrivedBy = std::min(now, *entry.sentAt + m_maxCallDuration);
    entry.sentAt.reset();
}

Duration GrantLog::lastAgo(const ServerName &server, Instant now) const
{
    Instant last = m_start;
    if (const auto found = m_entries.find(server); found != m_entries.end()) {
        const Entry &entry = found->second;
        last = std::max(last, entry.arrivedBy.value_or(last));
        if (entry.sentAt)
            last = std::max(last, *entry.sentAt + m_maxCallDuration);
    }
    return now - last;
}

} // namespace bulrush

#include "process/grantlog.h"

#include <algorithm>

namespace bulrush {

GrantLog::GrantLog(Instant start, Duration longestCall)
    : m_start(start)
    , m_longestCall(longestCall)
{ }

void GrantLog::sent(const ServerName &server, Instant now)
{
    m_entries[server].sentAt = now;
}

void GrantLog::ended(const ServerName &server, bool canHaveCome, Instant now)
{
    Entry &entry = m_entries[server];
    // Its connection was reset in time also where this daemon was frozen and hears of it late.
    if (canHaveCome && entry.sentAt)
        entry.came = std::min(now, *entry.sentAt + m_longestCall);
    entry.sentAt.reset();
}

Duration GrantLog::lastAgo(const ServerName &server, Instant now) const
{
    Instant last = m_start;
    if (const auto found = m_entries.find(server); found != m_entries.end()) {
        const Entry &entry = found->second;
        last = std::max(last, entry.came.value_or(last));
        if (entry.sentAt)
            last = std::max(last, *entry.sentAt + m_longestCall);
    }
    return now - last;
}

} // namespace bulrush

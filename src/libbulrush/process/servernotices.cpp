#include "process/servernotices.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bulrush {

void ServerNotices::recordBackoff(const ServerName &server, Duration asked, Instant now)
{
    ServerNotice &notice = m_notices[server];
    notice.backoffUntil = std::max(notice.backoffUntil, now + asked);
    notice.backoffAskedAt = now;
    notice.backoffAsked = asked;
    ++notice.backoffCount;
}

bool ServerNotices::recordLeaving(const ServerName &server, Instant now)
{
    ServerNotice &notice = m_notices[server];
    if (notice.leavingSince)
        return false;
    notice.leavingSince = now;
    return true;
}

bool ServerNotices::endBackoff(const ServerName &server, Instant now)
{
    const auto notice = m_notices.find(server);
    if (notice == m_notices.end() || !notice->second.isBackingOff(now))
        return false;
    notice->second.backoffUntil = now;
    return true;
}

const ServerNotice *ServerNotices::find(const ServerName &server) const
{
    const auto notice = m_notices.find(server);
    return notice == m_notices.end() ? nullptr : &notice->second;
}

bool ServerNotices::isBackingOff(const ServerName &server, Instant now) const
{
    const ServerNotice *notice = find(server);
    return notice && notice->isBackingOff(now);
}

Duration ServerNotices::backoffLeft(const ServerName &server, Instant now) const
{
    const ServerNotice *notice = find(server);
    return notice ? std::max(Duration::zero(), notice->backoffUntil - now) : Duration::zero();
}

std::optional<Instant> ServerNotices::leavingSince(const ServerName &server) const
{
    const ServerNotice *notice = find(server);
    return notice ? notice->leavingSince : std::nullopt;
}

void ServerNotices::removeUnlisted(const std::function<bool(const ServerName &)> &isListed,
                                   Instant now)
{
    std::erase_if(m_notices, [&](const auto &entry) {
        if (isListed(entry.first)) {
            m_unlistedSince.erase(entry.first);
            return false;
        }
        const Instant since = m_unlistedSince.try_emplace(entry.first, now).first->second;
        return now - since > unlistedRetention;
    });
    std::erase_if(m_unlistedSince,
                  [this](const auto &entry) { return !m_notices.contains(entry.first); });
}

Duration returnDelay(const HostName &host, const ServerName &server, Duration asked,
                     Duration allHandledIn)
{
    constexpr std::int64_t steps = 1000;
    const std::string name = host.value() + '/' + server.value();
    const auto step = static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size()) % steps);
    return std::min(asked / 2, allHandledIn) * step / steps;
}

} // namespace bulrush

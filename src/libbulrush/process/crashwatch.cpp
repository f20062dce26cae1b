#include "process/crashwatch.h"

#include <algorithm>

namespace bulrush {

std::optional<CrashReport> CrashWatch::lost(const CrashReport &report, Loss loss, Instant now)
{
    if (m_ended.contains(report.server))
        return report;
    std::vector<Entry> &entries = m_entries[report.server];
    if (entries.size() >= mostOfServer)
        entries.erase(entries.begin());
    entries.push_back({report, loss, now});
    return std::nullopt;
}

std::vector<CrashReport> CrashWatch::serverEnded(const ServerName &server, Instant now)
{
    m_ended[server] = now;
    m_lookedAt.erase(server);
    std::vector<CrashReport> reports;
    const auto place = m_entries.find(server);
    if (place == m_entries.end())
        return reports;
    for (const Entry &entry : place->second) {
        if (now - entry.since > memory)
            continue;
        const auto known = std::ranges::find(reports, entry.report.request, &CrashReport::request);
        if (known == reports.end())
            reports.push_back(entry.report);
        else if (known->after.size() < entry.report.after.size())
            known->after = entry.report.after;
    }
    m_entries.erase(place);
    return reports;
}

void CrashWatch::serverAnswered(const ServerName &server)
{
    m_ended.erase(server);
}

bool CrashWatch::takeLook(const ServerName &server, Instant now)
{
    const auto entries = m_entries.find(server);
    if (entries == m_entries.end() || entries->second.empty())
        return false;
    const auto [looked, isFirst] = m_lookedAt.try_emplace(server, now);
    if (!isFirst && now - looked->second < lookAgain)
        return false;
    looked->second = now;
    return true;
}

std::vector<ServerName> CrashWatch::doubted() const
{
    std::vector<ServerName> servers;
    for (const auto &[server, entries] : m_entries) {
        if (std::ranges::find(entries, Loss::Broke, &Entry::loss) != entries.end())
            servers.push_back(server);
    }
    return servers;
}

void CrashWatch::forget(Instant now)
{
    for (auto &[server, entries] : m_entries)
        std::erase_if(entries, [now](const Entry &entry) { return now - entry.since > memory; });
    std::erase_if(m_entries, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(m_lookedAt,
                  [this](const auto &entry) { return !m_entries.contains(entry.first); });
    std::erase_if(m_ended, [now](const auto &entry) { return now - entry.second > endMemory; });
}

} // namespace bulrush

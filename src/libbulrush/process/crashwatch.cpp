#include "process/crashwatch.h"

#include <algorithm>

namespace bulrush {

namespace {

constexpr int firstServerError = 500;
constexpr int gatewayTimeout = 504;

} // namespace

std::optional<CrashReport> CrashWatch::lost(const CrashReport &report, Loss loss, Instant now)
{
    if (m_crashedAt.contains(report.server))
        return report;
    std::vector<Entry> &entries = m_entries[report.server];
    if (entries.size() >= maxRequestsPerServer)
        entries.erase(entries.begin());
    entries.push_back({report, loss, now});
    return std::nullopt;
}

bool CrashWatch::answered(const CrashReport &report, int status, Instant now)
{
    serverAnswered(report.server);
    if (status == gatewayTimeout)
        lost(report, Loss::Abandoned, now);
    return status < firstServerError;
}

std::vector<CrashReport> CrashWatch::serverEnded(const ServerName &server, Instant now)
{
    m_crashedAt[server] = now;
    m_checkedAt.erase(server);
    std::vector<CrashReport> reports;
    const auto found = m_entries.find(server);
    if (found == m_entries.end())
        return reports;
    for (const Entry &entry : found->second) {
        if (now - entry.since > requestRetention)
            continue;
        const auto known = std::ranges::find(reports, entry.report.request, &CrashReport::request);
        if (known == reports.end())
            reports.push_back(entry.report);
        else if (known->after.size() < entry.report.after.size())
            known->after = entry.report.after;
    }
    m_entries.erase(found);
    return reports;
}

void CrashWatch::serverReached(const ServerName &server)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end())
        return;
    for (Entry &entry : found->second) {
        if (entry.loss == Loss::Full)
            entry.loss = Loss::Abandoned;
    }
}

bool CrashWatch::hasRequestsAt(const ServerName &server) const
{
    return m_entries.contains(server);
}

void CrashWatch::serverAnswered(const ServerName &server)
{
    m_crashedAt.erase(server);
}

bool CrashWatch::startLivenessCheck(const ServerName &server, Instant now)
{
    const auto entries = m_entries.find(server);
    if (entries == m_entries.end() || entries->second.empty())
        return false;
    const auto [checked, isFirst] = m_checkedAt.try_emplace(server, now);
    if (!isFirst && now - checked->second < livenessCheckInterval)
        return false;
    checked->second = now;
    return true;
}

std::vector<ServerName> CrashWatch::suspectedServers() const
{
    std::vector<ServerName> servers;
    for (const auto &[server, entries] : m_entries) {
        if (std::ranges::any_of(entries,
                                [](const Entry &entry) { return entry.loss != Loss::Abandoned; }))
            servers.push_back(server);
    }
    return servers;
}

void CrashWatch::forget(Instant now)
{
    for (auto &[server, entries] : m_entries)
        std::erase_if(entries,
                      [now](const Entry &entry) { return now - entry.since > requestRetention; });
    std::erase_if(m_entries, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(m_checkedAt,
                  [this](const auto &entry) { return !m_entries.contains(entry.first); });
    std::erase_if(m_crashedAt,
                  [now](const auto &entry) { return now - entry.second > crashRetention; });
}

} // namespace bulrush

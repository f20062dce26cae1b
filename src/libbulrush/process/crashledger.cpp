#include "process/crashledger.h"

#include <xxhash.h>

#include <algorithm>

namespace bulrush {

CrashLedger::CrashLedger(const HostName &self)
    : m_self(self)
    , m_pause(firstPause, longestPause, self.value())
    , m_trials(self)
{ }

void CrashLedger::reported(std::span<const CrashReport> reports, Instant now)
{
    suspects();
    for (const CrashReport &report : reports) {
        const bool isKnown = std::ranges::any_of(m_reports, [&report](const OwnReport &own) {
            return own.report.request == report.request && own.report.server == report.server;
        });
        if (isKnown || m_retracted.contains({report.request, report.server}))
            continue;
        if (m_reports.size() >= mostReports) {
            // One that came again is worth more than one that was there once.
            const auto single = std::ranges::find_if(
                m_reports, [](const OwnReport &own) { return own.report.after.empty(); });
            m_reports.erase(single == m_reports.end() ? m_reports.begin() : single);
        }
        m_reports.push_back({report, now});
        m_isUntold = true;
        changedHere();
    }
}

void CrashLedger::answered(const RequestFingerprint &request, Instant now)
{
    if (retractSuspect(request) && endsToOthers(request) >= tellingCrashes)
        m_tellAt.try_emplace(request, tellAt(request, now));
}

bool CrashLedger::lift(const RequestFingerprint &request)
{
    const bool isKnown = retractSuspect(request);
    m_isUntold = m_isUntold || isKnown;
    return isKnown;
}

/** Takes back all that counts against \a request. \returns whether there was anything. */
bool CrashLedger::retractSuspect(const RequestFingerprint &request)
{
    const auto suspect = suspects().find(request);
    if (suspect == m_suspects.end())
        return false;
    retract(request, suspect->second.servers);
    return true;
}

void CrashLedger::retract(const RequestFingerprint &request, const std::vector<ServerName> &servers)
{
    auto place = std::ranges::find(m_retractions, request, &CrashRetraction::request);
    if (place == m_retractions.end()) {
        if (m_retractions.size() >= mostRetractions)
            m_retractions.erase(m_retractions.begin());
        place = m_retractions.insert(m_retractions.end(), {request, {}});
    }
    for (const ServerName &server : servers) {
        if (std::ranges::find(place->servers, server) == place->servers.end())
            place->servers.push_back(server);
    }
    changedHere();
}

void CrashLedger::rowSeen(const HostName &host, std::uint64_t version, std::optional<CrashRow> row,
                          Instant now)
{
    if (host == m_self) {
        ownRowSeen(version, row, now);
        return;
    }
    const auto place = m_others.find(host);
    if (!row) {
        if (place == m_others.end())
            return;
        m_others.erase(place);
    } else if (place == m_others.end() || place->second.version < version) {
        m_others[host] = {version, std::move(*row), now};
    } else {
        return;
    }
    changedHere();
}

void CrashLedger::ownRowSeen(std::uint64_t version, const std::optional<CrashRow> &row, Instant now)
{
    if (version < m_ownVersion)
        return; // as it was before the last write
    m_ownVersion = row ? version : 0;
    if (!row || std::exchange(m_hasOwnRow, true))
        return;
    // What an earlier run of this daemon saw still holds, and others know of it.
    const bool wasUntold = m_isUntold;
    reported(row->reports, now);
    for (const CrashRetraction &retraction : row->retractions)
        retract(retraction.request, retraction.servers);
    m_isUntold = wasUntold;
}

void CrashLedger::setDaemons(std::vector<HostName> daemons)
{
    if (m_trials.setDaemons(std::move(daemons)) && !suspects().empty())
        m_isChanged = true;
}

void CrashLedger::rowsSeen()
{
    m_hasRows = true;
}

std::vector<HostName> CrashLedger::hosts() const
{
    std::vector<HostName> known;
    for (const auto &[host, row] : m_others)
        known.push_back(host);
    return known;
}

std::optional<CrashRowWrite> CrashLedger::dueWrite(Instant now)
{
    forgetOld(now);
    m_isUntold = isTellingDue(now) || m_isUntold;
    if (!m_isUntold || m_isWriting || !m_hasRows || !m_pause.isOver(now))
        return std::nullopt;
    forgetNeedless();
    m_isWriting = true;
    m_isUntold = false;
    m_hasOwnRow = true;
    m_written = ownRow();
    return CrashRowWrite{m_ownVersion, m_written};
}

/** \returns whether an answer is to be told now, which nobody else has told meanwhile. */
bool CrashLedger::isTellingDue(Instant now)
{
    std::vector<RequestFingerprint> due;
    for (const auto &[request, at] : m_tellAt) {
        if (now >= at)
            due.push_back(request);
    }
    if (due.empty())
        return false;
    for (const RequestFingerprint &request : due)
        m_tellAt.erase(request);
    return std::ranges::any_of(due, [this](const RequestFingerprint &request) {
        return endsToOthers(request) >= tellingCrashes;
    });
}

/** \returns how many servers ended under \a request by all that daemons have told each other. */
std::size_t CrashLedger::endsToOthers(const RequestFingerprint &request) const
{
    Retracted told = retractedByOthers();
    addTo(told, m_written.retractions);
    std::set<ServerName> servers;
    for (const CrashReport *report : allReports()) {
        if (report->request == request && !told.contains({request, report->server}))
            servers.insert(report->server);
    }
    return servers.size();
}

void CrashLedger::written(RowWriteEnd end, std::uint64_t version, Instant now)
{
    m_isWriting = false;
    if (end == RowWriteEnd::Done) {
        m_ownVersion = version;
        m_pause.succeeded();
        return;
    }
    m_isUntold = true;
    m_pause.failed(now);
}

std::shared_ptr<const Quarantine> CrashLedger::changed(Instant now)
{
    if (!std::exchange(m_isChanged, false) && !m_trials.isEndDue(now))
        return nullptr;
    return std::make_shared<const Quarantine>(suspects(), m_trials.leftToOthers(suspects(), now));
}

void CrashLedger::forgetOld(Instant now)
{
    const auto forgotten =
        std::erase_if(m_reports, [now](const OwnReport &own) { return now - own.since > memory; });
    if (forgotten > 0) {
        m_isUntold = true;
        changedHere();
    }
    for (auto &[host, other] : m_others) {
        // Who is gone for good can't take its reports back.
        if (now - other.seenAt <= memory || other.row == CrashRow{})
            continue;
        other.row = {};
        changedHere();
    }
}

/** Leaves out own reports that an answer took back, and answers that nobody's report needs. */
void CrashLedger::forgetNeedless()
{
    suspects();
    std::erase_if(m_reports, [this](const OwnReport &own) {
        return m_retracted.contains({own.report.request, own.report.server});
    });
    std::erase_if(m_retractions, [this](const CrashRetraction &retraction) {
        return std::ranges::none_of(m_others, [&retraction](const auto &other) {
            const std::vector<CrashReport> &reports = other.second.row.reports;
            return std::ranges::find(reports, retraction.request, &CrashReport::request)
                != reports.end();
        });
    });
}

void CrashLedger::changedHere()
{
    m_isJudged = false;
    m_isChanged = true;
}

const CrashLedger::Suspects &CrashLedger::suspects()
{
    if (!std::exchange(m_isJudged, true))
        judge();
    return m_suspects;
}

void CrashLedger::judge()
{
    m_retracted = retractedByOthers();
    addTo(m_retracted, m_retractions);
    m_suspects.clear();
    std::vector<const CrashReport *> counted;
    for (const CrashReport *report : allReports()) {
        if (m_retracted.contains({report->request, report->server}))
            continue;
        counted.push_back(report);
        std::vector<ServerName> &servers = m_suspects[report->request].servers;
        if (std::ranges::find(servers, report->server) == servers.end())
            servers.push_back(report->server);
    }
    for (const CrashReport *report : counted) {
        SuspectRequest &suspect = m_suspects[report->request];
        suspect.isRepeated =
            suspect.isRepeated
            || std::ranges::any_of(report->after, [&suspect](const ServerName &earlier) {
                   return std::ranges::find(suspect.servers, earlier) != suspect.servers.end();
               });
    }
}

std::vector<const CrashReport *> CrashLedger::allReports() const
{
    std::vector<const CrashReport *> reports;
    for (const OwnReport &own : m_reports)
        reports.push_back(&own.report);
    for (const auto &[host, other] : m_others) {
        for (const CrashReport &report : other.row.reports)
            reports.push_back(&report);
    }
    return reports;
}

CrashLedger::Retracted CrashLedger::retractedByOthers() const
{
    Retracted retracted;
    for (const auto &[host, other] : m_others)
        addTo(retracted, other.row.retractions);
    return retracted;
}

void CrashLedger::addTo(Retracted &retracted, const std::vector<CrashRetraction> &retractions)
{
    for (const CrashRetraction &retraction : retractions) {
        for (const ServerName &server : retraction.servers)
            retracted.emplace(retraction.request, server);
    }
}

Instant CrashLedger::tellAt(const RequestFingerprint &request, Instant now) const
{
    constexpr std::uint64_t steps = 1000;
    const std::string name = m_self.value() + request.toString();
    const auto step = static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size()) % steps);
    return now + longestScatter * step / static_cast<std::int64_t>(steps);
}

CrashRow CrashLedger::ownRow() const
{
    CrashRow row{{}, m_retractions};
    for (const OwnReport &own : m_reports)
        row.reports.push_back(own.report);
    return row;
}

} // namespace bulrush

#include "process/crashregistry.h"

#include <xxhash.h>

#include <algorithm>

namespace bulrush {

namespace {

/** Adds to \a row the reports and retractions of \a known that it lacks. */
void addMissing(CrashRow &row, const CrashRow &known)
{
    for (const CrashReport &report : known.reports) {
        if (std::ranges::find(row.reports, report) == row.reports.end())
            row.reports.push_back(report);
    }
    for (const CrashRetraction &retraction : known.retractions) {
        if (std::ranges::find(row.retractions, retraction) == row.retractions.end())
            row.retractions.push_back(retraction);
    }
}

} // namespace

CrashRegistry::CrashRegistry(const HostName &self)
    : m_self(self)
    , m_pause(minWriteBackoff, maxWriteBackoff, self.value())
    , m_probes(self)
{ }

void CrashRegistry::reported(std::span<const CrashReport> reports, Instant now)
{
    suspects();
    for (const CrashReport &report : reports) {
        const bool isKnown = std::ranges::any_of(m_reports, [&report](const OwnReport &own) {
            return own.report.request == report.request && own.report.server == report.server;
        });
        if (isKnown || m_retracted.contains({report.request, report.server}))
            continue;
        if (m_reports.size() >= maxReports) {
            // Reports of repeated requests are more valuable than those of requests sent once.
            const auto single = std::ranges::find_if(
                m_reports, [](const OwnReport &own) { return own.report.after.empty(); });
            m_reports.erase(single == m_reports.end() ? m_reports.begin() : single);
        }
        m_reports.push_back({report, now});
        m_hasUnpublished = true;
        invalidate();
    }
}

void CrashRegistry::answered(const RequestFingerprint &request, Instant now)
{
    if (retractSuspect(request) && publishedCrashCount(request) >= answerPublishThreshold)
        m_publishAt.try_emplace(request, publicationTime(request, now));
}

bool CrashRegistry::lift(const RequestFingerprint &request)
{
    const bool isKnown = retractSuspect(request);
    m_hasUnpublished = m_hasUnpublished || isKnown;
    return isKnown;
}

/** Retracts all reports that count against \a request. \returns whether there were any. */
bool CrashRegistry::retractSuspect(const RequestFingerprint &request)
{
    const auto suspect = suspects().find(request);
    if (suspect == m_suspects.end())
        return false;
    retract(request, suspect->second.servers);
    return true;
}

void CrashRegistry::retract(const RequestFingerprint &request,
                            const std::vector<ServerName> &servers)
{
    auto found = std::ranges::find(m_retractions, request, &CrashRetraction::request);
    if (found == m_retractions.end()) {
        if (m_retractions.size() >= maxRetractions)
            m_retractions.erase(m_retractions.begin());
        found = m_retractions.insert(m_retractions.end(), {request, {}});
    }
    for (const ServerName &server : servers) {
        if (std::ranges::find(found->servers, server) == found->servers.end())
            found->servers.push_back(server);
    }
    invalidate();
}

void CrashRegistry::applyRow(const HostName &host, const StoreVersion &version,
                             std::optional<CrashRow> row, Instant now)
{
    if (host == m_self) {
        applyOwnRow(version, row, now);
        return;
    }
    const auto found = m_others.find(host);
    if (!row) {
        if (found == m_others.end())
            return;
        // The copy from which the store was restored may lack the row; its daemon writes it again.
        if (version.era > found->second.version.era)
            found->second.version = {version.era, 0};
        if (found->second.version.number == 0)
            return;
        m_others.erase(found);
    } else if (found != m_others.end() && version.era > found->second.version.era) {
        addMissing(*row, found->second.row);
        found->second = {version, std::move(*row), now};
    } else if (found == m_others.end() || found->second.version < version) {
        m_others[host] = {version, std::move(*row), now};
    } else {
        return;
    }
    invalidate();
}

void CrashRegistry::applyOwnRow(const StoreVersion &version, const std::optional<CrashRow> &row,
                                Instant now)
{
    if (version < m_ownVersion)
        return; // read before the last write
    // The copy from which the store was restored may lack what this daemon wrote.
    const bool isRestored = m_hasOwnRow && version.era > m_ownVersion.era;
    if (isRestored && (row ? *row : CrashRow{}) != m_written)
        m_hasUnpublished = true;
    m_ownVersion = {version.era, row ? version.number : 0};
    if (!row || std::exchange(m_hasOwnRow, true))
        return;
    // The reports of an earlier run of this daemon are still valid, and are already published.
    const bool hadUnpublished = m_hasUnpublished;
    reported(row->reports, now);
    for (const CrashRetraction &retraction : row->retractions)
        retract(retraction.request, retraction.servers);
    m_hasUnpublished = hadUnpublished;
}

void CrashRegistry::setDaemons(std::vector<HostName> daemons)
{
    if (m_probes.setDaemons(std::move(daemons)) && !suspects().empty())
        m_isChanged = true;
}

void CrashRegistry::markRowsComplete()
{
    m_hasRows = true;
}

std::vector<HostName> CrashRegistry::hosts() const
{
    std::vector<HostName> known;
    for (const auto &[host, row] : m_others)
        known.push_back(host);
    return known;
}

std::optional<CrashRowWrite> CrashRegistry::startDueWrite(Instant now)
{
    removeExpired(now);
    m_hasUnpublished = isPublicationDue(now) || m_hasUnpublished;
    if (!m_hasUnpublished || m_isWriting || !m_hasRows || !m_pause.isOver(now))
        return std::nullopt;
    removeRedundant();
    m_isWriting = true;
    m_hasUnpublished = false;
    m_hasOwnRow = true;
    m_written = ownRow();
    return CrashRowWrite{m_ownVersion.number, m_written};
}

/** \returns whether an answer is due for publication that no other daemon has published yet. */
bool CrashRegistry::isPublicationDue(Instant now)
{
    std::vector<RequestFingerprint> due;
    for (const auto &[request, at] : m_publishAt) {
        if (now >= at)
            due.push_back(request);
    }
    if (due.empty())
        return false;
    for (const RequestFingerprint &request : due)
        m_publishAt.erase(request);
    return std::ranges::any_of(due, [this](const RequestFingerprint &request) {
        return publishedCrashCount(request) >= answerPublishThreshold;
    });
}

/** \returns the number of servers that crashed under \a request according to the published rows. */
std::size_t CrashRegistry::publishedCrashCount(const RequestFingerprint &request) const
{
    Retracted published = retractedByOthers();
    addTo(published, m_written.retractions);
    std::set<ServerName> servers;
    for (const CrashReport *report : allReports()) {
        if (report->request == request && !published.contains({request, report->server}))
            servers.insert(report->server);
    }
    return servers.size();
}

void CrashRegistry::handleWriteResult(RowWriteResult end, const StoreVersion &version, Instant now)
{
    m_isWriting = false;
    // A restore of the store may have undone a write of an earlier era.
    if (end == RowWriteResult::Done && version.era >= m_ownVersion.era) {
        m_ownVersion = version;
        m_pause.succeeded();
        return;
    }
    m_hasUnpublished = true;
    m_pause.failed(now);
}

std::shared_ptr<const Quarantine> CrashRegistry::takeUpdate(Instant now)
{
    if (!std::exchange(m_isChanged, false) && !m_probes.hasExpiredProbe(now))
        return nullptr;
    return std::make_shared<const Quarantine>(suspects(),
                                              m_probes.probedElsewhere(suspects(), now));
}

void CrashRegistry::removeExpired(Instant now)
{
    const auto removedCount = std::erase_if(
        m_reports, [now](const OwnReport &own) { return now - own.since > reportRetention; });
    if (removedCount > 0) {
        m_hasUnpublished = true;
        invalidate();
    }
    for (auto &[host, other] : m_others) {
        // A daemon that was removed permanently cannot remove its reports itself.
        if (now - other.receivedAt <= reportRetention || other.row == CrashRow{})
            continue;
        other.row = {};
        invalidate();
    }
}

/** Removes own reports that were retracted, and retractions that match no other daemon's report. */
void CrashRegistry::removeRedundant()
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

void CrashRegistry::invalidate()
{
    m_isEvaluated = false;
    m_isChanged = true;
}

const CrashRegistry::Suspects &CrashRegistry::suspects()
{
    if (!std::exchange(m_isEvaluated, true))
        evaluate();
    return m_suspects;
}

void CrashRegistry::evaluate()
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

std::vector<const CrashReport *> CrashRegistry::allReports() const
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

CrashRegistry::Retracted CrashRegistry::retractedByOthers() const
{
    Retracted retracted;
    for (const auto &[host, other] : m_others)
        addTo(retracted, other.row.retractions);
    return retracted;
}

void CrashRegistry::addTo(Retracted &retracted, const std::vector<CrashRetraction> &retractions)
{
    for (const CrashRetraction &retraction : retractions) {
        for (const ServerName &server : retraction.servers)
            retracted.emplace(retraction.request, server);
    }
}

Instant CrashRegistry::publicationTime(const RequestFingerprint &request, Instant now) const
{
    constexpr std::uint64_t steps = 1000;
    const std::string name = m_self.value() + request.toString();
    const auto step = static_cast<std::int64_t>(XXH3_64bits(name.data(), name.size()) % steps);
    return now + maxPublishDelay * step / static_cast<std::int64_t>(steps);
}

CrashRow CrashRegistry::ownRow() const
{
    CrashRow row{{}, m_retractions};
    for (const OwnReport &own : m_reports)
        row.reports.push_back(own.report);
    return row;
}

} // namespace bulrush

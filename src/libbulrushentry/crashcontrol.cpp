#include "crashcontrol.h"

#include "platform/tables.h"
#include "process/hostclock.h"
#include "process/logging.h"
#include "rowwriteresults.h"
#include "version/crashrowcodec.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view crashPrefix = "crashes/";

std::string rowKey(const HostName &host)
{
    return std::string{crashPrefix} + host.value();
}

std::string joinNames(const std::vector<ServerName> &servers)
{
    std::string text;
    for (const ServerName &server : servers)
        text += (text.empty() ? "" : ",") + server.value();
    return text;
}

} // namespace

CrashControl::CrashControl(const FollowerDependencies &deps, const HostName &self,
                           QuarantineHandler publish)
    : m_store(deps.store)
    , m_plan(deps.plan)
    , m_self(self)
    , m_publish(std::move(publish))
    , m_crashes(self)
{ }

void CrashControl::applyRows(const TableChange &change)
{
    const Instant now = io::hostNow();
    for (const platform::StoreRow &row : change.rows) {
        if (row.key.starts_with(crashPrefix))
            applyRow(row, now);
    }
    if (change.isComplete)
        applyMissingRows(change, now);
    m_crashes.markRowsComplete();
    advance(now);
}

void CrashControl::applyRow(const platform::StoreRow &row, Instant now)
{
    std::optional<CrashRow> decoded;
    if (!row.isRemoved) {
        decoded = io::decodeCrashRow(row.value);
        if (!decoded)
            io::logEvent(LogLevel::Error, "crash-row-unreadable", {{"row", row.key}});
        // The row exists even if it can't be decoded; its version is needed to overwrite it.
        decoded = decoded.value_or(CrashRow{});
    }
    const HostName host{row.key.substr(crashPrefix.size())};
    m_crashes.applyRow(host, row.version, std::move(decoded), now);
}

void CrashControl::applyMissingRows(const TableChange &change, Instant now)
{
    std::vector<HostName> hosts = m_crashes.hosts();
    hosts.push_back(m_self);
    for (const HostName &host : hosts) {
        if (std::ranges::find(change.rows, rowKey(host), &platform::StoreRow::key)
            == change.rows.end())
            m_crashes.applyRow(host, change.version, std::nullopt, now);
    }
}

void CrashControl::setDaemons(std::vector<HostName> daemons)
{
    m_crashes.setDaemons(std::move(daemons));
}

void CrashControl::applyReports(const std::vector<CrashReport> &reports)
{
    const Instant now = io::hostNow();
    m_crashes.reported(reports, now);
    advance(now);
}

void CrashControl::recordAnswer(const RequestFingerprint &request)
{
    const Instant now = io::hostNow();
    m_crashes.answered(request, now);
    advance(now);
}

bool CrashControl::lift(const RequestFingerprint &request)
{
    const bool isLifted = m_crashes.lift(request);
    io::logEvent(LogLevel::Info, "quarantine-lifted",
                 {{"request", request.toString()}, {"known", isLifted ? "yes" : "no"}});
    advance(io::hostNow());
    return isLifted;
}

std::string CrashControl::page() const
{
    std::string text;
    for (const auto &[request, suspect] : m_quarantine->requests())
        text += request.toString() + (suspect.isBlocked() ? " blocked " : " suspect ")
            + joinNames(suspect.servers) + '\n';
    return text;
}

void CrashControl::advance(Instant now)
{
    // Refused calls are billed as well, so reports wait while the store refuses this daemon.
    if (!m_plan.isStoreFailing()) {
        if (const auto action = m_crashes.startDueWrite(now))
            write(*action);
    }
    if (auto next = m_crashes.takeUpdate(now)) {
        logBlockChanges(*next);
        m_quarantine = next;
        m_publish(std::move(next));
    }
}

void CrashControl::write(const CrashRowWrite &action)
{
    platform::StoreCommit commit{std::string{platform::ownershipTable}, {}};
    commit.writes.push_back(
        {rowKey(m_self), action.expectedVersion, io::encodeCrashRow(action.row)});
    m_store.commit(commit, [this](const platform::CommitOutcome &outcome) {
        if (outcome.error)
            io::logEvent(LogLevel::Warning, "crash-row-not-written",
                         {{"error", outcome.error.message()}});
        const Instant now = io::hostNow();
        m_crashes.handleWriteResult(rowWriteResultOf(outcome.error), outcome.version, now);
        advance(now);
    });
}

/** Logs requests that \a next blocks or unblocks. */
void CrashControl::logBlockChanges(const Quarantine &next) const
{
    for (const auto &[request, suspect] : next.requests()) {
        if (suspect.isBlocked() && !m_quarantine->blocks(request))
            io::logEvent(
                LogLevel::Warning, "request-blocked",
                {{"fingerprint", request.toString()}, {"servers", joinNames(suspect.servers)}});
    }
    for (const auto &[request, suspect] : m_quarantine->requests()) {
        if (suspect.isBlocked() && !next.blocks(request))
            io::logEvent(LogLevel::Info, "request-unblocked",
                         {{"fingerprint", request.toString()}});
    }
}

} // namespace bulrush

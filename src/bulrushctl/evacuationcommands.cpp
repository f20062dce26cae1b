#include "evacuationcommands.h"

#include "daemonaccess.h"
#include "texttable.h"
#include "version/evacuationreportcodec.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush::ctl {

namespace {

constexpr const char *evacuationsPath = "/evacuations";

/** What all daemons that answered know about an evacuated domain. */
struct DomainSummary
{
    Duration longestAge{};
    std::size_t daemons = 0;
    std::uint64_t keysLeft = 0;
    std::uint64_t inFlight = 0;
};

/** Adds what is left at the servers of \a domain according to \a report. */
void addUse(const EvacuationReport &report, const DomainName &domain, DomainSummary &summary)
{
    std::uint64_t keys = 0;
    for (const ServiceUse &service : report.services) {
        for (const DomainUse &use : service.domains) {
            if (use.domain != domain)
                continue;
            keys += use.keys;
            summary.inFlight += use.inFlight;
        }
    }
    // All daemons follow the same assignment; the one with the oldest may not know of moves yet.
    summary.keysLeft = std::max(summary.keysLeft, keys);
}

std::map<DomainName, DomainSummary> summaries(const std::vector<EvacuationReport> &reports)
{
    std::map<DomainName, DomainSummary> domains;
    for (const EvacuationReport &report : reports) {
        for (const EvacuatedDomain &evacuated : report.evacuated) {
            DomainSummary &summary = domains[evacuated.domain];
            summary.longestAge = std::max(summary.longestAge, evacuated.age);
            ++summary.daemons;
        }
    }
    for (auto &[domain, summary] : domains) {
        for (const EvacuationReport &report : reports)
            addUse(report, domain, summary);
    }
    return domains;
}

std::string_view verdictText(EvacuationVerdict verdict)
{
    switch (verdict) {
    case EvacuationVerdict::Fits:
        return "fits";
    case EvacuationVerdict::AboveCapacity:
        return "above the capacity left";
    case EvacuationVerdict::NoServers:
        break;
    }
    return "no servers left";
}

bool hasServers(const std::vector<EvacuationReport> &reports, const DomainName &domain)
{
    const auto isUsed = [&domain](const DomainUse &use) {
        return use.domain == domain && use.servers > 0;
    };
    return std::ranges::any_of(reports, [&](const EvacuationReport &report) {
        return std::ranges::any_of(report.services, [&](const ServiceUse &service) {
            return std::ranges::any_of(service.domains, isUsed);
        });
    });
}

} // namespace

EvacuationCommands::EvacuationCommands(const DaemonAccess &daemons, Console &console)
    : m_daemons(daemons)
    , m_console(console)
{ }

ExitCode EvacuationCommands::show()
{
    const bool isComplete = queryReports();
    if (m_reports.empty())
        return ExitCode::Unreachable;
    TextTable table{{"DOMAIN", "FOR", "KNOWN TO", "KEYS LEFT", "IN FLIGHT"}};
    for (const auto &[domain, summary] : summaries(m_reports)) {
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(summary.longestAge).count();
        table.addRow({domain.value(), std::to_string(seconds) + " s",
                      std::to_string(summary.daemons) + " of " + std::to_string(m_reports.size()),
                      std::to_string(summary.keysLeft), std::to_string(summary.inFlight)});
    }
    m_console.out << (table.isEmpty() ? "no domain is evacuated\n" : table.text());
    return isComplete ? ExitCode::Done : ExitCode::Unreachable;
}

ExitCode EvacuationCommands::check(const DomainName &domain)
{
    const bool isComplete = queryReports();
    if (m_reports.empty())
        return ExitCode::Unreachable;
    if (!hasServers(m_reports, domain)) {
        m_console.err << "no daemon knows a server in " << domain.value() << '\n';
        return ExitCode::Refused;
    }
    TextTable table{{"SERVICE", "SERVERS LEFT", "SLOTS LEFT", "IN FLIGHT NOW", "VERDICT"}};
    bool fits = true;
    for (const EvacuationImpact &impact : evacuationImpact(m_reports, domain)) {
        fits = fits && impact.verdict == EvacuationVerdict::Fits;
        table.addRow({impact.service.value(), std::to_string(impact.serversLeft),
                      std::to_string(impact.slotsLeft), std::to_string(impact.inFlight),
                      std::string{verdictText(impact.verdict)}});
    }
    m_console.out << table.text();
    if (!isComplete)
        return ExitCode::Unreachable;
    return fits ? ExitCode::Done : ExitCode::Refused;
}

/** Queries all daemons. \returns whether all have answered. */
bool EvacuationCommands::queryReports()
{
    m_reports.clear();
    bool isComplete = !m_daemons.endpoints().empty();
    if (!isComplete)
        m_console.err << "no daemons are known: give --daemon\n";
    for (const DaemonAnswer &answer : m_daemons.queryAll(evacuationsPath)) {
        auto report = answer.error ? std::nullopt : io::decodeEvacuationReport(answer.json);
        if (report) {
            m_reports.push_back(std::move(*report));
            continue;
        }
        isComplete = false;
        m_console.err << toString(answer.endpoint) << ": "
                      << (answer.error ? answer.cause : "its answer is no report on evacuations")
                      << '\n';
    }
    return isComplete;
}

} // namespace bulrush::ctl

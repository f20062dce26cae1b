#include "evacuationcommands.h"

#include "daemonaccess.h"
#include "jsontext.h"
#include "process/jsonreader.h"
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

using DomainSummaries = std::map<DomainName, DomainSummary>;

DomainSummaries summaries(const std::vector<EvacuationReport> &reports)
{
    DomainSummaries domains;
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

std::string summariesText(const DomainSummaries &domains, std::size_t daemonCount)
{
    TextTable table{{"DOMAIN", "FOR", "KNOWN TO", "KEYS LEFT", "IN FLIGHT"}};
    for (const auto &[domain, summary] : domains) {
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(summary.longestAge).count();
        table.addRow({domain.value(), std::to_string(seconds) + " s",
                      std::to_string(summary.daemons) + " of " + std::to_string(daemonCount),
                      std::to_string(summary.keysLeft), std::to_string(summary.inFlight)});
    }
    return table.isEmpty() ? "no domain is evacuated\n" : table.text();
}

Json::Value summariesJson(const DomainSummaries &domains, std::size_t daemonCount)
{
    Json::Value json{Json::objectValue};
    json["daemons"] = io::jsonOf(std::uint64_t{daemonCount});
    json["evacuated"] = Json::Value{Json::arrayValue};
    for (const auto &[domain, summary] : domains) {
        Json::Value entry{Json::objectValue};
        entry["domain"] = domain.value();
        entry["age"] = io::jsonOf(summary.longestAge);
        entry["knownTo"] = io::jsonOf(std::uint64_t{summary.daemons});
        entry["keysLeft"] = io::jsonOf(summary.keysLeft);
        entry["inFlight"] = io::jsonOf(summary.inFlight);
        json["evacuated"].append(std::move(entry));
    }
    return json;
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

std::string impactText(const std::vector<EvacuationImpact> &impacts)
{
    TextTable table{{"SERVICE", "SERVERS LEFT", "SLOTS LEFT", "IN FLIGHT NOW", "VERDICT"}};
    for (const EvacuationImpact &impact : impacts)
        table.addRow({impact.service.value(), std::to_string(impact.serversLeft),
                      std::to_string(impact.slotsLeft), std::to_string(impact.inFlight),
                      std::string{verdictText(impact.verdict)}});
    return table.text();
}

Json::Value impactJson(const std::vector<EvacuationImpact> &impacts)
{
    Json::Value json{Json::objectValue};
    json["services"] = Json::Value{Json::arrayValue};
    for (const EvacuationImpact &impact : impacts) {
        Json::Value entry{Json::objectValue};
        entry["service"] = impact.service.value();
        entry["serversLeft"] = io::jsonOf(impact.serversLeft);
        entry["slotsLeft"] = io::jsonOf(impact.slotsLeft);
        entry["inFlight"] = io::jsonOf(impact.inFlight);
        entry["verdict"] = std::string{verdictText(impact.verdict)};
        json["services"].append(std::move(entry));
    }
    return json;
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
    const DomainSummaries domains = summaries(m_reports);
    m_console.out << (m_console.isJson() ? indentedText(summariesJson(domains, m_reports.size()))
                                         : summariesText(domains, m_reports.size()));
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
    const std::vector<EvacuationImpact> impacts = evacuationImpact(m_reports, domain);
    m_console.out << (m_console.isJson() ? indentedText(impactJson(impacts)) : impactText(impacts));
    if (!isComplete)
        return ExitCode::Unreachable;
    const bool fits = std::ranges::all_of(impacts, [](const EvacuationImpact &impact) {
        return impact.verdict == EvacuationVerdict::Fits;
    });
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

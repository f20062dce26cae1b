#include "operatorcommands.h"

#include "daemonaccess.h"
#include "departurereport.h"
#include "fleetsummary.h"
#include "jsontext.h"
#include "process/hostclock.h"
#include "process/stewardcodec.h"
#include "rowchange.h"
#include "texttable.h"
#include "version/assignmentcodec.h"
#include "version/burnreport.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <set>
#include <thread>

namespace bulrush::ctl {

namespace {

using namespace std::chrono_literals;

constexpr Duration pollInterval = 300ms;
constexpr const char *departureTable = "departure";
constexpr const char *leaderTable = "steward";
constexpr const char *requestIdField = "requestId";
/** The field of a leader row, as written by io::encodeLeaderRow(), with the id of its write. */
constexpr const char *leaderWriteIdField = "writeId";

std::string hostsText(const HostsResult &hosts,
                      const std::map<std::string, std::string> &departures)
{
    TextTable table{{"HOST", "DOMAIN", "KIND", "STATE", "ADDRESS", "DEPARTURE PLANNED BY"}};
    for (const ListedHost &host : hosts.hosts) {
        const auto departure = departures.find(host.name);
        table.addRow({host.name, host.domain, host.kind, host.state, host.address,
                      departure == departures.end() ? "" : departure->second});
    }
    return table.text() + "as of " + std::to_string(hosts.ageMs) + " ms ago; the list lags\n";
}

Json::Value hostsJson(const HostsResult &hosts,
                      const std::map<std::string, std::string> &departures)
{
    Json::Value json{Json::objectValue};
    json["ageMs"] = Json::UInt64{hosts.ageMs};
    json["hosts"] = Json::Value{Json::arrayValue};
    for (const ListedHost &host : hosts.hosts) {
        Json::Value entry{Json::objectValue};
        entry["name"] = host.name;
        entry["domain"] = host.domain;
        entry["kind"] = host.kind;
        entry["state"] = host.state;
        entry["address"] = host.address;
        const auto departure = departures.find(host.name);
        if (departure != departures.end())
            entry["departurePlannedBy"] = departure->second;
        json["hosts"].append(std::move(entry));
    }
    return json;
}

std::string fenceText(const Fence &fence)
{
    return std::to_string(fence.epoch) + "." + std::to_string(fence.sequence);
}

std::string assignmentText(const Assignment &assignment)
{
    TextTable table{{"SERVICE", "BEGIN", "END", "SERVER", "FENCE"}};
    for (const SliceOwner &slice : assignment.slices)
        table.addRow({slice.service.value(), io::hashToHex(slice.range.begin),
                      io::hashToHex(slice.range.end), slice.server.value(),
                      fenceText(slice.fence)});
    return assignment.domain.value() + " version " + fenceText(assignment.version) + ", "
        + std::to_string(assignment.slices.size()) + " slices\n" + table.text();
}

/** \returns the hosts that answered, and their peers that are not in state "gone". */
std::vector<HostName> expectedHosts(const FleetStatus &fleet)
{
    std::set<HostName> hosts;
    for (const DaemonStatus &daemon : fleet.daemons) {
        hosts.insert(daemon.host);
        for (const PeerView &peer : daemon.peers) {
            if (peer.state != "gone")
                hosts.insert(peer.host);
        }
    }
    return {hosts.begin(), hosts.end()};
}

std::string currentTimeText()
{
    const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(now));
}

std::string burnText(const BurnReport &report, BurnFormat format)
{
    switch (format) {
    case BurnFormat::Json:
        return io::burnJson(report);
    case BurnFormat::Csv:
        return io::burnCsv(report);
    case BurnFormat::Html:
        return io::burnHtml(report, currentTimeText());
    case BurnFormat::Table:
        break;
    }
    return io::burnTable(report);
}

} // namespace

OperatorCommands::OperatorCommands(PlatformTable &table, const DaemonAccess &daemons,
                                   Console &console, CommandContext context)
    : m_table(table)
    , m_daemons(daemons)
    , m_console(console)
    , m_context(std::move(context))
{ }

ExitCode OperatorCommands::listHosts()
{
    const HostsResult hosts = m_table.hosts();
    if (hosts.error)
        return fail(hosts.error, hosts.cause);
    const RowsResult rows = m_table.scan(departureTable, {});
    if (rows.error)
        return fail(rows.error, rows.cause);

    std::map<std::string, std::string> departures;
    for (const TableRow &row : rows.rows)
        departures.emplace(row.id.key, stringIn(row.value, "changedBy"));
    m_console.out << (m_console.isJson() ? indentedText(hostsJson(hosts, departures))
                                         : hostsText(hosts, departures));
    return ExitCode::Done;
}

ExitCode OperatorCommands::leave(const HostName &host, const LeaveOptions &options)
{
    ExitCode failure = ExitCode::Done;
    if (!options.isUnlistedAllowed && !isListed(host, failure))
        return failure;

    const ExitCode planned = planDeparture(host);
    if (planned != ExitCode::Done || !options.waitTimeout)
        return planned;
    return waitUntilDeparted(host, *options.waitTimeout);
}

ExitCode OperatorCommands::planDeparture(const HostName &host)
{
    const RowsResult rows = m_table.read({{departureTable, host.value()}});
    if (rows.error)
        return fail(rows.error, rows.cause);
    const TableRow &before = rows.rows.front();
    if (before.version != 0) {
        m_console.out << "already planned by " << stringIn(before.value, "changedBy") << ": "
                      << host.value() << " leaves\n";
        return ExitCode::Done;
    }

    Json::Value value{Json::objectValue};
    value["host"] = host.value();
    value["changedBy"] = m_context.changedBy;
    value[requestIdField] = m_context.requestId;
    const CommitResult result =
        changeRow(m_table, {before, value, requestIdField, m_context.writer}, m_context.policy);
    return report(result, "planned: " + host.value() + " leaves");
}

ExitCode OperatorCommands::waitUntilDeparted(const HostName &host, Duration waitTimeout)
{
    const Instant end = io::hostNow() + waitTimeout;
    std::string lastText;
    while (true) {
        const DepartureReport report = departureReport(m_daemons.status(), host);
        const std::string text = toText(report);
        if (text != lastText)
            m_console.out << text << std::flush;
        if (report.stage == DepartureStage::Departed)
            return ExitCode::Done;
        if (io::hostNow() >= end)
            return ExitCode::Unreachable;
        lastText = text;
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode OperatorCommands::showAssignment(const DomainName &domain)
{
    std::optional<Assignment> latest;
    for (const DaemonAnswer &answer : m_daemons.queryAll("/assignment?domain=" + domain.value())) {
        auto assignment = answer.error ? std::nullopt : io::decodeAssignment(answer.json);
        if (assignment && (!latest || latest->version < assignment->version))
            latest = std::move(assignment);
    }
    if (!latest)
        return fail(make_error_code(CtlError::Unreachable),
                    "none of " + std::to_string(m_daemons.endpoints().size())
                        + " daemons showed an assignment of " + domain.value());

    m_console.out << (m_console.isJson() ? indentedText(io::encodeAssignment(*latest))
                                         : assignmentText(*latest));
    return ExitCode::Done;
}

ExitCode OperatorCommands::status()
{
    const FleetStatus fleet = m_daemons.status();
    if (fleet.daemons.empty())
        return fail(make_error_code(CtlError::Unreachable),
                    "none of " + std::to_string(m_daemons.endpoints().size())
                        + " daemons answered; name them with --daemon IP:PORT");

    m_console.out << (m_console.isJson() ? indentedText(summaryJson(fleet)) : summaryText(fleet));
    return ExitCode::Done;
}

ExitCode OperatorCommands::reportBurn(BurnFormat format)
{
    std::vector<BurnSnapshot> snapshots;
    for (const DaemonAnswer &answer : m_daemons.queryAll("/burn")) {
        BurnSnapshot snapshot;
        const std::error_code error =
            answer.error ? answer.error : io::decodeBurnSnapshot(answer.text, snapshot);
        if (error)
            m_console.err << "missing: " << toString(answer.endpoint) << ": " << error.message()
                          << (answer.cause.empty() ? "" : ": ") << answer.cause << "\n";
        else
            snapshots.push_back(std::move(snapshot));
    }
    if (snapshots.empty())
        return fail(make_error_code(CtlError::Unreachable),
                    "none of " + std::to_string(m_daemons.endpoints().size())
                        + " daemons told its counts; name them with --daemon IP:PORT");

    const BurnReport report = burnReport(snapshots, expectedHosts(m_daemons.status()));
    m_console.out << burnText(report, m_console.isJson() ? BurnFormat::Json : format);
    return ExitCode::Done;
}

ExitCode OperatorCommands::releaseLeadership(const DomainName &domain, bool isConfirmedGone)
{
    if (!isConfirmedGone)
        return refuse("releasing the stewardship of " + domain.value()
                      + " is safe only if its holder is gone for good.\nIf it lives on, cut off and"
                        " with candidates that promise, two stewards decide, and keys can have two"
                        " owners.\nSay --confirm-gone if you have made sure. Nothing was changed");

    const RowsResult rows = m_table.read({{leaderTable, domain.value()}});
    if (rows.error)
        return fail(rows.error, rows.cause);
    const TableRow &before = rows.rows.front();
    if (before.version == 0)
        return refuse("there is no steward row for " + domain.value());

    const auto row = io::decodeLeaderRow(before.value);
    if (!row)
        return refuse("the steward row of " + domain.value()
                      + " is not of the form that this bulrushctl knows");
    const LeaderRow released =
        releasedByOperator(*row, Incarnation{m_context.writer}, LeaderWriteId{m_context.requestId});
    const CommitResult result = changeRow(
        m_table, {before, io::encodeLeaderRow(released), leaderWriteIdField, m_context.writer},
        m_context.policy);
    return report(result,
                  "released: the stewardship of " + domain.value()
                      + "; a daemon takes it when the lease and promises of its last holder have"
                        " run out");
}

ExitCode OperatorCommands::fail(const std::error_code &error, const std::string &cause)
{
    m_console.err << "error: " << error.message() << ": " << cause << "\n";
    return exitCodeFor(error);
}

ExitCode OperatorCommands::refuse(const std::string &reason)
{
    m_console.err << "error: " << reason << "\n";
    return ExitCode::Refused;
}

ExitCode OperatorCommands::report(const CommitResult &result, const std::string &done)
{
    switch (result.outcome) {
    case CommitOutcome::Committed:
        m_console.out << done << "\n";
        return ExitCode::Done;
    case CommitOutcome::Conflict:
        m_console.err << "error: " << result.cause << "; look again and repeat if need be\n";
        return ExitCode::Conflict;
    case CommitOutcome::Refused:
        return refuse("the platform refused it: " + result.cause);
    case CommitOutcome::NotSent:
        m_console.err << "error: nothing was sent: " << result.cause << "\n";
        return ExitCode::Unreachable;
    case CommitOutcome::Unknown:
        break;
    }
    m_console.err << "error: unknown outcome, it may have taken effect or may still do so: "
                  << result.cause << "\n";
    return ExitCode::Unknown;
}

bool OperatorCommands::isListed(const HostName &host, ExitCode &failure)
{
    const HostsResult hosts = m_table.hosts();
    if (hosts.error) {
        failure = fail(hosts.error, hosts.cause);
        return false;
    }
    if (std::ranges::find(hosts.hosts, host.value(), &ListedHost::name) != hosts.hosts.end())
        return true;
    failure = refuse("the platform's list, which lags, has no host " + host.value()
                     + "; say --unlisted if it is there");
    return false;
}

} // namespace bulrush::ctl

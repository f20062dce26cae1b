#include "fleetsummary.h"

#include "texttable.h"

#include <algorithm>
#include <map>
#include <set>

namespace bulrush::ctl {

namespace {

/** The state of a failure domain, merged from the status of all daemons. */
struct DomainView
{
    /** From the status with the highest epoch; the holder's own status takes precedence. */
    LeaderView leader;
    /** The latest version. */
    AssignmentView assignment;
    std::size_t hosts = 0;
    /** Hosts that report themselves as leader in the highest epoch. */
    std::set<HostName> holders;
};

using DomainViews = std::map<DomainName, DomainView>;

void applyLeader(DomainView &view, const LeaderView &leader, const HostName &host)
{
    if (leader.epoch < view.leader.epoch)
        return;
    if (leader.epoch > view.leader.epoch)
        view.holders.clear();
    if (leader.epoch > view.leader.epoch || leader.isSelf || view.leader.holder.isEmpty())
        view.leader = leader;
    if (leader.isSelf)
        view.holders.insert(host);
}

DomainViews domainsOf(const FleetStatus &fleet)
{
    DomainViews domains;
    for (const DaemonStatus &daemon : fleet.daemons) {
        ++domains[daemon.domain].hosts;
        for (const LeaderView &leader : daemon.leaders)
            applyLeader(domains[leader.domain], leader, daemon.host);
        for (const AssignmentView &assignment : daemon.assignments) {
            AssignmentView &latest = domains[assignment.domain].assignment;
            if (latest.version <= assignment.version)
                latest = assignment;
        }
    }
    return domains;
}

std::string hostOf(const FleetStatus &fleet, const Incarnation &incarnation)
{
    const auto found = std::ranges::find(fleet.daemons, incarnation, &DaemonStatus::incarnation);
    return found == fleet.daemons.end() ? incarnation.value() : found->host.value();
}

std::string ageText(const std::optional<std::uint64_t> &ageMs)
{
    return ageMs ? std::to_string(*ageMs) + " ms ago" : "not sure";
}

std::string stateOf(const DaemonStatus &daemon)
{
    if (daemon.isLeaving)
        return "leaving";
    return daemon.isReady ? "serving" : "not ready";
}

std::string leaseOf(const LeaderView &leader)
{
    if (leader.holder.isEmpty())
        return "-";
    if (!leader.isSelf)
        return "?";
    return leader.hasPlatformLease ? "platform" : "promises";
}

std::string fenceText(const Fence &fence)
{
    return std::to_string(fence.epoch) + "." + std::to_string(fence.sequence);
}

/** \returns all versions of each contract that hosts apply; several if the hosts differ. */
std::map<OrganisationName, std::set<std::uint64_t>> contractVersions(const FleetStatus &fleet)
{
    std::map<OrganisationName, std::set<std::uint64_t>> versions;
    for (const DaemonStatus &daemon : fleet.daemons) {
        for (const auto &[organisation, version] : daemon.contracts)
            versions[organisation].insert(version);
    }
    return versions;
}

/** \returns each server as its server manager reports it, or else as any other daemon does. */
std::map<ServerName, ServerView> serversOf(const FleetStatus &fleet)
{
    std::map<ServerName, ServerView> servers;
    for (const DaemonStatus &daemon : fleet.daemons) {
        for (const ServerView &server : daemon.servers) {
            if (server.manager == daemon.incarnation)
                servers.insert_or_assign(server.name, server);
            else
                servers.emplace(server.name, server);
        }
    }
    return servers;
}

std::map<std::string, std::uint64_t> countersOf(const FleetStatus &fleet)
{
    std::map<std::string, std::uint64_t> totals;
    for (const DaemonStatus &daemon : fleet.daemons) {
        for (const auto &[name, count] : daemon.counters)
            totals[name] += count;
    }
    return totals;
}

void addUnresponsive(const FleetStatus &fleet, std::vector<std::string> &issues)
{
    for (const UnresponsiveDaemon &unresponsive : fleet.unresponsive)
        issues.push_back("no answer from " + toString(unresponsive.endpoint) + " ("
                         + unresponsive.cause + "): see whether the platform replaces the host");
}

void addUnconfirmed(const FleetStatus &fleet, std::vector<std::string> &issues)
{
    for (const DaemonStatus &daemon : fleet.daemons) {
        if (!daemon.currentAsOfMs)
            issues.push_back(daemon.host.value()
                             + " can't be sure that it is current: see whether it is cut off");
    }
}

void addLeaders(const DomainViews &domains, std::vector<std::string> &issues)
{
    for (const auto &[domain, view] : domains) {
        if (view.leader.holder.isEmpty())
            issues.push_back(
                "no steward known for " + domain.value()
                + ": look again in a few seconds; if its last holder and candidates are"
                  " gone for good, bulrushctl steward release "
                + domain.value());
        if (view.holders.size() < 2)
            continue;
        std::string hosts;
        for (const HostName &host : view.holders)
            hosts += (hosts.empty() ? "" : ", ") + host.value();
        issues.push_back("more than one host holds itself to be steward of " + domain.value() + ": "
                         + hosts);
    }
}

/** Reports leases that have lapsed: the holder answers, but does not report itself as leader. */
void addLapsedLeases(const FleetStatus &fleet, const DomainViews &domains,
                     std::vector<std::string> &issues)
{
    for (const auto &[domain, view] : domains) {
        const Incarnation &holder = view.leader.holder;
        const auto daemon = std::ranges::find(fleet.daemons, holder, &DaemonStatus::incarnation);
        if (!holder.isEmpty() && view.holders.empty() && daemon != fleet.daemons.end())
            issues.push_back("the steward lease of " + domain.value() + " has lapsed at its holder "
                             + daemon->host.value()
                             + ": look again in a few seconds; while the platform is out, its keys"
                               " are not served");
    }
}

void addContractDifferences(const FleetStatus &fleet, std::vector<std::string> &issues)
{
    for (const auto &[organisation, versions] : contractVersions(fleet)) {
        if (versions.size() > 1)
            issues.push_back("hosts apply versions " + std::to_string(*versions.begin()) + " to "
                             + std::to_string(*versions.rbegin()) + " of the contract of "
                             + organisation.value() + ": look again in a few seconds");
    }
}

std::string hostsText(const FleetStatus &fleet)
{
    TextTable table{{"HOST", "DOMAIN", "STATE", "CURRENT AS OF", "PEERS"}};
    for (const DaemonStatus &daemon : fleet.daemons)
        table.addRow({daemon.host.value(), daemon.domain.value(), stateOf(daemon),
                      ageText(daemon.currentAsOfMs), std::to_string(daemon.peers.size())});
    for (const UnresponsiveDaemon &unresponsive : fleet.unresponsive)
        table.addRow({toString(unresponsive.endpoint), "?", "no answer", "?", "?"});
    return table.text();
}

std::string domainsText(const FleetStatus &fleet)
{
    TextTable table{{"DOMAIN", "STEWARD", "EPOCH", "LEASE", "ASSIGNMENT", "SLICES", "SERVERS"}};
    for (const auto &[domain, view] : domainsOf(fleet)) {
        const LeaderView &leader = view.leader;
        const bool isHeld = !leader.holder.isEmpty();
        table.addRow({domain.value(), isHeld ? hostOf(fleet, leader.holder) : "none",
                      std::to_string(leader.epoch), leaseOf(leader),
                      fenceText(view.assignment.version), std::to_string(view.assignment.slices),
                      std::to_string(view.assignment.servers)});
    }
    return table.text();
}

std::string serversText(const FleetStatus &fleet)
{
    TextTable table{{"SERVER", "STATE", "ATTENDANT", "IN FLIGHT", "SLICES"}};
    for (const auto &[name, server] : serversOf(fleet))
        table.addRow({name.value(), server.isLost ? "lost" : "ok", hostOf(fleet, server.manager),
                      std::to_string(server.inFlight), std::to_string(server.slices)});
    return table.isEmpty() ? std::string{} : "\n" + table.text();
}

std::size_t hostsApplying(const FleetStatus &fleet, const OrganisationName &organisation,
                          std::uint64_t version)
{
    return std::ranges::count_if(fleet.daemons, [&](const DaemonStatus &daemon) {
        const auto found = daemon.contracts.find(organisation);
        return found != daemon.contracts.end() && found->second == version;
    });
}

std::string contractsText(const FleetStatus &fleet)
{
    TextTable table{{"CONTRACT", "VERSION", "HOSTS"}};
    for (const auto &[organisation, versions] : contractVersions(fleet)) {
        for (const std::uint64_t version : versions)
            table.addRow({organisation.value(), std::to_string(version),
                          std::to_string(hostsApplying(fleet, organisation, version))});
    }
    return table.isEmpty() ? std::string{} : "\n" + table.text();
}

std::string countersText(const FleetStatus &fleet)
{
    TextTable table{{"COUNTER", "TOTAL"}};
    for (const auto &[name, count] : countersOf(fleet))
        table.addRow({name, std::to_string(count)});
    return table.isEmpty() ? std::string{} : "\n" + table.text();
}

Json::Value domainsJson(const FleetStatus &fleet)
{
    Json::Value array{Json::arrayValue};
    for (const auto &[domain, view] : domainsOf(fleet)) {
        Json::Value json{Json::objectValue};
        json["domain"] = domain.value();
        json["hosts"] = Json::UInt64{view.hosts};
        json["steward"] = view.leader.holder.value();
        json["epoch"] = Json::UInt64{view.leader.epoch};
        json["platformLease"] = view.leader.hasPlatformLease;
        json["assignment"] = fenceText(view.assignment.version);
        json["slices"] = Json::UInt64{view.assignment.slices};
        json["servers"] = Json::UInt64{view.assignment.servers};
        array.append(std::move(json));
    }
    return array;
}

Json::Value hostsJson(const FleetStatus &fleet)
{
    Json::Value array{Json::arrayValue};
    for (const DaemonStatus &daemon : fleet.daemons) {
        Json::Value json{Json::objectValue};
        json["host"] = daemon.host.value();
        json["domain"] = daemon.domain.value();
        json["incarnation"] = daemon.incarnation.value();
        json["leaving"] = daemon.isLeaving;
        json["currentAsOfMs"] =
            daemon.currentAsOfMs ? Json::Value{Json::UInt64{*daemon.currentAsOfMs}} : Json::Value{};
        json["contracts"] = Json::Value{Json::objectValue};
        for (const auto &[organisation, version] : daemon.contracts)
            json["contracts"][organisation.value()] = Json::UInt64{version};
        array.append(std::move(json));
    }
    return array;
}

Json::Value serversJson(const FleetStatus &fleet)
{
    Json::Value array{Json::arrayValue};
    for (const auto &[name, server] : serversOf(fleet)) {
        Json::Value json{Json::objectValue};
        json["name"] = name.value();
        json["attendant"] = server.manager.value();
        json["lost"] = server.isLost;
        json["inFlight"] = Json::UInt64{server.inFlight};
        json["slices"] = Json::UInt64{server.slices};
        array.append(std::move(json));
    }
    return array;
}

} // namespace

std::vector<std::string> operatorIssues(const FleetStatus &fleet)
{
    std::vector<std::string> issues;
    addUnresponsive(fleet, issues);
    addUnconfirmed(fleet, issues);
    const DomainViews domains = domainsOf(fleet);
    addLeaders(domains, issues);
    addLapsedLeases(fleet, domains, issues);
    addContractDifferences(fleet, issues);
    return issues;
}

std::string summaryText(const FleetStatus &fleet)
{
    std::string text = hostsText(fleet) + "\n" + domainsText(fleet) + serversText(fleet)
        + contractsText(fleet) + countersText(fleet) + "\n";
    const std::vector<std::string> issues = operatorIssues(fleet);
    text += issues.empty() ? "needs an operator's hand: nothing\n" : "needs an operator's hand:\n";
    for (const std::string &issue : issues)
        text += "  " + issue + "\n";
    return text;
}

Json::Value summaryJson(const FleetStatus &fleet)
{
    Json::Value json{Json::objectValue};
    json["hosts"] = hostsJson(fleet);
    json["domains"] = domainsJson(fleet);
    json["servers"] = serversJson(fleet);
    json["counters"] = Json::Value{Json::objectValue};
    for (const auto &[name, count] : countersOf(fleet))
        json["counters"][name] = Json::UInt64{count};
    json["silent"] = Json::Value{Json::arrayValue};
    for (const UnresponsiveDaemon &unresponsive : fleet.unresponsive)
        json["silent"].append(toString(unresponsive.endpoint));
    json["needsOperator"] = Json::Value{Json::arrayValue};
    for (const std::string &issue : operatorIssues(fleet))
        json["needsOperator"].append(issue);
    return json;
}

} // namespace bulrush::ctl

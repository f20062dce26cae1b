#include "rolloutreport.h"

#include <algorithm>
#include <map>

namespace bulrush::ctl {

namespace {

bool isPresent(const PeerView &peer)
{
    return peer.state != "gone";
}

std::string missingReason(const DaemonStatus &daemon, const OrganisationName &organisation)
{
    const auto found = daemon.contracts.find(organisation);
    if (found == daemon.contracts.end())
        return "has no version of it";
    return "still at version " + std::to_string(found->second);
}

bool isInForce(const DaemonStatus &daemon, const OrganisationName &organisation,
               std::uint64_t version)
{
    const auto found = daemon.contracts.find(organisation);
    return found != daemon.contracts.end() && found->second >= version;
}

/** \returns the hosts that daemons list as present peers and that did not answer, with a reason. */
std::map<std::string, std::string> unansweredHosts(const FleetStatus &fleet)
{
    std::map<std::string, std::string> unanswered;
    for (const DaemonStatus &daemon : fleet.daemons) {
        for (const PeerView &peer : daemon.peers) {
            if (isPresent(peer))
                unanswered.emplace(peer.host.value(),
                                   "did not answer, or was not asked; " + daemon.host.value()
                                       + " knows it as " + peer.state);
        }
    }
    for (const DaemonStatus &daemon : fleet.daemons)
        unanswered.erase(daemon.host.value());
    return unanswered;
}

} // namespace

RolloutReport rolloutReport(const FleetStatus &fleet, const OrganisationName &organisation,
                            std::uint64_t version)
{
    RolloutReport report;
    for (const DaemonStatus &daemon : fleet.daemons) {
        if (isInForce(daemon, organisation, version))
            ++report.inForce;
        else
            report.missing.push_back({daemon.host.value(), missingReason(daemon, organisation)});
    }

    // An endpoint without an answer and a peer without an answer may be the same host, so the
    // larger of the two numbers is used.
    const auto unanswered = unansweredHosts(fleet);
    for (const auto &[host, reason] : unanswered)
        report.missing.push_back({host, reason});
    const std::size_t unansweredCount = std::max(unanswered.size(), fleet.unresponsive.size());
    if (fleet.unresponsive.size() > unanswered.size()) {
        for (const UnresponsiveDaemon &unresponsive : fleet.unresponsive)
            report.missing.push_back({toString(unresponsive.endpoint), unresponsive.cause});
    }
    report.hosts = fleet.daemons.size() + unansweredCount;
    std::ranges::sort(report.missing, {}, &MissingHost::host);
    return report;
}

std::string toText(const RolloutReport &report)
{
    std::string text = "in force at " + std::to_string(report.inForce) + " of "
        + std::to_string(report.hosts) + " hosts\n";
    for (const MissingHost &missing : report.missing)
        text += "  missing: " + missing.host + ": " + missing.reason + "\n";
    return text;
}

} // namespace bulrush::ctl

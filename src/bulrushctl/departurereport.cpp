#include "departurereport.h"

#include <algorithm>

namespace bulrush::ctl {

namespace {

std::vector<std::string> pendingWorkOf(const DaemonStatus &daemon)
{
    std::vector<std::string> pending;
    for (const LeaderView &leader : daemon.leaders) {
        if (leader.isSelf)
            pending.push_back("the stewardship of " + leader.domain.value() + " to be handed over");
    }
    for (const ServerView &server : daemon.servers) {
        if (server.manager != daemon.incarnation)
            continue;
        pending.push_back(server.name.value() + " to be attended by another daemon, with "
                          + std::to_string(server.inFlight) + " requests in flight");
    }
    return pending;
}

/** \returns the hosts that still have \a host as a peer in a state other than "gone". */
std::vector<std::string> hostsListingAsPeer(const FleetStatus &fleet, const HostName &host)
{
    std::vector<std::string> hosts;
    for (const DaemonStatus &daemon : fleet.daemons) {
        const bool isListed = std::ranges::any_of(daemon.peers, [&](const PeerView &peer) {
            return peer.host == host && peer.state != "gone";
        });
        if (isListed)
            hosts.push_back(daemon.host.value());
    }
    return hosts;
}

std::string_view stageText(DepartureStage stage)
{
    switch (stage) {
    case DepartureStage::NotStarted:
        return "its daemon has not heard of it yet";
    case DepartureStage::Leaving:
        return "leaving: no new work is taken";
    case DepartureStage::Departed:
        return "gone";
    case DepartureStage::Unknown:
        break;
    }
    return "its daemon does not answer";
}

} // namespace

DepartureReport departureReport(const FleetStatus &fleet, const HostName &host)
{
    const auto own = std::ranges::find(fleet.daemons, host, &DaemonStatus::host);
    if (own != fleet.daemons.end()) {
        const auto stage = own->isLeaving ? DepartureStage::Leaving : DepartureStage::NotStarted;
        return {host, stage, pendingWorkOf(*own)};
    }

    DepartureReport report{host, DepartureStage::Departed, {}};
    if (fleet.daemons.empty()) {
        report.stage = DepartureStage::Unknown;
        report.pendingItems.push_back("word from any daemon");
    }
    for (const std::string &listingHost : hostsListingAsPeer(fleet, host)) {
        report.stage = DepartureStage::Unknown;
        report.pendingItems.push_back(listingHost + " to take it for gone");
    }
    return report;
}

std::string toText(const DepartureReport &report)
{
    std::string text = report.host.value() + ": " + std::string{stageText(report.stage)} + "\n";
    for (const std::string &item : report.pendingItems)
        text += "  waits for: " + item + "\n";
    return text;
}

} // namespace bulrush::ctl

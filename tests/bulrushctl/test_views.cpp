#define BOOST_TEST_MODULE Views

#include "../support/goldentext.h"

#include "departurereport.h"
#include "fleetsummary.h"
#include "jsontext.h"
#include "linediff.h"
#include "process/jsonreader.h"
#include "rolloutreport.h"
#include "texttable.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace bulrush::ctl;

namespace {

DaemonStatus status(const std::string &text)
{
    const auto decoded = decodeDaemonStatus(io::parseJson(text));
    BOOST_REQUIRE(decoded);
    return *decoded;
}

DaemonStatus antwerp1()
{
    return status(R"({"host": "antwerp-1", "domain": "antwerp", "incarnation": "antwerp-1/7",
        "leaving": false, "currentAsOfMs": 120, "contracts": {"leuvensport": 3},
        "stewards": [{"domain": "antwerp", "holder": "antwerp-1/7", "epoch": 4, "isSelf": true,
                      "platformLease": true},
                     {"domain": "ghent", "holder": "ghent-1/2", "epoch": 2, "isSelf": false,
                      "platformLease": true}],
        "assignments": [{"domain": "antwerp", "epoch": 4, "sequence": 17, "slices": 300, "servers": 9}],
        "servers": [{"name": "catalogue-01", "attendant": "antwerp-1/7", "inFlight": 2, "slices": 21}],
        "peers": [{"host": "ghent-1", "domain": "ghent", "incarnation": "ghent-1/2", "state": "alive"},
                  {"host": "leuven-1", "domain": "leuven", "incarnation": "leuven-1/1",
                   "state": "suspected"},
                  {"host": "leuven-2", "domain": "leuven", "incarnation": "leuven-2/1",
                   "state": "gone"}],
        "counters": {"requests": 100, "retries": 1}})");
}

DaemonStatus ghent1()
{
    return status(R"({"host": "ghent-1", "domain": "ghent", "incarnation": "ghent-1/2",
        "leaving": true, "currentAsOfMs": null, "contracts": {"leuvensport": 2},
        "stewards": [{"domain": "ghent", "holder": "ghent-1/2", "epoch": 2, "isSelf": true,
                      "platformLease": false},
                     {"domain": "leuven", "holder": "", "epoch": 0, "isSelf": false,
                      "platformLease": false}],
        "assignments": [{"domain": "antwerp", "epoch": 4, "sequence": 16, "slices": 299, "servers": 9},
                        {"domain": "ghent", "epoch": 2, "sequence": 5, "slices": 280, "servers": 9}],
        "servers": [{"name": "catalogue-01", "attendant": "antwerp-1/7", "inFlight": 9, "slices": 20}],
        "peers": [{"host": "antwerp-1", "domain": "antwerp", "incarnation": "antwerp-1/7",
                   "state": "alive"}],
        "counters": {"requests": 50}})");
}

FleetStatus fleetWithIssues()
{
    return {{antwerp1(), ghent1()}, {{{"127.0.0.31", 8082}, "Couldn't connect to server"}}};
}

/** \returns a fleet of one daemon without issues. */
FleetStatus healthyFleet()
{
    DaemonStatus daemon = antwerp1();
    daemon.peers.clear();
    return {{daemon}, {}};
}

} // namespace

BOOST_AUTO_TEST_CASE(diffShowsChangesWithContext)
{
    const std::string before = "a\nb\nc\nd\ne\nf\ng\nh\ni\nj\nk\nl\n";
    const std::string after = "a\nB\nc\nd\ne\nf\ng\nh\ni\nk\nl\nm\n";
    const std::string expected = "--- old\n+++ new\n"
                                 "@@ -1,5 +1,5 @@\n a\n-b\n+B\n c\n d\n e\n"
                                 "@@ -7,6 +7,6 @@\n g\n h\n i\n-j\n k\n l\n+m\n";
    BOOST_TEST(lineDiff(before, after, {"old", "new"}) == expected);
    BOOST_TEST(lineDiff(before, before, {"old", "new"}).empty());
    BOOST_TEST(lineDiff("", "a\n", {"old", "new"}) == "--- old\n+++ new\n@@ -0,0 +1,1 @@\n+a\n");
    BOOST_TEST(lineDiff("a\n", "", {"old", "new"}) == "--- old\n+++ new\n@@ -1,1 +0,0 @@\n-a\n");
}

BOOST_AUTO_TEST_CASE(hugeChangesAreShownAsReplaced)
{
    std::string before;
    std::string after;
    for (int i = 0; i < 5000; ++i) {
        before += "b" + std::to_string(i) + "\n";
        after += "a" + std::to_string(i) + "\n";
    }
    const std::string diff = lineDiff(before, after, {"old", "new"});
    BOOST_TEST(std::ranges::count(diff, '\n') == 10'003);
}

BOOST_AUTO_TEST_CASE(tableColumnsAreAsWideAsTheirCells)
{
    TextTable table{{"A", "LONG"}};
    table.addRow({"wide cell", ""});
    table.addRow({"é", "x"});
    BOOST_TEST(table.text() == "A          LONG\nwide cell\né          x\n");
}

BOOST_AUTO_TEST_CASE(summaryListsIssuesForTheOperator)
{
    test::checkGolden("bulrushctl/status-troubled.txt", summaryText(fleetWithIssues()));
    test::checkGolden("bulrushctl/status-troubled.json",
                      indentedText(summaryJson(fleetWithIssues())));
}

BOOST_AUTO_TEST_CASE(healthyFleetHasNoIssues)
{
    BOOST_TEST(operatorIssues(healthyFleet()).empty());
    test::checkGolden("bulrushctl/status-healthy.txt", summaryText(healthyFleet()));
}

BOOST_AUTO_TEST_CASE(twoLeadersInOneEpochAreReported)
{
    FleetStatus fleet{{antwerp1(), antwerp1()}, {}};
    fleet.daemons[1].host = HostName{"antwerp-2"};
    const auto issues = operatorIssues(fleet);
    BOOST_REQUIRE(issues.size() == 1u);
    BOOST_TEST(issues[0].find("antwerp-1, antwerp-2") != std::string::npos);

    fleet.daemons[1].leaders[0].epoch = 5;
    BOOST_TEST(operatorIssues(fleet).empty());
}

BOOST_AUTO_TEST_CASE(malformedStatusIsRejectedOrUsesDefaults)
{
    for (const char *text : {"null", "[]", "{}", "3", R"({"host": 3})"})
        BOOST_TEST(!decodeDaemonStatus(io::parseJson(text)).has_value(), text);
    const DaemonStatus malformed =
        status(R"({"host": "h", "contracts": [], "servers": {}, "peers": [1],
        "stewards": [{"epoch": -1}], "counters": {"x": "y"}, "currentAsOfMs": "now"})");
    BOOST_TEST(!malformed.currentAsOfMs.has_value());
    BOOST_TEST(malformed.leaders.front().epoch == 0u);
}

BOOST_AUTO_TEST_CASE(rolloutReportListsMissingHosts)
{
    const RolloutReport report =
        rolloutReport(fleetWithIssues(), OrganisationName{"leuvensport"}, 3);
    BOOST_TEST(report.inForce == 1u);
    BOOST_TEST(report.hosts == 3u);
    test::checkGolden("bulrushctl/force.txt", toText(report));
    BOOST_TEST(rolloutReport(fleetWithIssues(), OrganisationName{"other"}, 1).inForce == 0u);

    const RolloutReport done = rolloutReport(healthyFleet(), OrganisationName{"leuvensport"}, 3);
    BOOST_TEST(toText(done) == "in force at 1 of 1 hosts\n");
}

BOOST_AUTO_TEST_CASE(departureReportListsPendingItems)
{
    FleetStatus fleet{{antwerp1(), ghent1()}, {}};
    std::string text = toText(departureReport(fleet, HostName{"antwerp-1"}));
    fleet.daemons[0].isLeaving = true;
    text += toText(departureReport(fleet, HostName{"antwerp-1"}));
    fleet.daemons[0].servers.clear();
    fleet.daemons[0].leaders.clear();
    text += toText(departureReport(fleet, HostName{"antwerp-1"}));
    fleet.daemons.erase(fleet.daemons.begin());
    text += toText(departureReport(fleet, HostName{"antwerp-1"}));
    fleet.daemons[0].peers[0].state = "gone";
    text += toText(departureReport(fleet, HostName{"antwerp-1"}));
    fleet.daemons.clear();
    text += toText(departureReport(fleet, HostName{"antwerp-1"}));
    test::checkGolden("bulrushctl/departure.txt", text);
}

BOOST_AUTO_TEST_CASE(lapsedLeaseAndUnreadyDaemonAreReported)
{
    FleetStatus fleet = healthyFleet();
    fleet.daemons[0].leaders.pop_back();
    fleet.daemons[0].leaders[0].isSelf = false;
    fleet.daemons[0].servers[0].isLost = true;
    fleet.daemons[0].isReady = false;
    test::checkGolden("bulrushctl/status-lapsed.txt", summaryText(fleet));
}

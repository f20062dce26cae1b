#define BOOST_TEST_MODULE DaemonCommands

#include "commandline.h"
#include "contractcommands.h"
#include "daemonaccess.h"
#include "fakeplatform.h"
#include "operatorcommands.h"
#include "process/jsonreader.h"
#include "scriptedserver.h"
#include "version/burnreport.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace bulrush;
using namespace bulrush::ctl;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

std::string statusAt(int version)
{
    return answer("200 OK",
                  R"({"host": "antwerp-1", "domain": "antwerp", "currentAsOfMs": 5,
        "contracts": {"leuvensport": )"
                      + std::to_string(version) + "}}");
}

std::string assignmentAt(int sequence, const std::string &server)
{
    return answer("200 OK",
                  R"({"domain": "antwerp", "version": {"epoch": 4, "sequence": )"
                      + std::to_string(sequence)
                      + R"(}, "attendances": [], "slices": [{"service": "catalogue",
        "begin": "0000000000000000", "end": "ffffffffffffffff", "server": ")"
                      + server + R"(", "fence": {"epoch": 4, "sequence": 2}}]})");
}

/** The exit code of a command and what it printed. */
struct CommandResult
{
    ExitCode code = ExitCode::Done;
    std::string out;
};

CommandResult runLine(const std::vector<std::string> &arguments)
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = run(arguments, in, out, err);
    return {code, out.str()};
}

/** Writes a new contract, as version 1, and waits until the daemon at \a endpoint applies it. */
CommandResult putAndWait(const Endpoint &endpoint, Duration waitTimeout)
{
    FakePlatform platform;
    ContractStore store{platform, "bulrushctl-test", {}};
    std::istringstream in;
    std::ostringstream out;
    Console console{in, out, out};
    const DaemonAccess daemons{{endpoint}, 5s};
    ContractCommands commands{store, daemons, console};
    const std::string example = BULRUSH_SOURCE_DIR "/examples/leuvensport/contract.yaml";
    const ExitCode code = commands.put(example, {{"an", "request-1"}, true, waitTimeout});
    BOOST_TEST(platform.row({"contract", "leuvensport"}).version == 1u);
    return {code, out.str()};
}

} // namespace

BOOST_AUTO_TEST_CASE(waitsUntilTheDaemonAppliesTheVersion)
{
    ScriptedServer daemon{{statusAt(0), statusAt(0), statusAt(1)}};
    const CommandResult result = putAndWait(daemon.endpoint(), 60s);
    BOOST_CHECK(result.code == ExitCode::Done);
    BOOST_TEST(daemon.requests().size() == 3u);
    BOOST_TEST(result.out.find("in force at 0 of 1 hosts\n  missing: antwerp-1: still at version 0")
               != std::string::npos);
    BOOST_TEST(result.out.ends_with("in force at 1 of 1 hosts\n"));
}

BOOST_AUTO_TEST_CASE(missingHostsAreReportedOnTimeout)
{
    ScriptedServer daemon{{statusAt(0)}};
    const CommandResult result = putAndWait(daemon.endpoint(), Duration{});
    BOOST_CHECK(result.code == ExitCode::Unreachable);
    BOOST_TEST(result.out.find("missing: antwerp-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(reportsADepartureUntilTheHostHasLeft)
{
    const auto statusOf = [](const std::string &host, const std::string &rest) {
        return answer("200 OK", R"({"host": ")" + host + R"(", )" + rest + "}");
    };
    ScriptedServer daemon{
        {statusOf("ghent-1", R"("leaving": false)"), statusOf("ghent-1", R"("leaving": true)"),
         statusOf("antwerp-1", R"("peers": [{"host": "ghent-1", "state": "gone"}])")}};
    FakePlatform platform;
    std::istringstream in;
    std::ostringstream out;
    Console console{in, out, out};
    const DaemonAccess daemons{{daemon.endpoint()}, 5s};
    OperatorCommands commands{platform, daemons, console, {"an", "request-1", "test", {3, [] {
                                                                                       }}}};
    BOOST_CHECK(commands.leave(HostName{"ghent-1"}, {true, 60s}) == ExitCode::Done);
    BOOST_TEST(out.str()
               == "planned: ghent-1 leaves\n"
                  "ghent-1: its daemon has not heard of it yet\n"
                  "ghent-1: leaving: no new work is taken\n"
                  "ghent-1: gone\n");
}

BOOST_AUTO_TEST_CASE(showsTheLatestAssignment)
{
    ScriptedServer old{{assignmentAt(16, "catalogue-01")}};
    ScriptedServer latest{{assignmentAt(17, "catalogue-02")}};
    ScriptedServer malformed{{answer("200 OK", R"({"domain": "antwerp"})")}};
    const CommandResult result =
        runLine({"assignment", "show", "antwerp", "--daemon", toString(latest.endpoint()),
                 "--daemon", toString(old.endpoint()), "--daemon", toString(malformed.endpoint())});
    BOOST_CHECK(result.code == ExitCode::Done);
    BOOST_TEST(result.out
               == "antwerp version 4.17, 1 slices\n"
                  "SERVICE    BEGIN             END               SERVER        FENCE\n"
                  "catalogue  0000000000000000  ffffffffffffffff  catalogue-02  4.2\n");
    BOOST_TEST(
        latest.requests().front().starts_with("GET /assignment?domain=antwerp HTTP/1.1\r\n"));
}

BOOST_AUTO_TEST_CASE(statusCombinesAllDaemonsThatAnswer)
{
    ScriptedServer daemon{{statusAt(1)}};
    ScriptedServer broken{{answer("500 Oops", "")}};
    const CommandResult result =
        runLine({"--output", "json", "--daemon", toString(daemon.endpoint()), "--daemon",
                 toString(broken.endpoint()), "status"});
    BOOST_CHECK(result.code == ExitCode::Done);
    BOOST_TEST(result.out.find("\"host\" : \"antwerp-1\"") != std::string::npos);
    BOOST_TEST(result.out.find("no answer from " + toString(broken.endpoint()))
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(burnReportMergesAllDaemonsThatAnswer)
{
    BurnSnapshot snapshot;
    snapshot.host = HostName{"antwerp-1"};
    snapshot.incarnation = Incarnation{"antwerp-1/7"};
    snapshot.observedFor = std::chrono::hours{100};
    BurnSeries &series = snapshot.series.emplace_back();
    series.organisation = OrganisationName{"leuvensport"};
    series.operation = OperationName{"read-item"};
    series.windows[0] = {90, 10};
    series.latencies = LatencyHistogram{}.counts();
    ScriptedServer daemon{{answer("200 OK", io::encodeBurnSnapshot(snapshot)), statusAt(1)}};
    ScriptedServer malformed{{answer("200 OK", "{}"), statusAt(1)}};
    const CommandResult result =
        runLine({"report", "burn", "--format", "csv", "--daemon", toString(daemon.endpoint()),
                 "--daemon", toString(malformed.endpoint())});
    BOOST_CHECK(result.code == ExitCode::Done);
    const BurnSnapshot one[]{snapshot};
    const HostName expected[]{snapshot.host};
    BOOST_TEST(result.out == io::burnCsv(burnReport(one, expected)));
    BOOST_TEST(result.out.find("leuvensport,read-item") != std::string::npos);
}

namespace {

std::string evacuationReport(const std::string &host, int inFlight)
{
    return answer("200 OK",
                  R"({"host": ")" + host
                      + R"(", "evacuated": [{"domain": "ghent", "age": 4200000000}], "services": [
        {"service": "payments", "domains": [
          {"domain": "antwerp", "servers": 2, "slots": 4, "keys": 65000, "inFlight": )"
                      + std::to_string(inFlight) + R"(},
          {"domain": "bruges", "servers": 1, "slots": 2, "keys": 0, "inFlight": 0},
          {"domain": "ghent", "servers": 3, "slots": 6, "keys": 536, "inFlight": 1}]}]})");
}

} // namespace

BOOST_AUTO_TEST_CASE(showsEvacuationsAndWhatIsLeftThere)
{
    ScriptedServer first{{evacuationReport("antwerp-1", 1)}};
    ScriptedServer second{{evacuationReport("ghent-1", 2)}};
    const CommandResult result = runLine({"--daemon", toString(first.endpoint()), "--daemon",
                                          toString(second.endpoint()), "evacuation", "show"});
    BOOST_CHECK(result.code == ExitCode::Done);
    BOOST_TEST(result.out
               == "DOMAIN  FOR  KNOWN TO  KEYS LEFT  IN FLIGHT\n"
                  "ghent   4 s  2 of 2    536        2\n");
}

BOOST_AUTO_TEST_CASE(checkTellsWhetherAnEvacuationLeavesEnoughServers)
{
    const auto check = [](const std::string &domain, int inFlight) {
        ScriptedServer daemon{{evacuationReport("antwerp-1", inFlight)}};
        return runLine({"--daemon", toString(daemon.endpoint()), "evacuation", "check", domain});
    };
    BOOST_CHECK(check("bruges", 3).code == ExitCode::Done);
    const CommandResult tooMuch = check("bruges", 4);
    BOOST_CHECK(tooMuch.code == ExitCode::Refused);
    BOOST_TEST(tooMuch.out
               == "SERVICE   SERVERS LEFT  SLOTS LEFT  IN FLIGHT NOW  VERDICT\n"
                  "payments  2             4           5              above the capacity left\n");
    // Only bruges would be left, as ghent is evacuated already.
    BOOST_CHECK(check("antwerp", 1).code == ExitCode::Done);
    BOOST_CHECK(check("antwerp", 2).code == ExitCode::Refused);
    BOOST_CHECK(check("nowhere", 0).code == ExitCode::Refused);
    BOOST_CHECK(runLine({"--daemon", "127.0.0.1:1", "evacuation", "show"}).code
                == ExitCode::Unreachable);
    BOOST_CHECK(runLine({"evacuation", "show"}).code == ExitCode::Unreachable);
}

BOOST_AUTO_TEST_CASE(evacuationCommandsPrintJsonIfAsked)
{
    const auto json = [](std::vector<std::string> arguments) {
        ScriptedServer daemon{{evacuationReport("antwerp-1", 4)}};
        arguments.insert(arguments.begin(),
                         {"--output", "json", "--daemon", toString(daemon.endpoint())});
        return io::parseJson(runLine(arguments).out);
    };
    const Json::Value shown = json({"evacuation", "show"});
    BOOST_TEST(shown["daemons"].asUInt() == 1u);
    BOOST_TEST(shown["evacuated"][0]["domain"].asString() == "ghent");
    BOOST_TEST(shown["evacuated"][0]["keysLeft"].asUInt() == 536u);
    const Json::Value checked = json({"evacuation", "check", "bruges"});
    BOOST_TEST(checked["services"][0]["slotsLeft"].asUInt() == 4u);
    BOOST_TEST(checked["services"][0]["verdict"].asString() == "above the capacity left");
}

#define BOOST_TEST_MODULE OperatorCommands

#include "../support/goldentext.h"

#include "commandline.h"
#include "daemonaccess.h"
#include "fakeplatform.h"
#include "operatorcommands.h"
#include "process/stewardcodec.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace bulrush;
using namespace bulrush::ctl;
using bulrush::test::FakePlatform;
using bulrush::test::Fault;
using namespace std::chrono_literals;

namespace {

struct OperatorFixture
{
    FakePlatform platform;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    Console console{in, out, err};
    DaemonAccess daemons{{}, 100ms};
    OperatorCommands commands{
        platform, daemons, console, {"an", "request-1", "bulrushctl-test", {3, [] {
                                                                            }}}};

    OperatorFixture()
    {
        platform.listedHosts = {{"antwerp-1", "antwerp", "entry", "live", "127.0.0.11"},
                                {"ghent-1", "ghent", "entry", "leaving", "127.0.0.21"}};
    }
};

const RowId departureRowId{"departure", "antwerp-1"};
const RowId leaderRowId{"steward", "antwerp"};

Json::Value leaderRowJson()
{
    LeaderRow row;
    row.holder = Incarnation{"antwerp-1/7"};
    row.epoch = 4;
    row.leaseLength = 1200ms;
    row.promiseLength = 10s;
    row.candidates = {{Incarnation{"ghent-1/3"}, DomainName{"ghent"}, "127.0.0.21:8081"}};
    row.writer = row.holder;
    row.writeId = LeaderWriteId{"w1"};
    return io::encodeLeaderRow(row);
}

LeaderRow leaderRowOf(const FakePlatform &platform)
{
    const auto row = io::decodeLeaderRow(platform.row(leaderRowId).value);
    BOOST_REQUIRE(row);
    return *row;
}

ExitCode runLine(const std::vector<std::string> &arguments, std::string &printed)
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = run(arguments, in, out, err);
    printed = "out:\n" + out.str() + "err:\n" + err.str();
    return code;
}

} // namespace

BOOST_AUTO_TEST_CASE(departureIsPlannedOnce)
{
    OperatorFixture fixture;
    BOOST_CHECK(fixture.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Done);
    BOOST_CHECK(fixture.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Done);
    BOOST_CHECK(fixture.commands.leave(HostName{"antwerp-9"}, {}) == ExitCode::Refused);
    BOOST_TEST(fixture.platform.row(departureRowId).version == 1u);
    BOOST_CHECK(fixture.commands.listHosts() == ExitCode::Done);
    test::checkGolden("bulrushctl/host-leave.txt",
                      "out:\n" + fixture.out.str() + "err:\n" + fixture.err.str());
}

BOOST_AUTO_TEST_CASE(lostAnswersOfADepartureAreResolved)
{
    for (const Fault fault :
         {Fault::AnswerLostAfterCommit, Fault::LostBeforeCommit, Fault::AnswerLostCommitDelayed}) {
        OperatorFixture fixture;
        fixture.platform.faults = {fault};
        BOOST_CHECK(fixture.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Done);
        BOOST_TEST(fixture.platform.row(departureRowId).version == 1u);
    }
    OperatorFixture fixture;
    fixture.platform.faults.assign(3, Fault::LostBeforeCommit);
    BOOST_CHECK(fixture.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Unknown);
}

BOOST_AUTO_TEST_CASE(leadershipIsReleasedOnlyWithConfirmation)
{
    OperatorFixture fixture;
    fixture.platform.set(leaderRowId, leaderRowJson());
    BOOST_CHECK(fixture.commands.releaseLeadership(DomainName{"antwerp"}, false)
                == ExitCode::Refused);
    BOOST_TEST(fixture.platform.row(leaderRowId).version == 1u);

    BOOST_CHECK(fixture.commands.releaseLeadership(DomainName{"antwerp"}, true) == ExitCode::Done);
    const LeaderRow row = leaderRowOf(fixture.platform);
    BOOST_TEST(row.isReleased);
    BOOST_CHECK(row.leaseLength == 11200ms);
    BOOST_TEST(row.candidates.empty());
    BOOST_TEST(row.holder.value() == "antwerp-1/7");
    BOOST_TEST(row.writer.value() == "bulrushctl-test");
    BOOST_TEST(row.epoch == 4u);
}

BOOST_AUTO_TEST_CASE(leadershipRenewedMeanwhileIsNotReleased)
{
    OperatorFixture fixture;
    fixture.platform.set(leaderRowId, leaderRowJson());
    fixture.platform.beforeTransact = [&] {
        fixture.platform.set(leaderRowId, leaderRowJson());
    };
    BOOST_CHECK(fixture.commands.releaseLeadership(DomainName{"antwerp"}, true)
                == ExitCode::Conflict);
    BOOST_TEST(!leaderRowOf(fixture.platform).isReleased);
}

BOOST_AUTO_TEST_CASE(missingOrInvalidLeaderRowIsNotChanged)
{
    OperatorFixture fixture;
    BOOST_CHECK(fixture.commands.releaseLeadership(DomainName{"antwerp"}, true)
                == ExitCode::Refused);
    Json::Value row = leaderRowJson();
    row.removeMember("promiseLengthNs");
    fixture.platform.set(leaderRowId, row);
    BOOST_CHECK(fixture.commands.releaseLeadership(DomainName{"antwerp"}, true)
                == ExitCode::Refused);
    BOOST_TEST(fixture.platform.row(leaderRowId).version == 1u);
}

BOOST_AUTO_TEST_CASE(helpDocumentsTheExitCodes)
{
    std::string printed;
    BOOST_CHECK(runLine({"--help"}, printed) == ExitCode::Done);
    test::checkGolden("bulrushctl/help.txt", printed);
}

BOOST_AUTO_TEST_CASE(invalidCommandLinesAreUsageErrors)
{
    const std::vector<std::vector<std::string>> lines{
        {},
        {"contract"},
        {"contract", "get", "Not A Name"},
        {"contract", "rollback", "leuvensport"},
        {"status", "--daemon", "somewhere"},
        {"status", "--timeout", "2"},
        {"status", "--output", "xml"},
        {"steward", "release"},
    };
    std::string all;
    for (const auto &line : lines) {
        std::string printed;
        BOOST_CHECK(runLine(line, printed) == ExitCode::Usage);
        all += printed;
    }
    test::checkGolden("bulrushctl/usage.txt", all);
}

BOOST_AUTO_TEST_CASE(commandsWithoutEndpointsAreUnreachable)
{
    std::string printed;
    BOOST_CHECK(runLine({"status"}, printed) == ExitCode::Unreachable);
    BOOST_CHECK(runLine({"contract", "list"}, printed) == ExitCode::Unreachable);
    BOOST_CHECK(runLine({"report", "burn"}, printed) == ExitCode::Unreachable);
}

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

struct Desk
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

    Desk()
    {
        platform.listed = {{"antwerp-1", "antwerp", "entry", "live", "127.0.0.11"},
                           {"ghent-1", "ghent", "entry", "leaving", "127.0.0.21"}};
    }
};

const RowId departure{"departure", "antwerp-1"};
const RowId steward{"steward", "antwerp"};

Json::Value stewardRow()
{
    StewardRow row;
    row.holder = Incarnation{"antwerp-1/7"};
    row.epoch = 4;
    row.leaseLength = 1200ms;
    row.promiseLength = 10s;
    row.candidates = {{Incarnation{"ghent-1/3"}, DomainName{"ghent"}, "127.0.0.21:8081"}};
    row.writer = row.holder;
    row.writeId = StewardWriteId{"w1"};
    return io::encodeStewardRow(row);
}

StewardRow stewardRowOf(const FakePlatform &platform)
{
    const auto row = io::decodeStewardRow(platform.row(steward).value);
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
    Desk desk;
    BOOST_CHECK(desk.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Done);
    BOOST_CHECK(desk.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Done);
    BOOST_CHECK(desk.commands.leave(HostName{"antwerp-9"}, {}) == ExitCode::Refused);
    BOOST_TEST(desk.platform.row(departure).version == 1u);
    BOOST_CHECK(desk.commands.listHosts() == ExitCode::Done);
    test::checkGolden("bulrushctl/host-leave.txt",
                      "out:\n" + desk.out.str() + "err:\n" + desk.err.str());
}

BOOST_AUTO_TEST_CASE(lostAnswersOfADepartureAreSettled)
{
    for (const Fault fault :
         {Fault::LostAfterEffect, Fault::LostWithoutEffect, Fault::LostAndEffectLater}) {
        Desk desk;
        desk.platform.faults = {fault};
        BOOST_CHECK(desk.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Done);
        BOOST_TEST(desk.platform.row(departure).version == 1u);
    }
    Desk desk;
    desk.platform.faults.assign(3, Fault::LostWithoutEffect);
    BOOST_CHECK(desk.commands.leave(HostName{"antwerp-1"}, {}) == ExitCode::Unknown);
}

BOOST_AUTO_TEST_CASE(stewardshipIsReleasedOnlyWithAWord)
{
    Desk desk;
    desk.platform.set(steward, stewardRow());
    BOOST_CHECK(desk.commands.releaseLeadership(DomainName{"antwerp"}, false) == ExitCode::Refused);
    BOOST_TEST(desk.platform.row(steward).version == 1u);

    BOOST_CHECK(desk.commands.releaseLeadership(DomainName{"antwerp"}, true) == ExitCode::Done);
    const StewardRow row = stewardRowOf(desk.platform);
    BOOST_TEST(row.isReleased);
    BOOST_CHECK(row.leaseLength == 11200ms);
    BOOST_TEST(row.candidates.empty());
    BOOST_TEST(row.holder.value() == "antwerp-1/7");
    BOOST_TEST(row.writer.value() == "bulrushctl-test");
    BOOST_TEST(row.epoch == 4u);
}

BOOST_AUTO_TEST_CASE(stewardThatRenewsMeanwhileIsNotReleased)
{
    Desk desk;
    desk.platform.set(steward, stewardRow());
    desk.platform.beforeTransact = [&] {
        desk.platform.set(steward, stewardRow());
    };
    BOOST_CHECK(desk.commands.releaseLeadership(DomainName{"antwerp"}, true) == ExitCode::Conflict);
    BOOST_TEST(!stewardRowOf(desk.platform).isReleased);
}

BOOST_AUTO_TEST_CASE(unknownStewardRowIsLeftAlone)
{
    Desk desk;
    BOOST_CHECK(desk.commands.releaseLeadership(DomainName{"antwerp"}, true) == ExitCode::Refused);
    Json::Value row = stewardRow();
    row.removeMember("promiseLengthNs");
    desk.platform.set(steward, row);
    BOOST_CHECK(desk.commands.releaseLeadership(DomainName{"antwerp"}, true) == ExitCode::Refused);
    BOOST_TEST(desk.platform.row(steward).version == 1u);
}

BOOST_AUTO_TEST_CASE(helpDocumentsTheExitCodes)
{
    std::string printed;
    BOOST_CHECK(runLine({"--help"}, printed) == ExitCode::Done);
    test::checkGolden("bulrushctl/help.txt", printed);
}

BOOST_AUTO_TEST_CASE(wrongCommandLinesAreUsageErrors)
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

BOOST_AUTO_TEST_CASE(nobodyToAskIsUnreachable)
{
    std::string printed;
    BOOST_CHECK(runLine({"status"}, printed) == ExitCode::Unreachable);
    BOOST_CHECK(runLine({"contract", "list"}, printed) == ExitCode::Unreachable);
    BOOST_CHECK(runLine({"report", "burn"}, printed) == ExitCode::Unreachable);
}

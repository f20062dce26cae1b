#define BOOST_TEST_MODULE ContractCommands

#include "../support/goldentext.h"

#include "contractcommands.h"
#include "contracttext.h"
#include "daemonaccess.h"
#include "fakeplatform.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <sstream>
#include <utility>

#include <unistd.h>

using namespace bulrush;
using namespace bulrush::ctl;
using bulrush::test::FakePlatform;
using bulrush::test::Fault;
using namespace std::chrono_literals;

namespace {

const OrganisationName leuvensport{"leuvensport"};
const RowId contractRow{"contract", "leuvensport"};

std::string exampleText()
{
    return test::fileText(std::filesystem::path{BULRUSH_SOURCE_DIR}
                          / "examples/leuvensport/contract.yaml");
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

/** The example with another rate, as one operator would edit it. */
std::string withRate(std::uint64_t version, int rate)
{
    return replaced(*withVersion(exampleText(), version), "requestsPerSecond: 3000",
                    "requestsPerSecond: " + std::to_string(rate));
}

/** A platform, and operators at work on it. */
struct Desk
{
    FakePlatform platform;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    Console console{in, out, err};
    DaemonAccess daemons{{}, 100ms};
    ContractStore store{platform, "bulrushctl-test", {3, [] {
                                                      }}};
    ContractCommands commands{store, daemons, console};
    const std::filesystem::path file = std::filesystem::temp_directory_path()
        / ("bulrush-contract-" + std::to_string(::getpid()) + ".yaml");

    ~Desk()
    {
        std::filesystem::remove(file);
    }

    ExitCode put(const std::string &text, const std::string &by, bool isConfirmed = true)
    {
        std::ofstream{file} << text;
        return commands.put(file.string(), {{by, "request-of-" + by}, isConfirmed, {}});
    }

    std::uint64_t version() const
    {
        return platform.row(contractRow).version;
    }

    std::string holder() const
    {
        return platform.row(contractRow).value["changedBy"].asString();
    }

    /** All that was printed, without the temporary file's path. */
    std::string printed() const
    {
        std::string text = "out:\n" + out.str() + "err:\n" + err.str();
        for (std::size_t at = text.find(file.string()); at != std::string::npos;
             at = text.find(file.string()))
            text.replace(at, file.string().size(), "contract.yaml");
        return text;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(puttingAndEditingAContract)
{
    Desk desk;
    BOOST_CHECK(desk.put(exampleText(), "an") == ExitCode::Done);
    BOOST_TEST(desk.version() == 1u);
    BOOST_CHECK(desk.commands.get(leuvensport, {}) == ExitCode::Done);
    BOOST_TEST(desk.out.str().find("\nversion: 1\n") != std::string::npos);

    desk.out.str({});
    desk.err.str({});
    BOOST_CHECK(desk.put(withRate(1, 3500), "bo") == ExitCode::Done);
    BOOST_CHECK(desk.commands.list() == ExitCode::Done);
    BOOST_CHECK(desk.commands.history(leuvensport) == ExitCode::Done);
    test::checkGolden("bulrushctl/contract-put.txt", desk.printed());
}

BOOST_AUTO_TEST_CASE(puttingTheSameAgainChangesNothing)
{
    Desk desk;
    desk.put(exampleText(), "an");
    BOOST_CHECK(desk.put(*withVersion(exampleText(), 1), "bo") == ExitCode::Done);
    BOOST_TEST(desk.version() == 1u);
}

BOOST_AUTO_TEST_CASE(staleVersionIsRefusedWithTheDifference)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.put(withRate(1, 3500), "bo");
    desk.out.str({});
    desk.err.str({});

    BOOST_CHECK(desk.put(withRate(1, 2000), "an") == ExitCode::Conflict);
    BOOST_TEST(desk.version() == 2u);
    test::checkGolden("bulrushctl/contract-stale.txt", desk.printed());
}

BOOST_AUTO_TEST_CASE(oneOfTwoOperatorsWinsAndTheOtherIsTold)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.err.str({});
    desk.out.str({});
    desk.platform.beforeTransact = [&] {
        ContractStore other{desk.platform, "bulrushctl-other", {}};
        const ChangeResult first =
            other.apply({leuvensport, 1, withRate(1, 3500), {"bo", "request-of-bo"}});
        BOOST_CHECK(first.outcome == ChangeOutcome::Accepted);
    };
    BOOST_CHECK(desk.put(withRate(1, 2000), "an") == ExitCode::Conflict);
    BOOST_TEST(desk.version() == 2u);
    BOOST_TEST(desk.holder() == "bo");
    test::checkGolden("bulrushctl/contract-race.txt", desk.printed());
}

BOOST_AUTO_TEST_CASE(lostAnswerOfAWriteThatTookEffectIsASuccess)
{
    Desk desk;
    desk.platform.faults = {Fault::LostAfterEffect};
    BOOST_CHECK(desk.put(exampleText(), "an") == ExitCode::Done);
    BOOST_TEST(desk.version() == 1u);
    BOOST_TEST(desk.platform.transactions == 1);
}

BOOST_AUTO_TEST_CASE(lostAnswerOfAWriteThatTookNoEffectIsSentAgain)
{
    Desk desk;
    desk.platform.faults = {Fault::LostWithoutEffect};
    BOOST_CHECK(desk.put(exampleText(), "an") == ExitCode::Done);
    BOOST_TEST(desk.version() == 1u);
    BOOST_TEST(desk.platform.transactions == 2);
}

BOOST_AUTO_TEST_CASE(writeThatTakesEffectLateTakesItOnce)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.platform.faults = {Fault::LostAndEffectLater};
    BOOST_CHECK(desk.put(withRate(1, 3500), "bo") == ExitCode::Done);
    BOOST_TEST(desk.version() == 2u);
}

BOOST_AUTO_TEST_CASE(lostAnswerBehindAnothersChangeIsAConflict)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.platform.faults = {Fault::LostWithoutEffect};
    desk.platform.beforeTransact = [&] {
        Json::Value others{Json::objectValue};
        others["text"] = withRate(2, 9000);
        others["changedBy"] = "bo";
        others["requestId"] = "request-of-bo";
        desk.platform.set(contractRow, others);
    };
    BOOST_CHECK(desk.put(withRate(1, 3500), "an") == ExitCode::Conflict);
    BOOST_TEST(desk.holder() == "bo");
}

BOOST_AUTO_TEST_CASE(nextVersionOfAnotherIsNotTakenForOnesOwn)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.platform.faults = {Fault::LostWithoutEffect};
    desk.platform.beforeTransact = [&] {
        // The other operator's transaction is sent from within ours, and meets no fault.
        const auto faults = std::exchange(desk.platform.faults, {});
        ContractStore other{desk.platform, "bulrushctl-other", {}};
        other.apply({leuvensport, 1, withRate(1, 9000), {"bo", "request-of-bo"}});
        desk.platform.faults = faults;
    };
    BOOST_CHECK(desk.put(withRate(1, 3500), "an") == ExitCode::Conflict);
    BOOST_TEST(desk.version() == 2u);
    BOOST_TEST(desk.holder() == "bo");
}

BOOST_AUTO_TEST_CASE(ownChangeThatWasOvertakenIsStillASuccess)
{
    Desk desk;
    desk.put(exampleText(), "an");
    // The answer and the first look at the row are lost; meanwhile another edits what was put.
    desk.platform.faults = {Fault::LostAfterEffect, Fault::None};
    desk.platform.isReadingDown = true;
    ContractStore store{
        desk.platform,
        "bulrushctl-test",
        {3, [&] {
             if (!std::exchange(desk.platform.isReadingDown, false))
                 return;
             ContractStore other{desk.platform, "bulrushctl-other", {}};
             other.apply({leuvensport, 2, withRate(2, 100), {"bo", "request-of-bo"}});
         }}};
    const ChangeResult result =
        store.apply({leuvensport, 1, withRate(1, 3500), {"an", "request-of-an-2"}});
    BOOST_CHECK(result.outcome == ChangeOutcome::Accepted);
    BOOST_TEST(result.version == 2u);
    BOOST_TEST(desk.version() == 3u);
}

BOOST_AUTO_TEST_CASE(outcomeThatCantBeSettledIsCalledUnknown)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.out.str({});
    desk.err.str({});
    desk.platform.faults = {Fault::LostWithoutEffect, Fault::LostWithoutEffect,
                            Fault::LostWithoutEffect};
    BOOST_CHECK(desk.put(withRate(1, 3500), "bo") == ExitCode::Unknown);
    test::checkGolden("bulrushctl/contract-unknown.txt", desk.printed());
}

BOOST_AUTO_TEST_CASE(unreachablePlatformChangesNothing)
{
    Desk desk;
    desk.platform.faults = {Fault::NotSent, Fault::NotSent, Fault::NotSent};
    BOOST_CHECK(desk.put(exampleText(), "an") == ExitCode::Unreachable);
    BOOST_TEST(desk.version() == 0u);
    desk.platform.isReadingDown = true;
    BOOST_CHECK(desk.put(exampleText(), "an") == ExitCode::Unreachable);
}

BOOST_AUTO_TEST_CASE(versionGoesOnWhereTheRowHadBeenDeleted)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.put(withRate(1, 3500), "bo");
    desk.platform.remove(contractRow);

    BOOST_CHECK(desk.put(exampleText(), "cy") == ExitCode::Done);
    const TableRow row = desk.platform.row(contractRow);
    BOOST_TEST(row.version > 2u);
    BOOST_TEST(row.value["version"].asUInt64() == row.version);
    const std::string line = "\nversion: " + std::to_string(row.version) + "\n";
    BOOST_TEST(row.value["text"].asString().find(line) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(nothingIsPutWithoutAYes)
{
    Desk desk;
    desk.in.str("n\n");
    BOOST_CHECK(desk.put(exampleText(), "an", false) == ExitCode::Refused);
    BOOST_CHECK(desk.put(exampleText(), "an", false) == ExitCode::Refused);
    BOOST_TEST(desk.platform.transactions == 0);
    desk.in.clear();
    desk.in.str("y\n");
    BOOST_CHECK(desk.put(exampleText(), "an", false) == ExitCode::Done);
}

BOOST_AUTO_TEST_CASE(wrongContractIsNeverSent)
{
    Desk desk;
    const std::string wrong = replaced(exampleText(), "deadline: 800ms", "deadline: 800");
    BOOST_CHECK(desk.put(wrong, "an") == ExitCode::Refused);
    BOOST_TEST(desk.platform.transactions == 0);
    test::checkGolden("bulrushctl/contract-wrong.txt", desk.printed());
}

BOOST_AUTO_TEST_CASE(rollbackIsANewVersionWithTheOldText)
{
    Desk desk;
    desk.put(exampleText(), "an");
    desk.put(withRate(1, 3500), "bo");
    const ChangeOptions options{{"cy", "request-of-cy"}, true, {}};
    BOOST_CHECK(desk.commands.rollback(leuvensport, 1, options) == ExitCode::Done);
    BOOST_TEST(desk.version() == 3u);
    BOOST_TEST(desk.platform.row(contractRow).value["text"].asString()
               == *withVersion(exampleText(), 3));
    BOOST_CHECK(desk.commands.rollback(leuvensport, 7, options) == ExitCode::Refused);
}

BOOST_AUTO_TEST_CASE(onlyTheFieldsOwnLineIsChanged)
{
    const std::string text = replaced(exampleText(), "version: 0", "version: 0   # as read");
    const auto changed = withVersion(text, 12);
    BOOST_REQUIRE(changed);
    BOOST_TEST(*changed == replaced(text, "version: 0   #", "version: 12   #"));
    BOOST_TEST(!withVersion(replaced(text, "version: 0", "\"version\": 0"), 12).has_value());
    BOOST_TEST(!withVersion("version: 1\n", 2).has_value());
}

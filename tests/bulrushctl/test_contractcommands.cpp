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
const RowId contractRowId{"contract", "leuvensport"};

std::string exampleText()
{
    return test::fileText(std::filesystem::path{BULRUSH_SOURCE_DIR}
                          / "examples/leuvensport/contract.yaml");
}

std::string withReplacement(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

/** \returns the example contract, based on \a version, with another request rate. */
std::string withRate(std::uint64_t version, int rate)
{
    return withReplacement(*withVersion(exampleText(), version), "requestsPerSecond: 3000",
                           "requestsPerSecond: " + std::to_string(rate));
}

/** A fake platform with the contract commands that operators run against it. */
struct ContractFixture
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

    ~ContractFixture()
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
        return platform.row(contractRowId).version;
    }

    std::string changedBy() const
    {
        return platform.row(contractRowId).value["changedBy"].asString();
    }

    /** \returns all output, with the path of the temporary file replaced by a fixed name. */
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

BOOST_AUTO_TEST_CASE(contractCanBeCreatedAndChanged)
{
    ContractFixture fixture;
    BOOST_CHECK(fixture.put(exampleText(), "an") == ExitCode::Done);
    BOOST_TEST(fixture.version() == 1u);
    BOOST_CHECK(fixture.commands.get(leuvensport, {}) == ExitCode::Done);
    BOOST_TEST(fixture.out.str().find("\nversion: 1\n") != std::string::npos);

    fixture.out.str({});
    fixture.err.str({});
    BOOST_CHECK(fixture.put(withRate(1, 3500), "bo") == ExitCode::Done);
    BOOST_CHECK(fixture.commands.list() == ExitCode::Done);
    BOOST_CHECK(fixture.commands.history(leuvensport) == ExitCode::Done);
    test::checkGolden("bulrushctl/contract-put.txt", fixture.printed());
}

BOOST_AUTO_TEST_CASE(unchangedContractIsNotWritten)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    BOOST_CHECK(fixture.put(*withVersion(exampleText(), 1), "bo") == ExitCode::Done);
    BOOST_TEST(fixture.version() == 1u);
}

BOOST_AUTO_TEST_CASE(staleVersionIsRefusedWithTheDifference)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.put(withRate(1, 3500), "bo");
    fixture.out.str({});
    fixture.err.str({});

    BOOST_CHECK(fixture.put(withRate(1, 2000), "an") == ExitCode::Conflict);
    BOOST_TEST(fixture.version() == 2u);
    test::checkGolden("bulrushctl/contract-stale.txt", fixture.printed());
}

BOOST_AUTO_TEST_CASE(concurrentChangeIsReportedAsConflict)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.err.str({});
    fixture.out.str({});
    fixture.platform.beforeTransact = [&] {
        ContractStore other{fixture.platform, "bulrushctl-other", {}};
        const ChangeResult first =
            other.apply({leuvensport, 1, withRate(1, 3500), {"bo", "request-of-bo"}});
        BOOST_CHECK(first.outcome == ChangeOutcome::Accepted);
    };
    BOOST_CHECK(fixture.put(withRate(1, 2000), "an") == ExitCode::Conflict);
    BOOST_TEST(fixture.version() == 2u);
    BOOST_TEST(fixture.changedBy() == "bo");
    test::checkGolden("bulrushctl/contract-race.txt", fixture.printed());
}

BOOST_AUTO_TEST_CASE(lostAnswerOfAWriteThatTookEffectIsASuccess)
{
    ContractFixture fixture;
    fixture.platform.faults = {Fault::AnswerLostAfterCommit};
    BOOST_CHECK(fixture.put(exampleText(), "an") == ExitCode::Done);
    BOOST_TEST(fixture.version() == 1u);
    BOOST_TEST(fixture.platform.transactions == 1);
}

BOOST_AUTO_TEST_CASE(writeThatTookNoEffectIsSentAgainAfterALostAnswer)
{
    ContractFixture fixture;
    fixture.platform.faults = {Fault::LostBeforeCommit};
    BOOST_CHECK(fixture.put(exampleText(), "an") == ExitCode::Done);
    BOOST_TEST(fixture.version() == 1u);
    BOOST_TEST(fixture.platform.transactions == 2);
}

BOOST_AUTO_TEST_CASE(delayedWriteTakesEffectOnlyOnce)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.platform.faults = {Fault::AnswerLostCommitDelayed};
    BOOST_CHECK(fixture.put(withRate(1, 3500), "bo") == ExitCode::Done);
    BOOST_TEST(fixture.version() == 2u);
}

BOOST_AUTO_TEST_CASE(lostAnswerFollowedByAnotherChangeIsAConflict)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.platform.faults = {Fault::LostBeforeCommit};
    fixture.platform.beforeTransact = [&] {
        Json::Value otherValue{Json::objectValue};
        otherValue["text"] = withRate(2, 9000);
        otherValue["changedBy"] = "bo";
        otherValue["requestId"] = "request-of-bo";
        fixture.platform.set(contractRowId, otherValue);
    };
    BOOST_CHECK(fixture.put(withRate(1, 3500), "an") == ExitCode::Conflict);
    BOOST_TEST(fixture.changedBy() == "bo");
}

BOOST_AUTO_TEST_CASE(sameVersionByAnotherAuthorIsAConflict)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.platform.faults = {Fault::LostBeforeCommit};
    fixture.platform.beforeTransact = [&] {
        // The other operator's transaction runs within this one, so the fault that is meant for
        // this one is suspended.
        const auto faults = std::exchange(fixture.platform.faults, {});
        ContractStore other{fixture.platform, "bulrushctl-other", {}};
        other.apply({leuvensport, 1, withRate(1, 9000), {"bo", "request-of-bo"}});
        fixture.platform.faults = faults;
    };
    BOOST_CHECK(fixture.put(withRate(1, 3500), "an") == ExitCode::Conflict);
    BOOST_TEST(fixture.version() == 2u);
    BOOST_TEST(fixture.changedBy() == "bo");
}

BOOST_AUTO_TEST_CASE(ownChangeThatWasSupersededIsStillASuccess)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    // The answer is lost and the first read fails. Before the retry after that, another operator
    // edits the contract that was written.
    fixture.platform.faults = {Fault::AnswerLostAfterCommit, Fault::None};
    fixture.platform.areReadsFailing = true;
    ContractStore store{
        fixture.platform,
        "bulrushctl-test",
        {3, [&] {
             if (!std::exchange(fixture.platform.areReadsFailing, false))
                 return;
             ContractStore other{fixture.platform, "bulrushctl-other", {}};
             other.apply({leuvensport, 2, withRate(2, 100), {"bo", "request-of-bo"}});
         }}};
    const ChangeResult result =
        store.apply({leuvensport, 1, withRate(1, 3500), {"an", "request-of-an-2"}});
    BOOST_CHECK(result.outcome == ChangeOutcome::Accepted);
    BOOST_TEST(result.version == 2u);
    BOOST_TEST(fixture.version() == 3u);
}

BOOST_AUTO_TEST_CASE(unresolvedOutcomeIsReportedAsUnknown)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.out.str({});
    fixture.err.str({});
    fixture.platform.faults = {Fault::LostBeforeCommit, Fault::LostBeforeCommit,
                               Fault::LostBeforeCommit};
    BOOST_CHECK(fixture.put(withRate(1, 3500), "bo") == ExitCode::Unknown);
    test::checkGolden("bulrushctl/contract-unknown.txt", fixture.printed());
}

BOOST_AUTO_TEST_CASE(unreachablePlatformChangesNothing)
{
    ContractFixture fixture;
    fixture.platform.faults = {Fault::NotSent, Fault::NotSent, Fault::NotSent};
    BOOST_CHECK(fixture.put(exampleText(), "an") == ExitCode::Unreachable);
    BOOST_TEST(fixture.version() == 0u);
    fixture.platform.areReadsFailing = true;
    BOOST_CHECK(fixture.put(exampleText(), "an") == ExitCode::Unreachable);
}

BOOST_AUTO_TEST_CASE(versionContinuesAfterTheRowWasDeleted)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.put(withRate(1, 3500), "bo");
    fixture.platform.remove(contractRowId);

    BOOST_CHECK(fixture.put(exampleText(), "cy") == ExitCode::Done);
    const TableRow row = fixture.platform.row(contractRowId);
    BOOST_TEST(row.version > 2u);
    BOOST_TEST(row.value["version"].asUInt64() == row.version);
    const std::string line = "\nversion: " + std::to_string(row.version) + "\n";
    BOOST_TEST(row.value["text"].asString().find(line) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(nothingIsWrittenWithoutConfirmation)
{
    ContractFixture fixture;
    fixture.in.str("n\n");
    BOOST_CHECK(fixture.put(exampleText(), "an", false) == ExitCode::Refused);
    BOOST_CHECK(fixture.put(exampleText(), "an", false) == ExitCode::Refused);
    BOOST_TEST(fixture.platform.transactions == 0);
    fixture.in.clear();
    fixture.in.str("y\n");
    BOOST_CHECK(fixture.put(exampleText(), "an", false) == ExitCode::Done);
}

BOOST_AUTO_TEST_CASE(invalidContractIsNeverSent)
{
    ContractFixture fixture;
    const std::string wrong = withReplacement(exampleText(), "deadline: 800ms", "deadline: 800");
    BOOST_CHECK(fixture.put(wrong, "an") == ExitCode::Refused);
    BOOST_TEST(fixture.platform.transactions == 0);
    test::checkGolden("bulrushctl/contract-wrong.txt", fixture.printed());
}

BOOST_AUTO_TEST_CASE(rollbackWritesTheOldTextAsANewVersion)
{
    ContractFixture fixture;
    fixture.put(exampleText(), "an");
    fixture.put(withRate(1, 3500), "bo");
    const ChangeOptions options{{"cy", "request-of-cy"}, true, {}};
    BOOST_CHECK(fixture.commands.rollback(leuvensport, 1, options) == ExitCode::Done);
    BOOST_TEST(fixture.version() == 3u);
    BOOST_TEST(fixture.platform.row(contractRowId).value["text"].asString()
               == *withVersion(exampleText(), 3));
    BOOST_CHECK(fixture.commands.rollback(leuvensport, 7, options) == ExitCode::Refused);
}

BOOST_AUTO_TEST_CASE(onlyTheVersionLineIsChanged)
{
    const std::string text = withReplacement(exampleText(), "version: 0", "version: 0   # as read");
    const auto changed = withVersion(text, 12);
    BOOST_REQUIRE(changed);
    BOOST_TEST(*changed == withReplacement(text, "version: 0   #", "version: 12   #"));
    BOOST_TEST(!withVersion(withReplacement(text, "version: 0", "\"version\": 0"), 12).has_value());
    BOOST_TEST(!withVersion("version: 1\n", 2).has_value());
}

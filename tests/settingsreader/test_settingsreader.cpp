#define BOOST_TEST_MODULE SettingsReader

#include "../support/goldentext.h"

#include "process/settingsreader.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>

using namespace bulrush;
using namespace bulrush::io;
using namespace std::chrono_literals;

namespace {

const std::filesystem::path sourceFolder{BULRUSH_SOURCE_DIR};

/** Reads files by relative path, so that problems contain the same paths on every machine. */
SettingsResult readInvalid(const std::string &name)
{
    std::filesystem::current_path(sourceFolder / "tests/settingsreader/wrong");
    return readSettings(name + ".yaml");
}

void checkInvalid(const std::string &name, ConfigError error)
{
    const SettingsResult reading = readInvalid(name);
    BOOST_CHECK_EQUAL(reading.error, make_error_code(error));
    BOOST_TEST(!reading.problems.empty());

    std::string text;
    for (const ConfigProblem &problem : reading.problems)
        text += toString(problem) + "\n";
    test::checkGolden("settingsreader/" + name + ".txt", text);
}

std::size_t serversOf(const DaemonSettings &settings, const char *service)
{
    return std::ranges::count(settings.servers, ServiceName{service}, &BackendServer::service);
}

} // namespace

BOOST_AUTO_TEST_CASE(leuvensportExampleHasTheRequiredSizes)
{
    const auto reading =
        readSettings((sourceFolder / "examples/leuvensport/antwerp-1.yaml").string());
    BOOST_REQUIRE_MESSAGE(!reading.error, reading.error.message());

    const DaemonSettings &settings = reading.settings;
    BOOST_TEST(serversOf(settings, "catalogue") == 14u);
    BOOST_TEST(serversOf(settings, "payments") == 7u);
    BOOST_TEST(serversOf(settings, "fieldops") == 6u);
    BOOST_TEST(settings.servers.front().slots == 3u);
    BOOST_TEST(settings.servers.front().connectionLimit == 110u);
    BOOST_TEST(settings.servers.front().checksFence);
    BOOST_TEST(settings.domains.size() == 3u);
    BOOST_TEST(settings.seeds.size() == 9u);
    BOOST_CHECK(settings.addresses.peers == (Endpoint{"127.0.0.11", 8081}));
    BOOST_CHECK(settings.drainTime == 90s);
    BOOST_TEST(settings.limits.maxBodyBytes == 128u << 20);
}

BOOST_AUTO_TEST_CASE(hinokuniExampleHasTheRequiredSizes)
{
    const auto reading =
        readSettings((sourceFolder / "examples/hinokuni/kumamoto-1.yaml").string());
    BOOST_REQUIRE_MESSAGE(!reading.error, reading.error.message());

    const DaemonSettings &settings = reading.settings;
    BOOST_TEST(serversOf(settings, "status") == 19u);
    BOOST_TEST(serversOf(settings, "submission") == 13u);
    BOOST_TEST(serversOf(settings, "documents") == 6u);
    BOOST_TEST(settings.servers.front().connectionLimit == 130u);
    BOOST_TEST(!settings.servers.front().checksFence);
    BOOST_TEST(settings.seeds.size() == 9u);
}

BOOST_AUTO_TEST_CASE(examplesContainTheDefaultLeases)
{
    const auto reading =
        readSettings((sourceFolder / "examples/hinokuni/kumamoto-1.yaml").string());
    BOOST_REQUIRE(!reading.error);
    BOOST_CHECK(reading.settings.leases == LeaseTimings{});
    BOOST_CHECK(recoveryBudget(LeaseTimings{}) < recoveryBound);
}

BOOST_AUTO_TEST_CASE(everyWrongFieldIsReportedInOneReading)
{
    checkInvalid("many-fields", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(missingFieldsAreReported)
{
    checkInvalid("missing-fields", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(fieldsThatClashAreReportedWithTheReason)
{
    checkInvalid("clashes", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(inconsistentLeaseLengthsAreReported)
{
    checkInvalid("lease-order", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(leasesOverTheRecoveryBoundAreReported)
{
    checkInvalid("recovery", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(problemsNameTheIncludedFile)
{
    checkInvalid("included", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(includedFilesIncludeNoOthers)
{
    checkInvalid("nested-include", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(missingFilesAreReported)
{
    checkInvalid("not-there", ConfigError::Unreadable);
    checkInvalid("includes-missing", ConfigError::Unreadable);
}

BOOST_AUTO_TEST_CASE(folderInPlaceOfAFileIsReported)
{
    std::filesystem::current_path(sourceFolder);
    BOOST_CHECK_EQUAL(readSettings("examples").error, make_error_code(ConfigError::Unreadable));
}

BOOST_AUTO_TEST_CASE(invalidYamlIsReported)
{
    checkInvalid("no-yaml", ConfigError::NotYaml);
    checkInvalid("two-documents", ConfigError::NotYaml);
    checkInvalid("empty", ConfigError::NotYaml);
    checkInvalid("a-list", ConfigError::Invalid);
}

BOOST_AUTO_TEST_CASE(everyWrongFileHasATest)
{
    std::size_t files = 0;
    for (const auto &entry :
         std::filesystem::directory_iterator{sourceFolder / "tests/settingsreader/wrong"}) {
        if (entry.path().filename().string().starts_with("part-"))
            continue;
        ++files;
        const auto golden = std::filesystem::path{BULRUSH_GOLDEN_DIR} / "settingsreader"
            / entry.path().filename().replace_extension(".txt");
        BOOST_TEST(std::filesystem::exists(golden), golden);
    }
    BOOST_TEST(files >= 10u);
}

#define BOOST_TEST_MODULE EntrySettings

#include "process/entrysettingsreader.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
        : m_path((std::filesystem::temp_directory_path()
                  / ("bulrush-entrysettings-" + std::to_string(::getpid()) + ".yaml"))
                     .string())
    {
        std::ofstream{m_path} << text;
    }

    ~SettingsFile()
    {
        std::filesystem::remove(m_path);
    }

    SettingsFile(const SettingsFile &) = delete;
    SettingsFile &operator=(const SettingsFile &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

const std::string validSettings = R"(host: front-1
domain: leuven-lab
store: "10.200.1.7:8384"
addresses:
  callers: "10.1.0.18:8381"
  peers: "10.1.0.18:7200"
  operators: "10.1.0.18:8388"
)";

std::string problemsOf(const std::string &text)
{
    const SettingsFile file{text};
    std::string all;
    for (const io::ConfigProblem &problem : io::readEntrySettings(file.path()).problems)
        all += io::toString(problem) + '\n';
    return all;
}

/** Replaces the placeholders of the template with plain values, as the platform does. */
std::string fillTemplate(std::string text)
{
    const std::pair<std::string, std::string> values[] = {
        {"{{node}}", "front-1"},
        {"{{zone}}", "leuven-lab"},
        {"{{platform.address}}", "10.200.1.7:8384"},
        {"{{listen.front}}", "10.1.0.18:8381"},
        {"{{listen.ready}}", "10.1.0.18:8388"},
        {"{{ip}}", "10.1.0.18"},
        {"{{internalPortRange.0}}", "7200"},
        {"{{internalPortRange.1}}", "7215"},
        {"{{limits.cpuShare}}", "0.1"},
        {"{{#limits.cpuShare}}\n", ""},
        {"{{/limits.cpuShare}}\n", ""},
        {"{{limits.linkMbps}}", "20"},
        {"{{#limits.linkMbps}}\n", ""},
        {"{{/limits.linkMbps}}\n", ""},
        {"{{bounds.drainS}}", "2.5"},
        {"{{#bounds.drainS}}\n", ""},
        {"{{/bounds.drainS}}\n", ""},
        {"{{bounds.configApplyS}}", "3"},
        {"{{#bounds.configApplyS}}\n", ""},
        {"{{/bounds.configApplyS}}\n", ""},
        {"{{bounds.evacuateS}}", "4.5"},
        {"{{#bounds.evacuateS}}\n", ""},
        {"{{/bounds.evacuateS}}\n", ""},
        {"{{bounds.graceS}}", "10"},
        {"{{#bounds.graceS}}\n", ""},
        {"{{/bounds.graceS}}\n", ""},
        {"{{heartbeatS}}", "1.5"},
        {"{{limits.memoryMb}}", "260"},
        {"{{#limits.memoryMb}}\n", ""},
        {"{{/limits.memoryMb}}\n", ""},
        {"{{#heartbeatS}}\n", ""},
        {"{{/heartbeatS}}\n", ""},
        {"{{bounds.budgetSlack}}", "64"},
        {"{{bounds.retryBudgetRatio}}", "0.25"},
        {"{{#bounds.budgetSlack}}\n", ""},
        {"{{/bounds.budgetSlack}}\n", ""},
        {"{{#bounds.retryBudgetRatio}}\n", ""},
        {"{{/bounds.retryBudgetRatio}}\n", ""},
    };
    for (const auto &[name, value] : values) {
        for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name))
            text.replace(at, name.size(), value);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(settingsAreRead)
{
    const SettingsFile file{validSettings + "drainTime: 4s\nlogLevel: warning\n"};
    BOOST_TEST(io::hasStore(file.path()));
    const io::EntrySettingsResult reading = io::readEntrySettings(file.path());
    BOOST_REQUIRE(!reading.error);
    BOOST_TEST(reading.settings.host.value() == "front-1");
    BOOST_TEST(reading.settings.store.port == 8384);
    BOOST_TEST(reading.settings.peers.port == 7200);
    BOOST_TEST((reading.settings.drainTime == 4s));
    BOOST_TEST((reading.settings.logLevel == LogLevel::Warning));
}

BOOST_AUTO_TEST_CASE(theTemplateOfTheDeployFileGivesUsableSettings)
{
    std::ostringstream text;
    text << std::ifstream{BULRUSH_SOURCE_DIR "/deploy/settings.yaml.template"}.rdbuf();
    const SettingsFile file{fillTemplate(text.str())};
    const io::EntrySettingsResult reading = io::readEntrySettings(file.path());
    BOOST_TEST(!reading.error);
    BOOST_TEST(reading.settings.callers.port == 8381);
    BOOST_TEST(reading.settings.operators.port == 8388);
    BOOST_TEST((reading.settings.retries == RetryAllowance{0.25, 64.0}));
    BOOST_TEST(reading.settings.processors == 0.1);
    BOOST_TEST(reading.settings.linkMegabits == 20.0);
    BOOST_TEST((reading.settings.serverDrain == 2500ms));
    BOOST_TEST((reading.settings.serverRecords.heartbeat == 1500ms));
    BOOST_TEST(reading.settings.memoryBytes == 260'000'000U);
    BOOST_TEST((reading.settings.configInForce == 3s));
    BOOST_TEST((reading.settings.evacuation == 4500ms));
    BOOST_TEST((reading.settings.drainTime == 9500ms));
}

BOOST_AUTO_TEST_CASE(boundsAreSecondsWithFractions)
{
    const SettingsFile defaults{validSettings};
    const EntrySettings settings = io::readEntrySettings(defaults.path()).settings;
    BOOST_TEST((settings.serverDrain == 2s));
    BOOST_TEST((settings.configInForce == 2s));
    BOOST_TEST((settings.evacuation == 5s));
    BOOST_TEST((settings.serverRecords.heartbeat == 3s));
    BOOST_TEST((settings.drainTime == 5500ms));
    for (const std::string field :
         {"configInForceSeconds", "evacuationSeconds", "serverDrainSeconds",
          "serverHeartbeatSeconds", "shutdownGraceSeconds"}) {
        for (const std::string wrong : {"2s", "0", "-1", "soon", ""}) {
            const std::string problem = problemsOf(validSettings + field + ": " + wrong + "\n");
            BOOST_TEST(problem.find(field) != std::string::npos, wrong << ": " << problem);
        }
    }
    const SettingsFile heartbeat{validSettings + "serverHeartbeatSeconds: 0.87\n"};
    const EntrySettings read = io::readEntrySettings(heartbeat.path()).settings;
    BOOST_TEST((read.serverRecords.heartbeat == 870ms));
    // An explicit drain time takes precedence over the grace period.
    const SettingsFile both{validSettings + "shutdownGraceSeconds: 20\ndrainTime: 4s\n"};
    BOOST_TEST((io::readEntrySettings(both.path()).settings.drainTime == 4s));
}

BOOST_AUTO_TEST_CASE(processorsAreANumberOfCores)
{
    const SettingsFile defaults{validSettings};
    BOOST_TEST(io::readEntrySettings(defaults.path()).settings.processors == 1.0);
    const std::string problem = problemsOf(validSettings + "processors: half\n");
    BOOST_TEST(problem.find("processors") != std::string::npos, problem);
    BOOST_TEST(problem.find("a number from 0 to 1024") != std::string::npos, problem);
}

BOOST_AUTO_TEST_CASE(retriesAreNumbersWithinBounds)
{
    const SettingsFile file{validSettings + "retries:\n  slack: 12.5\n"};
    BOOST_TEST((io::readEntrySettings(file.path()).settings.retries == RetryAllowance{0.2, 12.5}));
    for (const std::string wrong : {"-1", "many", "0.2s", "1e3", ""}) {
        const std::string problem =
            problemsOf(validSettings + "retries:\n  ratio: " + wrong + "\n");
        BOOST_TEST(problem.find("retries.ratio") != std::string::npos, wrong << ": " << problem);
        BOOST_TEST(problem.find("a number from 0 to 10") != std::string::npos, problem);
    }
}

BOOST_AUTO_TEST_CASE(problemsNameTheirFieldAndLine)
{
    const auto without = [](std::string text, const std::string &line) {
        return text.erase(text.find(line), line.size());
    };
    const std::string missing = problemsOf(without(validSettings, "domain: leuven-lab\n"));
    BOOST_TEST(missing.find("domain") != std::string::npos);
    const std::string wrong = problemsOf(without(validSettings, ":8384"));
    BOOST_TEST(wrong.find("store") != std::string::npos);
    BOOST_TEST(wrong.find(":3") != std::string::npos);
    const std::string unknown = problemsOf(validSettings + "stores: 1\n");
    BOOST_TEST(unknown.find("stores") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(settingsWithoutAStoreAreNotOfAnEntryDaemon)
{
    const SettingsFile file{"host: front-1\n"};
    BOOST_TEST(!io::hasStore(file.path()));
    BOOST_TEST(!io::hasStore("/nowhere/at/all.yaml"));
}

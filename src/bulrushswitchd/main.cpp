#include "daemon.h"
#include "entrydaemon.h"

#include "process/entrysettingsreader.h"
#include "process/logging.h"
#include "process/settingsreader.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace bulrush;

constexpr const char *exitCodes = "Exit codes: 0 ended with nothing in flight; 2 the command line "
                                  "can't be used; 3 the settings can't be used; 4 an address can't "
                                  "be listened on; 5 ended with requests in flight; 6 a later run "
                                  "of a daemon has taken this host's place.";

int codeOf(ExitCode code)
{
    return static_cast<int>(code);
}

int reportProblems(const io::ConfigProblems &problems, std::error_code error)
{
    for (const io::ConfigProblem &problem : problems)
        std::cerr << io::toString(problem) << '\n';
    std::cerr << "bulrushswitchd: " << error.message() << '\n';
    return codeOf(ExitCode::Settings);
}

int reportUsable(const std::string &settingsPath)
{
    std::cout << settingsPath << ": can be used\n";
    return codeOf(ExitCode::Ok);
}

ExitCode codeOf(EntryResult end)
{
    switch (end) {
    case EntryResult::Drained:
        return ExitCode::Ok;
    case EntryResult::ListenFailed:
        return ExitCode::Listen;
    case EntryResult::CutOff:
        break;
    }
    return ExitCode::CutOff;
}

/** Runs an entry daemon on a metadata store. */
int runEntry(const std::string &settingsPath, bool isCheckOnly)
{
    const io::EntrySettingsResult reading = io::readEntrySettings(settingsPath);
    if (reading.error)
        return reportProblems(reading.problems, reading.error);
    if (isCheckOnly)
        return reportUsable(settingsPath);
    io::startLogging(reading.settings.logLevel, reading.settings.host.value());
    const EntryResult end = EntryDaemon{reading.settings}.run();
    io::stopLogging();
    return codeOf(codeOf(end));
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Routes requests to backend servers that own keys exclusively."};
    app.footer(exitCodes);
    app.set_version_flag("--version", "bulrushswitchd " BULRUSH_VERSION);
    std::string settingsPath;
    app.add_option("--settings", settingsPath, "YAML file of settings")->required();
    bool isCheckOnly = false;
    app.add_flag("--check", isCheckOnly, "check the settings and end");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? codeOf(ExitCode::Ok) : codeOf(ExitCode::Usage);
    }

    if (io::hasStore(settingsPath))
        return runEntry(settingsPath, isCheckOnly);

    const io::SettingsResult reading = io::readSettings(settingsPath);
    if (reading.error)
        return reportProblems(reading.problems, reading.error);
    if (isCheckOnly)
        return reportUsable(settingsPath);
    io::startLogging(reading.settings.logLevel, reading.settings.host.value());
    const ExitCode code = Daemon{reading.settings}.run();
    io::stopLogging();
    return codeOf(code);
}

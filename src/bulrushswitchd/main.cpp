#include "daemon.h"
#include "entrydaemon.h"

#include "process/entrysettingsreader.h"
#include "process/logging.h"
#include "process/settingsreader.h"

#include <CLI/CLI.hpp>

#include <malloc.h>

#include <iostream>

namespace {

using namespace bulrush;

constexpr const char *exitCodes = "Exit codes: 0 stopped with no requests in flight; 2 invalid "
                                  "command line; 3 invalid settings; 4 cannot listen on an "
                                  "address; 5 stopped with requests in flight; 6 superseded by a "
                                  "newer daemon on this host.";

int toProcessExitCode(ExitCode code)
{
    return static_cast<int>(code);
}

int printProblems(const io::ConfigProblems &problems, std::error_code error)
{
    for (const io::ConfigProblem &problem : problems)
        std::cerr << io::toString(problem) << '\n';
    std::cerr << "bulrushswitchd: " << error.message() << '\n';
    return toProcessExitCode(ExitCode::Settings);
}

int printSettingsUsable(const std::string &settingsPath)
{
    std::cout << settingsPath << ": can be used\n";
    return toProcessExitCode(ExitCode::Ok);
}

ExitCode toExitCode(EntryResult end)
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

/**
 * Makes the allocator give the memory of freed bodies back to the system: it would otherwise raise
 * the size from which it does so to that of the largest body it has seen.
 */
void giveMemoryBack()
{
    constexpr int mapThreshold = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mapThreshold);
    ::mallopt(M_TRIM_THRESHOLD, mapThreshold);
}

/** Runs a daemon that stores its state in a metadata store. */
int runEntry(const std::string &settingsPath, bool isCheckOnly)
{
    const io::EntrySettingsResult result = io::readEntrySettings(settingsPath);
    if (result.error)
        return printProblems(result.problems, result.error);
    if (isCheckOnly)
        return printSettingsUsable(settingsPath);
    giveMemoryBack();
    io::startLogging(result.settings.logLevel, result.settings.host.value());
    const EntryResult end = EntryDaemon{result.settings}.run();
    io::stopLogging();
    return toProcessExitCode(toExitCode(end));
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
    app.add_flag("--check", isCheckOnly, "check the settings and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? toProcessExitCode(ExitCode::Ok)
                                    : toProcessExitCode(ExitCode::Usage);
    }

    if (io::hasStore(settingsPath))
        return runEntry(settingsPath, isCheckOnly);

    const io::SettingsResult result = io::readSettings(settingsPath);
    if (result.error)
        return printProblems(result.problems, result.error);
    if (isCheckOnly)
        return printSettingsUsable(settingsPath);
    io::startLogging(result.settings.logLevel, result.settings.host.value());
    const ExitCode code = Daemon{result.settings}.run();
    io::stopLogging();
    return toProcessExitCode(code);
}

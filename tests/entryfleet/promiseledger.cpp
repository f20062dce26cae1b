#include "entryfleet/promiseledger.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <string_view>
#include <utility>

namespace bulrush::test {

namespace {

/** The statuses that callers take as a promise that the request has not run and never will. */
constexpr std::array notRunStatuses{408, 421, 429, 503};

constexpr std::string_view runFileExtension = ".runs";

} // namespace

PromiseLedger::PromiseLedger(std::string folder)
    : m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
}

std::string PromiseLedger::runFile(const std::string &id) const
{
    return m_folder + '/' + id + std::string{runFileExtension};
}

void PromiseLedger::recordAnswer(const std::string &request, int status)
{
    const std::scoped_lock lock{m_mutex};
    m_answers[request].insert(status);
}

std::size_t PromiseLedger::promiseCount() const
{
    const std::scoped_lock lock{m_mutex};
    std::size_t count = 0;
    for (const auto &[request, statuses] : m_answers)
        count += std::ranges::any_of(statuses, isPromise) ? 1 : 0;
    return count;
}

std::vector<std::string> PromiseLedger::brokenPromises() const
{
    const auto allRuns = runs();
    const std::scoped_lock lock{m_mutex};
    std::vector<std::string> broken;
    for (const auto &[request, statuses] : m_answers) {
        const auto promise = std::ranges::find_if(statuses, isPromise);
        const auto ran = allRuns.find(request);
        if (promise == statuses.end() || ran == allRuns.end())
            continue;
        broken.push_back(request + ' ' + ran->second.front().path + " was answered "
                         + std::to_string(*promise) + " and run by " + serversOf(ran->second));
    }
    return broken;
}

std::vector<std::string> PromiseLedger::repeatedRuns(const std::vector<std::string> &prefixes) const
{
    std::vector<std::string> repeated;
    for (const auto &[request, ran] : runs()) {
        const std::string &path = ran.front().path;
        const bool runsOnce = std::ranges::any_of(
            prefixes, [&path](const std::string &prefix) { return path.starts_with(prefix); });
        if (!runsOnce || ran.size() < 2)
            continue;
        std::string text = request;
        text += ' ';
        text += path;
        text += " was run by ";
        text += serversOf(ran);
        repeated.push_back(std::move(text));
    }
    return repeated;
}

std::map<std::string, std::vector<PromiseLedger::Run>> PromiseLedger::runs() const
{
    std::map<std::string, std::vector<Run>> all;
    for (const auto &file : std::filesystem::directory_iterator{m_folder}) {
        if (file.path().extension() != runFileExtension)
            continue;
        std::ifstream lines{file.path()};
        std::string request;
        std::string path;
        while (lines >> request >> path)
            all[request].push_back({file.path().stem().string(), path});
    }
    return all;
}

bool PromiseLedger::isPromise(int status)
{
    return std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
}

std::string PromiseLedger::serversOf(const std::vector<Run> &runs)
{
    std::string servers;
    for (const Run &run : runs)
        servers += (servers.empty() ? "" : ", ") + run.server;
    return servers;
}

} // namespace bulrush::test

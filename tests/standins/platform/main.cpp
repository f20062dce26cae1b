#include "http/listener.h"
#include "http/program.h"
#include "platform/platformserver.h"

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <json/reader.h>

#include <chrono>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

using namespace bulrush::standins;

namespace {

struct Options
{
    std::vector<std::string> listeners;
    std::string hostsFile;
    unsigned hostsLagMs = 0;
    bool endsWithParent = false;
};

Json::Value hostsFrom(const std::string &path)
{
    if (path.empty())
        return Json::arrayValue;

    std::ifstream file{path};
    Json::Value hosts;
    Json::CharReaderBuilder builder;
    if (!file || !Json::parseFromStream(builder, file, &hosts, nullptr) || !hosts.isArray())
        throw std::runtime_error("not a JSON array of hosts: " + path);

    return hosts;
}

void openListener(PlatformServer &server, const std::string &option)
{
    const std::size_t equals = option.find('=');
    if (equals == std::string::npos)
        throw std::invalid_argument("not NAME=IP:PORT: " + option);

    const std::string name = option.substr(0, equals);
    const std::string address = server.listen(name, parsedEndpoint(option.substr(equals + 1)));
    std::cout << "listening " << name << ' ' << address << std::endl;
}

void run(const Options &options)
{
    asio::io_context loop{1};
    PlatformServer server{
        loop,
        HostList{hostsFrom(options.hostsFile), std::chrono::milliseconds{options.hostsLagMs}}};
    for (const std::string &listener : options.listeners)
        openListener(server, listener);
    runUntilSignal(loop);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Stands in for the platform: table, objects and list of hosts, with faults."};
    app.add_option("--listen", options.listeners, "NAME=IP:PORT, one for each failure domain")
        ->required();
    app.add_option("--hosts", options.hostsFile, "JSON array of the hosts to list");
    app.add_option("--hosts-lag-ms", options.hostsLagMs, "how old the served list of hosts is");
    app.add_flag("--end-with-parent", options.endsWithParent, "end when the parent has");
    CLI11_PARSE(app, argc, argv);
    if (options.endsWithParent)
        terminateWithParent();

    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "platform-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

#include "http/listener.h"
#include "http/program.h"
#include "keyed/keyedserver.h"

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>

#include <chrono>
#include <exception>
#include <iostream>
#include <string>

using namespace bulrush::standins;

int main(int argc, char **argv)
{
    KeyedSettings settings;
    std::string endpoint;
    unsigned serviceMs = 5;
    unsigned coldMs = 0;
    CLI::App app{"Stands in for a backend server that holds keys by leases."};
    app.add_option("--listen", endpoint, "IP:PORT; port 0 lets the system choose");
    app.add_option("--id", settings.id, "of this run");
    app.add_option("--slots", settings.slots, "work done at once");
    app.add_option("--queue", settings.queueLimit, "work that may wait");
    app.add_option("--service-ms", serviceMs, "time for a piece of work");
    app.add_option("--clock-ppm", settings.clockSlowdownPpm, "how much slower its clock runs");
    app.add_flag("--keyed", settings.requiresGrant, "run requests only under a grant of their key");
    app.add_flag("--hang-when-full", settings.hangsWhenQueueFull,
                 "don't answer what can't be queued");
    app.add_option("--crash-on", settings.crashPathSubstring,
                   "work on paths with this text ends the process");
    app.add_option("--cold-ms", coldMs, "time after the start in which it bears few requests");
    app.add_option("--cold-limit", settings.coldRequestLimit,
                   "requests in one second of that time beyond which the process ends");
    app.add_option("--run-file", settings.runFile,
                   "file to which the id and the path of each request that runs are appended");
    CLI11_PARSE(app, argc, argv);
    terminateWithParent();
    settings.serviceTime = std::chrono::milliseconds{serviceMs};
    settings.coldTime = std::chrono::milliseconds{coldMs};
    try {
        const ListenerSettings listener = parsedEndpoint(endpoint);
        settings.listener.ip = listener.ip;
        settings.listener.port = listener.port;
        asio::io_context loop{1};
        const KeyedServer server{loop, settings};
        std::cout << "listening " << server.address() << std::endl;
        runUntilSignal(loop);
    } catch (const std::exception &error) {
        std::cerr << "keyed-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

#include "backend/backendserver.h"
#include "http/listener.h"
#include "http/program.h"

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>

#include <chrono>
#include <exception>
#include <iostream>
#include <string>

using namespace bulrush::standins;

namespace {

struct Options
{
    BackendSettings settings;
    std::string endpoint;
    unsigned serviceMs = 0;
    unsigned coldMs = 0;
    unsigned reportLagMs = 0;
    std::int64_t clockOffsetMs = 0;
    bool endsWithParent = false;
};

void addOptions(CLI::App &app, Options &options)
{
    BackendSettings &settings = options.settings;
    app.add_option("--listen", options.endpoint, "IP:PORT; port 0 lets the system choose");
    app.add_flag("--end-with-parent", options.endsWithParent, "end when the parent has");
    app.add_option("--name", settings.name, "name that answers carry");
    app.add_option("--slots", settings.slots, "work done at once");
    app.add_option("--queue", settings.queueLimit, "work that may wait");
    app.add_option("--connections", settings.listener.connectionLimit, "connections let in");
    app.add_option("--service-ms", options.serviceMs, "time for a piece of work");
    app.add_option("--cold-ms", options.coldMs, "how long the server is cold after its start");
    app.add_option("--cold-factor", settings.coldFactor, "how much longer work takes while cold");
    app.add_option("--cold-refuses", settings.refusesWhileCold, "refuse all work while cold");
    app.add_option("--clock-offset-ms", options.clockOffsetMs, "added to the server's clock");
    app.add_option("--report-lag-ms", options.reportLagMs, "how old the reported load is");
    app.add_option("--report-lie", settings.loadReportFactor, "factor on the reported load");
    app.add_option("--checks-fence", settings.checksFence, "compare fences with the grants held");
    app.add_option("--observed-limit", settings.observedLimit, "entries in the log of work");
}

BackendSettings settingsFrom(const Options &options)
{
    BackendSettings settings = options.settings;
    const ListenerSettings endpoint = parsedEndpoint(options.endpoint);
    settings.listener.ip = endpoint.ip;
    settings.listener.port = endpoint.port;
    settings.serviceTime = std::chrono::milliseconds{options.serviceMs};
    settings.coldTime = std::chrono::milliseconds{options.coldMs};
    settings.reportLag = std::chrono::milliseconds{options.reportLagMs};
    settings.clockOffset = std::chrono::milliseconds{options.clockOffsetMs};
    return settings;
}

void run(const Options &options)
{
    asio::io_context loop{1};
    const BackendServer server{loop, settingsFrom(options)};
    std::cout << "listening " << server.address() << std::endl;
    runUntilSignal(loop);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    options.settings.listener.connectionLimit = 110;
    CLI::App app{"Stands in for a backend server: slots, grants, load reports, wrong answers."};
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    if (options.endsWithParent)
        terminateWithParent();

    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "backend-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

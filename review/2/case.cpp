// Some servers of a service that is divided by key are cut off from the store, though not from the
// entry hosts; behind the cut they crash and start again under the same id.

#include "standins/fleet.h"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

const std::vector<std::string> zones = {"hall-a", "hall-b", "hall-c"};
constexpr int serverCount = 10;
/** In each round another two servers are cut off, a share of 0.2. */
constexpr int rounds = 5;
/** So that the servers' heartbeats are spread over the interval. */
constexpr int startGapMilliseconds = 150;
constexpr int clientCount = 12;
constexpr double heartbeatSeconds = 1.5;
constexpr Milliseconds startLimit{30'000};
constexpr int cutMilliseconds = 10'000;
constexpr int restartMilliseconds = 100;
constexpr int calmMilliseconds = 3000;
constexpr std::int64_t firstStartMs = 1'764'720'000'000;

ServerSpec statusServer(int number)
{
    ServerSpec spec;
    spec.id = "i-status-" + std::to_string(number);
    spec.service = "status-svc";
    spec.zone = zones[static_cast<std::size_t>(number) % zones.size()];
    spec.ip = "127.77.8." + std::to_string(number + 1);
    spec.minWork = Milliseconds{60};
    spec.maxWork = Milliseconds{120};
    spec.bornMs = firstStartMs + number;
    return spec;
}

void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds{milliseconds});
}

/** Cuts \a server off from the store, kills it, and starts it again at its address. */
void restartBehindCut(Fleet &fleet, std::shared_ptr<ServerRun> &server)
{
    const double cutUntil = nowSeconds() + cutMilliseconds / 1000.0;
    server->cutFromStore();
    const int port = server->port();
    ServerSpec next = server->spec();
    next.bornMs += 60'000;
    server->kill();
    sleepFor(restartMilliseconds);
    server = fleet.startServer(next, port, cutUntil);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool isTroubled = !trouble || std::string{trouble} != "0";
    FleetSettings settings;
    settings.program = argv[1];
    settings.folder = argv[2];
    settings.recordPath = argv[3];
    settings.zones = zones;
    settings.heartbeatSeconds = heartbeatSeconds;
    Fleet fleet{settings};
    fleet.writeConfig("status-svc", "submit-svc");
    std::vector<std::shared_ptr<ServerRun>> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(fleet.startServer(statusServer(i)));
        sleepFor(startGapMilliseconds);
    }
    ServerSpec submit = statusServer(100);
    submit.id = "i-submit";
    submit.service = "submit-svc";
    submit.isSharded = false;
    fleet.startServer(submit);
    fleet.startDaemons();
    if (!fleet.waitUntilServing(startLimit)) {
        fleet.record().write("the daemons did not serve in time");
        return 2;
    }
    fleet.startClients(clientCount);
    sleepFor(5000);
    for (int i = 0; i < rounds; ++i) {
        if (isTroubled) {
            for (const int number : {i, i + rounds})
                restartBehindCut(fleet, servers[static_cast<std::size_t>(number)]);
        }
        sleepFor(cutMilliseconds + calmMilliseconds);
    }
    fleet.stopClients();
    const int violations = fleet.violationCount();
    fleet.record().write("rule OWNER: %s", violations > 0 ? "broken" : "held");
    std::printf("successes %d, OWNER broken %d times\n", fleet.successCount(), violations);
    if (fleet.successCount() == 0)
        return 2;
    return violations > 0 ? 1 : 0;
}

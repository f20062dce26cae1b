#include "unavailability.h"

#include "ownershipsimulation.h"

#include <algorithm>
#include <array>
#include <cstdio>

using namespace std::chrono_literals;
using bulrush::Duration;

namespace {

constexpr int slicesPerServer = 100;
constexpr int tracedKeys = 8;
constexpr Duration trialEnd = 8s;

struct Deployment
{
    const char *name;
    int servers;
    int daemons;
    Duration oneWay;
};

/** The services divided by key. One failure domain holds all their servers: the harder case. */
constexpr std::array deployments{Deployment{"Leuvensport", 14, 12, 500us},
                                 Deployment{"Hinokuni", 19, 12, 1500us}};

using Fault = void (*)(OwnershipSimulation &simulation);

struct Trial
{
    const char *name;
    bool checksFence;
    Fault fault;
};

void moveOne(OwnershipSimulation &simulation)
{
    simulation.moveSlice(0, 1);
}

void killServer(OwnershipSimulation &simulation)
{
    simulation.killServer(0);
}

void freezeServer(OwnershipSimulation &simulation)
{
    simulation.freezeServer(0);
}

void killServerManager(OwnershipSimulation &simulation)
{
    simulation.killDaemon(0);
}

void leaveServerManager(OwnershipSimulation &simulation)
{
    simulation.scheduleDeparture(0);
}

void killBoth(OwnershipSimulation &simulation)
{
    simulation.killDaemon(0);
    simulation.killServer(0);
}

void killLeader(OwnershipSimulation &simulation)
{
    simulation.killLeader();
    simulation.startSuccessorAfterTerm();
}

constexpr std::array trials{Trial{"planned move of a slice", false, moveOne},
                            Trial{"planned departure of the attendant", false, leaveServerManager},
                            Trial{"server killed", false, killServer},
                            Trial{"server frozen", false, freezeServer},
                            Trial{"attendant killed", false, killServerManager},
                            Trial{"attendant killed, fence checked", true, killServerManager},
                            Trial{"attendant and server killed", false, killBoth},
                            Trial{"steward killed (tenure 3 s)", false, killLeader}};

SimulationSettings settingsFor(const Deployment &deployment, const Trial &trial, int factor,
                               std::uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.servers = deployment.servers * factor;
    settings.daemons = deployment.daemons * factor;
    settings.keys = settings.servers * slicesPerServer;
    for (int i = 0; i < tracedKeys; ++i)
        settings.requestedKeys.push_back(i * settings.servers);
    settings.checksFence = trial.checksFence;
    settings.minDelay = deployment.oneWay;
    settings.maxDelay = deployment.oneWay * 3 / 2;
    settings.clockPpm = bulrush::defaultDriftPpm / 2;
    return settings;
}

/** \returns the longest time that a traced key of server 0 went unserved. */
Duration worstOf(const Deployment &deployment, const Trial &trial, int factor, std::uint64_t seed)
{
    OwnershipSimulation simulation(settingsFor(deployment, trial, factor, seed));
    const Duration phase = 1ms * static_cast<int>(seed * 37 % 300);
    simulation.at(2s + phase, [&] { trial.fault(simulation); });
    simulation.runUntil(trialEnd);
    Duration worst{0};
    for (int i = 0; i < tracedKeys; ++i) {
        const int key = i * deployment.servers * factor;
        worst = std::max(worst, simulation.unavailable(key, 1s, trialEnd - 500ms));
    }
    if (!simulation.observer().overlaps().empty() || simulation.uncoveredGrants() > 0)
        std::printf("  seed %llu: ownership was broken\n", static_cast<unsigned long long>(seed));
    return worst;
}

void printTrial(const Deployment &deployment, const Trial &trial, int factor, int count)
{
    std::vector<double> worst;
    for (int seed = 1; seed <= count; ++seed) {
        const Duration dark = worstOf(deployment, trial, factor, static_cast<std::uint64_t>(seed));
        worst.push_back(std::chrono::duration<double, std::milli>(dark).count());
    }
    std::sort(worst.begin(), worst.end());
    std::printf("| %-11s | %4d | %-36s | %6d | %8.1f | %8.1f |\n", deployment.name,
                deployment.servers * factor, trial.name, count, worst[worst.size() / 2],
                worst.back());
    std::fflush(stdout);
}

} // namespace

void printUnavailability(int trialCount, int factor)
{
    std::printf("| deployment | servers | event | trials | median ms | longest ms |\n");
    std::printf("|---|---|---|---|---|---|\n");
    for (const Deployment &deployment : deployments) {
        for (const Trial &trial : trials)
            printTrial(deployment, trial, factor, trialCount);
    }
}

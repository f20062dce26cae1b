// Measures the effects of the promise length, and the cost of domain leadership, on a virtual
// clock. The figures are exact and the same in each run.

#include "leaderelectionsimulation.h"

#include <cstdio>
#include <string>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

constexpr TrueTime faultAt = 10s;
constexpr Duration outage = 2min;
constexpr Duration countedSpan = 100s;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

double perSecond(std::uint64_t count)
{
    return static_cast<double>(count) / seconds(countedSpan);
}

void startAll(LeaderElectionSimulation &simulation)
{
    simulation.start("a1");
    simulation.run(100ms);
    for (const char *name : {"a2", "a3", "b1", "c1"})
        simulation.start(name);
    simulation.runUntil(faultAt);
}

/** Kills the leader. \returns the time until another daemon may grant leases. */
Duration loseHolder(LeaderElectionSimulation &simulation)
{
    const TrueTime lostAt = simulation.now();
    simulation.kill("a1");
    while (simulation.steward().empty()
           || !simulation.election(simulation.steward()).mayGrantAt(Instant(simulation.now())))
        simulation.run(10ms);
    return simulation.now() - lostAt;
}

/**
 * \returns how long the leader keeps its leadership in a platform outage after it has lost the
 * connection to one candidate.
 */
Duration timeWithASilentCandidate(const LeaderElectionTimings &timings)
{
    LeaderElectionSimulation simulation(timings);
    startAll(simulation);
    simulation.setPlatformUp(false);
    simulation.run(outage);
    const TrueTime silentAt = simulation.now();
    simulation.setCut("a1", "c1", true);
    while (!simulation.steward().empty())
        simulation.run(10ms);
    return simulation.now() - silentAt;
}

/**
 * \returns the time until another daemon may grant leases, if the leader is killed after only it
 * was cut off from the platform.
 */
Duration lossWhileCutFromThePlatform(const LeaderElectionTimings &timings)
{
    LeaderElectionSimulation simulation(timings);
    startAll(simulation);
    simulation.setPlatformCut("a1", true);
    simulation.run(outage);
    return loseHolder(simulation);
}

/**
 * \returns the time until another daemon may grant leases, if the leader is killed \a later than
 * the end of a platform outage.
 */
Duration lossAfterAnOutage(const LeaderElectionTimings &timings, Duration later)
{
    LeaderElectionSimulation simulation(timings);
    startAll(simulation);
    simulation.setPlatformUp(false);
    simulation.run(outage);
    simulation.setPlatformUp(true);
    simulation.run(later);
    return loseHolder(simulation);
}

void showPromiseLengths()
{
    std::printf(
        "promise   silent candidate,   holder lost while    holder lost 1 s    holder lost 4 s\n"
        "          dark after          cut from platform    after an outage    after an outage\n");
    for (const Duration length : {2s, 5s, 10s, 30s, 60s}) {
        const LeaderElectionTimings timings{.promiseLength = length};
        std::printf("%5.0f s %12.2f s %18.2f s %18.2f s %16.2f s\n", seconds(length),
                    seconds(timeWithASilentCandidate(timings)),
                    seconds(lossWhileCutFromThePlatform(timings)),
                    seconds(lossAfterAnOutage(timings, 1s)),
                    seconds(lossAfterAnOutage(timings, 4s)));
    }
}

void showCost(const char *when, bool isPlatformUp)
{
    LeaderElectionSimulation simulation({});
    startAll(simulation);
    simulation.setPlatformUp(isPlatformUp);
    simulation.run(10s);
    const SimulationCounts before = simulation.counts();
    simulation.run(countedSpan);
    const SimulationCounts after = simulation.counts();
    std::printf("%-16s %8.2f %9.2f %11.2f\n", when, perSecond(after.reads - before.reads),
                perSecond(after.writes - before.writes),
                perSecond(after.messages - before.messages));
}

} // namespace

int main()
{
    showPromiseLengths();
    std::printf(
        "\none domain, 4 candidates, a second\n                    reads    writes    messages\n");
    showCost("platform up", true);
    showCost("platform down", false);
}
